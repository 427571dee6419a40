// SPDX-License-Identifier: MIT
// One real VM process: started, signalled, started again.
#pragma once

#include <filesystem>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/routing/address.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>

namespace gingerdyke::soak
{
/// \brief Where one VM listens.
struct vm_addresses
{
	routing::address callers;
	routing::address readiness;
	routing::address relay;
};

/// \brief How a process ended.
struct process_end
{
	/// The soak had told it to, or had killed it.
	bool was_asked{};

	/// Exit code, or the signal that ended it, in words.
	std::string how;
};

/// \brief One VM process.
class vm_process
{
  public:
	/// \param binary The program under test.
	/// \param directory Where its settings and log go.
	vm_process(std::filesystem::path binary, std::filesystem::path directory, std::string name,
		const json& settings, vm_addresses at);

	/// \brief Kills a process that still runs.
	~vm_process();
	vm_process(const vm_process&) = delete;
	vm_process& operator=(const vm_process&) = delete;

	/// \brief Starts it; it has a new life.
	void start();

	/// \brief Sends a signal to the process that was started here, if it runs.
	void signal(int number);

	/// \brief Looks whether it ended.
	[[nodiscard]] std::optional<process_end> poll();

	[[nodiscard]] bool runs() const noexcept { return pid_ > 0; }

	/// \brief Counts the starts.
	[[nodiscard]] unsigned life() const noexcept { return life_; }

	[[nodiscard]] const std::string& name() const noexcept { return name_; }
	[[nodiscard]] const vm_addresses& at() const noexcept { return at_; }
	[[nodiscard]] std::filesystem::path log_file() const { return directory_ / (name_ + ".log"); }

  private:
	/// Lives that have come as far as serving; the log says so.
	[[nodiscard]] unsigned count_begun() const;

	std::filesystem::path binary_;
	std::filesystem::path directory_;
	std::string name_;
	vm_addresses at_;
	pid_t pid_ = 0;
	unsigned life_ = 0;
	bool asked_to_end_ = false;

	/// Lives before this one that came as far as serving.
	unsigned begun_before_ = 0;

	/// Signals sent in this life.
	std::set<int> sent_;
};
} // namespace gingerdyke::soak
