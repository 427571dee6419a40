// SPDX-License-Identifier: MIT
// VMs that compete for the lease of a duty and report usage under it, in virtual time: the registry and the
// receiver of the calls may be away, slow, lose responses or execute calls late; VMs pause, are killed and
// have clocks of different speed.
#pragma once

#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/duty/lease.hpp>
#include <gingerdyke/usage/report_schedule.hpp>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace gingerdyke::test
{
/// \brief What broke in a history; empty if nothing did.
struct duty_violations
{
	unsigned shared_tokens{};
	unsigned lower_tokens{};
	unsigned returned_early{};
	unsigned differing_reports{};

	/// Calls that arrived, to show that histories aren't empty.
	unsigned calls{};
	unsigned holders{};

	/// Windows that were reported.
	unsigned reports{};
};

/// \brief Which faults a history may have.
struct duty_faults
{
	bool pauses = true;
	bool kills = true;
	bool losses = true;
	bool late_calls = true;
	bool outages = true;
	bool stops = true;
};

/// \brief One history of VMs, registry and receiver.
class duty_world
{
  public:
	duty_world(std::uint64_t seed, duty_faults faults, duty::lease_tuning tuning);

	/// \brief Plays the history and returns what broke.
	[[nodiscard]] duty_violations run(duration length);

  private:
	struct vm_state
	{
		std::string name;
		unsigned process{};
		double clock_rate{1};
		std::unique_ptr<duty::lease> lease;
		std::unique_ptr<usage::report_schedule> reports;
		duration paused_until{};
		duration down_until{};
		bool stopping{};

		/// Version of the report's row as this VM knows it.
		duty::row_version report_version;
		bool call_in_flight{};
	};

	struct stored_state
	{
		std::optional<duty::lease_record> lease;
		std::optional<usage::usage_report> report;
		duty::row_version report_version;
	};

	struct arrived_call
	{
		duration at{};
		std::size_t vm{};
		epoch token;
	};

	struct event
	{
		duration at{};
		std::uint64_t number{};
		std::function<void()> run;

		bool operator<(const event& other) const
		{
			return std::pair{at, number} > std::pair{other.at, other.number};
		}
	};

	void after(duration delay, std::function<void()> run);
	void at_vm(std::size_t vm, unsigned process, duration delay, std::function<void()> run);
	void start(std::size_t vm);
	void tick(std::size_t vm, unsigned process);
	void draw_fault();
	void read(std::size_t vm);
	void write(
		std::size_t vm, const duty::lease_write& write, const std::optional<usage::usage_report>& report);
	void on_written(std::size_t vm, bool committed, const stored_state& now_stored);
	void apply(std::size_t vm, const stored_state& read);
	void act(std::size_t vm);
	void send(std::size_t vm, epoch token, const usage::usage_report& report);
	void arrive(std::size_t vm, epoch token, const usage::usage_report& report);
	void check_order(const arrived_call& call);
	[[nodiscard]] instant local_now(std::size_t vm) const;
	[[nodiscard]] bool chance(double share) { return random_unit(random_) < share; }
	[[nodiscard]] duration between(duration low, duration high);

	random_source random_;
	duty_faults faults_;
	duty::lease_tuning tuning_;
	duration now_{};
	std::uint64_t next_number_ = 0;
	std::priority_queue<event> events_;
	std::vector<vm_state> vms_;
	stored_state registry_;
	std::int64_t version_ = 0;
	duration registry_down_until_{};
	duration receiver_down_until_{};
	std::map<std::int64_t, std::size_t> owner_of_token_;
	std::map<std::int64_t, usage::workspace_counts> accepted_;
	epoch highest_token_;
	std::vector<arrived_call> calls_;
	duty_violations violations_;
};
} // namespace gingerdyke::test
