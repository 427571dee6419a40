// SPDX-License-Identifier: MIT
// A small world in virtual time: production cores, with fakes of the network, the platform, upstreams and
// callers at their interfaces. One seed, one history.
#pragma once

#include "history.hpp"
#include "memory_store.hpp"
#include <functional>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/node/core.hpp>
#include <gingerdyke/session/stream_check.hpp>
#include <map>
#include <memory>
#include <queue>
#include <vector>

namespace gingerdyke::test
{
/// \brief Moments at which a fault can strike.
enum class step
{
	admit,
	claim,
	intent_journalled,
	dispatch,
	first_chunk,
	mid_stream,
	last_chunk,
	final_journalled,
	answered,
	flushed,
	released,
	edit_sent,
	edit_committed,
	table_read,
	table_pushed,
	table_applied,
	stop_begun,
	drained,
};

/// \brief How the table service misbehaves.
enum class store_mode
{
	good,
	down,
	slow,
	limit,
	/// The effect stands, the answer is lost.
	lost_answer,
	/// The answer is lost, and the effect comes later.
	late_effect,
};

/// \brief How an upstream misbehaves.
enum class upstream_mode
{
	good,
	cut,
	crossed,
	cut_short,
	late,
	failing,
	busy,
	/// Runs the work, and the answer never comes.
	lost_answer,
};

/// \brief Mechanisms that a test switches off, at the interfaces, to see the check catch it.
enum class mutation
{
	none,
	/// The table that a core reads allows everything.
	allow_everything,
	/// Nothing of the table reaches a VM after its first copy.
	no_spread,
	/// Session handles don't reach the core.
	no_sessions,
	/// Journal entries don't reach their holders.
	no_journal,
	/// Chunks are passed on unmatched.
	no_matching,
	/// A lost answer is reported as a request that was not sent.
	lost_as_not_sent,
	/// Every claim is said to be won.
	claims_always_won,
	/// Neither the list of VMs nor an upstream's refusal tells that it leaves.
	leaving_untold,
	/// A planned stop ends at once.
	stop_without_draining,
	/// A copy of the table can be replaced by an older one.
	forgetful_copy,
	/// Refusals don't reach callers.
	refusals_swallowed,
};

/// \brief A request to be sent.
struct request_spec
{
	node::request_kind kind{node::request_kind::chat};
	std::string workspace{"alpha"};
	std::string target{"m"};
	std::string request_class;
	std::string key;
	std::string session;
	std::string path{"/orders"};
	bool streamed{};
	std::uint64_t tokens{8};
};

/// \brief Options of a world.
struct world_options
{
	std::uint64_t seed{1};
	mutation switched_off{mutation::none};

	/// Share of messages between VMs that are lost.
	double message_loss{};

	/// Whether `history::lines` is kept.
	bool keep_lines{};
	node::core_tuning tuning;
};

/// \brief The world.
class world
{
  public:
	explicit world(const world_options& options);
	~world();

	world(const world&) = delete;
	world& operator=(const world&) = delete;
	world(world&&) = delete;
	world& operator=(world&&) = delete;

	/// \brief Called at each step, with the VM that takes it, before it takes effect.
	std::function<void(step, const vm_id&)> on_step;

	/// \brief Called with each final answer; may send more.
	std::function<void(const request_record&, const request_spec&, answer_kind)> on_answer;

	[[nodiscard]] instant now() const noexcept { return now_; }

	/// \brief Does something at a moment.
	void at(duration since_start, std::function<void()> what);

	/// \brief Lets time pass.
	void run_until(duration since_start);

	/// \brief Ends the run and completes its record.
	[[nodiscard]] const history& finish();

	// Traffic.
	request_id send(const request_spec& spec, const vm_id& vm);
	void edit(const vm_id& vm, const std::map<std::string, json>& rows);
	[[nodiscard]] std::vector<vm_id> vms() const;
	[[nodiscard]] vm_id vm(std::size_t index) const;
	[[nodiscard]] const node::core& core_of(const vm_id& vm) const;

	/// \brief The session handle that a request was dispatched with.
	[[nodiscard]] std::string session_of(const request_id& id) const;

	/// \brief The version that a request ran on last.
	[[nodiscard]] version_ref version_of(const request_id& id) const;

