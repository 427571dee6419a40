// SPDX-License-Identifier: MIT
// One system of the soak: real VM processes between stand-in callers, replicas and registry, with a proxy on
// every link that can be harmed.
#pragma once

#include "caller.hpp"
#include "link_proxy.hpp"
#include "schedule.hpp"
#include "vm_process.hpp"

#include <standin/registry.hpp>

namespace gingerdyke::soak
{
/// \brief Options of one run.
struct run_options
{
	std::filesystem::path binary;

	/// Settings and logs of the VMs.
	std::filesystem::path directory;
	std::uint64_t seed{};
	std::size_t vms{4};

	/// Time over which faults begin.
	duration length = std::chrono::seconds{8};
};

/// \brief How a run ended.
struct run_result
{
	std::vector<std::string> broken;
	std::size_t requests{};
	std::size_t served{};
	std::vector<crash_end> crash_ends;
};

/// \brief One system, from its start to its verdict.
class world
{
  public:
	explicit world(run_options options);

	/// \brief Starts everything, stops one VM in peace, lets the faults come, waits for recovery, judges.
	[[nodiscard]] run_result run();

  private:
	/// A VM with the proxies on its links.
	struct vm
	{
		std::unique_ptr<link_proxy> to_registry;
		std::unique_ptr<vm_process> process;
		std::unique_ptr<link_proxy> from_callers;
		std::vector<std::shared_ptr<caller>> callers;

		/// When it last served a request.
		std::optional<instant> served_at;

		/// When the calm stop began; none once the process has ended.
		std::optional<instant> asked_to_stop;
	};

	/// A replica behind its proxy.
	struct backend
	{
		std::string service;
		std::string version;
		std::string domain;
		std::unique_ptr<platform::standin::replica> replica;
		std::unique_ptr<link_proxy> link;
		bool leaves{};

		/// How often its process started again.
		int starts{};
	};

	void add_vm(std::size_t index);
	void add_backend(const std::string& service, const std::string& version);
	void register_backend(const backend& one);
	void add_callers(vm& to);
	[[nodiscard]] sent_request next_request(const vm& from);

	void begin(const fault& what);
	void end(const fault& what);
	void begin_with_vm(const fault& what, vm& target);
	void begin_with_backends(const fault& what);
	void begin_with_operator(const fault& what);
	void end_all_faults();
	void change_configuration(int by);
	void remove_key();

	void crash(backend& one);
	[[nodiscard]] std::vector<std::shared_ptr<caller>> start_callers(
		const std::function<void(sent_request&)>& complete);
	void let_a_request_crash_replicas();
	void let_a_part_crash_replicas();
	void let_replicas_leave();
	void let_replicas_speak_of_themselves();
	void let_a_failure_domain_be_evacuated();

	/// Whether each VM has served a request since a moment.
	[[nodiscard]] bool all_serve_since(instant since) const;

	/// Waits until each VM serves again; a broken promise where that takes too long.
	void await_recovery(const std::string& after_what);

	void watch_processes();
	void on_process_end(vm& one, const process_end& how);
	void after(duration span, std::function<void()> then);
	void run_for(duration span);
	[[nodiscard]] bool run_until(const std::function<bool()>& holds, duration limit);

	run_options options_;
	proxy::asio::io_context context_{1};
	random_source random_;
	history history_;
	platform::standin::registry registry_;
	std::vector<std::unique_ptr<vm>> vms_;
	std::vector<std::unique_ptr<backend>> backends_;
	proxy::boot_timer watch_timer_;
	int version_ = 1;

	/// Keys that callers use, and those of them that the configuration has.
	std::vector<std::string> keys_{"k1", "k2", "k3"};
	std::vector<std::string> allowed_keys_ = keys_;
	std::size_t next_id_ = 0;
	bool is_shifting_ = false;
	bool is_over_ = false;
};
} // namespace gingerdyke::soak