	// Faults. Those with a duration heal by themselves.
	void kill(const vm_id& vm);
	void restart(const vm_id& vm);
	void freeze(const vm_id& vm, duration length);
	void cut_from_platform(const failure_domain_id& domain, duration length);
	void cut_from_peers(const failure_domain_id& domain, duration length);
	void set_store(store_mode mode, duration length);
	void set_upstream(const replica_id& id, upstream_mode mode, duration length);
	void fail_version(const version_ref& version);
	void kill_upstream(const replica_id& id);
	void upstream_leaves(const replica_id& id);
	void stale_member_list(duration length);
	void caller_leaves(const vm_id& vm);
	void stop(const vm_id& vm);

	[[nodiscard]] failure_domain_id domain_of(const vm_id& vm) const;
	[[nodiscard]] replica_id replica_near(const vm_id& vm) const;

	/// \brief Messages and bytes-like counts between VMs so far, by kind of message.
	[[nodiscard]] const std::map<std::size_t, std::uint64_t>& message_counts() const noexcept
	{
		return messages_;
	}

	[[nodiscard]] const history& so_far() const noexcept { return history_; }

  private:
	struct entry_vm;
	struct upstream;
	struct open_request;
	struct timed;

	void schedule(instant when, std::function<void()> what);
	void on_vm(const vm_id& vm, std::uint64_t incarnation, instant when, std::function<void(entry_vm&)> what);
	void start_vm(const vm_id& vm);
	void tick(entry_vm& vm);
	void step_core(entry_vm& vm, const node::event& event);
	void reach(step what, const vm_id& vm);
	void note(const std::string& line);

	void perform(entry_vm& vm, node::action& action);
	void send_message(entry_vm& from, const send_peer& action);
	void call_platform(entry_vm& from, const call_store& call);
	void run_transaction(
		entry_vm& from, const call_store& call, const std::function<void(store::answer)>& then);
	void answer_call(const vm_id& vm, std::uint64_t incarnation, const call_store& call, store::answer answer,
		duration after);
	void mutate(store::answer& answer, const call_store& call) const;
	void fetch_list(entry_vm& vm);

	void carry_out(entry_vm& vm, const node::request_order& order);
	void start_attempt(entry_vm& vm, node::request_ref ref, const node::dispatch_order& order);
	void arrive_upstream(
		const vm_id& vm, std::uint64_t incarnation, node::request_ref ref, const node::dispatch_order& order);
	void next_chunk(entry_vm& vm, node::request_ref ref, const node::dispatch_order& order,
		std::uint64_t offset, upstream_mode mode);
	void report(
		entry_vm& vm, node::request_ref ref, const node::dispatch_order& order, node::attempt_end end);
	void give(entry_vm& vm, node::request_ref ref, answer_kind kind, const std::string& why);
	void note_run(entry_vm& vm, const open_request& request, const node::dispatch_order& order,
		const upstream& at, bool resumed);
	[[nodiscard]] bool can_reach(const failure_domain_id& a, const failure_domain_id& b) const;
	[[nodiscard]] bool can_reach_platform(const failure_domain_id& domain) const;
	void outage(const vm_id& vm, duration length);
	void publish_members();
	void add_upstream(const replica_id& id, const failure_domain_id& domain);

	world_options options_;
	random_source random_;
	instant start_;
	instant now_;
	std::uint64_t next_event_ = 0;
	std::priority_queue<timed, std::vector<timed>, std::greater<>> events_;
	std::vector<vm_id> names_;
	std::map<vm_id, std::unique_ptr<entry_vm>> vms_;
	std::map<replica_id, upstream> upstreams_;
	std::map<std::string, replica_id> by_address_;
	standin::memory_store store_;
	store_mode store_mode_ = store_mode::good;
	std::map<failure_domain_id, instant> platform_cut_until_;
	std::map<failure_domain_id, instant> peers_cut_until_;
	instant list_stale_until_;
	membership::member_list list_;
	membership::member_list stale_list_;
	std::map<request_id, std::string> sessions_;
	std::map<std::size_t, std::uint64_t> messages_;
	std::uint64_t next_request_ = 1;
	std::uint64_t next_change_ = 1;
	std::set<version_ref> failing_versions_;
	history history_;
};

/// \brief The table that the worlds use: models `m` (two versions) and `l`, cascade `c`, service `s`.
[[nodiscard]] std::map<std::string, json> world_table();

/// \brief The word for a step.
[[nodiscard]] const char* name_of(step what) noexcept;
} // namespace gingerdyke::test
