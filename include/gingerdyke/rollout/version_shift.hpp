// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another, on all VMs without a coordinator: every VM
// computes the same traffic share from the same plan, and any VM that finds the new version bad tells the
// others.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/shift_schedule.hpp>
#include <gingerdyke/rollout/trial_allowance.hpp>
#include <gingerdyke/rollout/version_evidence.hpp>
#include <gingerdyke/rollout/version_verdict.hpp>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Time on the registry's steady clock, which has its own epoch and is the same for all VMs.
using registry_time = std::chrono::microseconds;

/// \brief Version of a row in the registry's history.
using row_version = quantity<struct row_version_tag>;

/// \brief State of a shift.
enum class shift_state
{
	running,
	completed,
	rolled_back,
};

/// \brief Name of a state, as stored.
[[nodiscard]] const char* name_of(shift_state state) noexcept;

/// \brief Parses the name of a state.
[[nodiscard]] std::optional<shift_state> parse_shift_state(const std::string& name);

/// \brief An operator's order to move a service's traffic.
struct shift_order
{
	service_id service;
	std::string to_version;

	/// Time after the order by which the shift must be completed.
	duration length{};

	/// Row version of the order; a later order has a higher one.
	row_version order;
};

/// \brief The plan of a shift, which all VMs follow. It is stored in the registry and updated by
/// compare-and-set on its row.
struct shift_plan
{
	service_id service;
	std::string from_version;
	std::string to_version;
	registry_time started{};
	duration length{};
	shift_state state{shift_state::running};
	row_version order;

	/// When the new version was shown to be as good as the old one; from then on its share grows. None: it
	/// stays at the trial share.
	std::optional<registry_time> promoted;

	/// Row version of the plan itself; 0 before it is written.
	row_version row;
};

/// \brief Whether a plan moves a service to the version that it is on. Older builds wrote such plans.
[[nodiscard]] inline bool is_within_one_version(const shift_plan& plan) noexcept
{
	return plan.from_version == plan.to_version;
}

/// \brief Kind of a sample.
enum class sample_kind
{
	/// The first byte of a response arrived.
	first_byte,
	/// No byte arrived before the request was abandoned. The sample counts as slow, not as a failure or
	/// success. Without such samples the slowest responses of a slow version would not count at all.
	no_response,
	/// The second event of a stream arrived, or the stream was abandoned while waiting for it.
	event_interval,
	/// The replica broke the request off before a response began, or was silent until its deadline: an
	/// outcome without a latency.
	ending,
};

/// \brief Observation of one response.
struct response_sample
{
	std::string route;

	/// Model that served the request; empty for services without models.
	std::string model;
	bool failed{};

	/// See `relative_first_byte_latency` and, for event intervals, `relative_event_interval`.
	double relative_latency{};

	/// Hash of the replica's incarnation; the same on all VMs.
	std::uint64_t replica{};
	sample_kind kind{sample_kind::first_byte};
};

/// \brief Whether a sample tells how a request ended.
[[nodiscard]] inline bool has_outcome(const response_sample& sample) noexcept
{
	return sample.kind == sample_kind::first_byte || sample.kind == sample_kind::ending;
}

/// \brief Group of responses that a response is counted in.
enum class response_group
{
	/// See `route_evidence`.
	pre_trial,
	old_version,
	new_version,
};

/// \brief Where a response was counted as a success. If it breaks off later, the same response is counted as
/// a failure: counted a second time, it would halve the failure ratio.
struct counted_response
{
	service_id service;

	/// Row version of the order that started the shift.
	row_version order;
	std::string route;
	response_group group{response_group::pre_trial};

	/// Not used before the trial.
	cell_index cell{};
	bool is_in_peak_load_phase{};
};

/// \brief Observations of a shift by one VM.
struct shift_evidence
{
	service_id service;
	row_version order;
	version_evidence seen;
};

/// \brief Evidence with the VM that reported it.
struct reported_evidence
{
	/// Name and incarnation of the VM; empty for this VM.
	std::string reporter;
	shift_evidence evidence;
};

/// \brief A VM's verdict that a new version is bad.
struct shift_suspension
{
	service_id service;

	/// Row version of the order that started the shift.
	row_version order;
};

/// \brief Tuning of `version_shift`.
struct shift_tuning
{
	/// Fraction of all requests during a shift that a bad version may get.
	double exposure_limit = 0.15;

	/// Number of requests that a bad version may get on top, over all VMs.
	double exposure_slack = 0;
	schedule_tuning schedule;
	verdict_tuning verdict;

	/// Minimum number of the new version's replicas in use. Beyond it, the fraction of replicas in use equals
	/// the version's traffic share, so that each carries its final load: a version that fails only under load
	/// shows it while few requests go to it. With fewer replicas, a single slow one would make the version
	/// look slow.
	std::size_t min_replicas = 12;

	/// In the peak-load phase each replica in use carries this multiple of its final load, to cover later
	/// traffic peaks. The load is not raised if fewer than this number of replicas would be in use: a fault
	/// of so few may be their own.
	double peak_load_factor = 1.5;
	std::size_t min_peak_load_replicas = 3;

	/// Number of the old version's replicas whose responses are compared with the new version's (the control
	/// group): as many as are in use in a trial, so that faulty replicas show equally in both versions.
	/// Summed over hundreds of replicas, half of which fail, every group of the old version would look half
	/// faulty.
	std::size_t control_replica_count = 16;

	/// A version with this many bad responses (failures or slow ones) must be shown to be as good as the old
	/// one within this time, or it is suspended. Deployments allow a bad version 5 s after 50 bad responses,
	/// and a VM that reads the registry knows a third to a fifth of all responses.
	std::uint64_t proof_deadline_bad_responses = 12;
	duration proof_deadline = std::chrono::milliseconds{3000};

	/// From this time before the end of a trial, VMs whose observations don't show that the version is good
	/// write them for the others, at most once per interval. This occurs only with low traffic, where only
	/// the sum over all VMs is conclusive.
	duration final_report_lead = std::chrono::milliseconds{1200};
	duration final_report_interval = std::chrono::milliseconds{1000};

	/// Grace period of a VM that missed a part of the trial: before it rolls back a version that is not shown
	/// to be good, it waits for `late_follower_grace_period` times the shift's length, but not beyond
	/// `max_trial_length` times that length after the shift's start.
	double late_follower_grace_period = 0.5;
	double max_trial_length = 2;

	/// Without contact with the registry for this time, the share stops growing.
	duration registry_contact_limit = std::chrono::milliseconds{2500};

	/// A VM that has not followed a shift since before the trial (it started later or had lost the registry)
	/// may have missed the verdict of others. It declares the version completed only after following for this
	/// time (two reports of other VMs and a repeated write) and with this many known responses, within which
	/// a bad version shows. Without this rule, a VM that restarts after a shift's end, with the registry just
	/// reachable again, declares a version completed that all others had suspended.
	duration late_follower_wait = std::chrono::milliseconds{1600};
	std::uint64_t late_follower_min_responses = 25;

	/// Minimum time between two writes of evidence by one VM.
	duration min_report_interval = std::chrono::milliseconds{300};

	/// Evidence is written if more responses are bad than tolerated, and again when the number of bad
	/// responses has grown by this factor: each write has a price, and a good version's few bad responses
	/// change nothing. At most a third of the bad responses are missing from a verdict.
	double report_growth_factor = 1.5;

	/// Maximum number of VMs whose evidence goes into one write; the registry accepts 100 rows and 1 MB per
	/// write.
	std::size_t max_reporters_per_write = 90;

	/// Minimum number of bad responses for a write; other VMs may have seen as many.
	std::uint64_t min_reported_bad = 2;

	/// VMs that read the registry act on the same event after a random delay of up to this time, so that
	/// usually only one of them has to.
	duration action_jitter = std::chrono::milliseconds{250};

	/// Other VMs act after at least this time plus a random delay of up to the same time, so only if no
	/// reader did.
	duration non_reader_delay = std::chrono::milliseconds{900};
};

/// \brief A write to the registry.
struct shift_write
{
	/// The new plan, to be written only if its row still has the version in `row`.
	std::optional<shift_plan> plan;

	/// Evidence of this VM and of the VMs that read the registry through this VM.
	std::vector<reported_evidence> evidence;
};

/// \brief Sums of the observations of a shift that a VM knows: the basis of its verdict.
struct shift_summary
{
	response_counts old_version;
	response_counts new_version;

	/// The strongest evidence against the new version, and the result of the test that the new version is as
	/// good as the old one.
	version_verdict verdict;
	version_proof proof;

	/// Number of VMs whose responses are in the sums, including this one.
	std::size_t vms{};
};

/// \brief Event: a plan was accepted, or the new version was suspended on this VM.
struct shift_event
{
	const shift_plan& plan;
	bool suspended{};

	/// Whether the suspension follows another VM's verdict.
	bool follows_peer_verdict{};
	shift_summary summary;
};

/// \brief Event: another version serves the sessions that a shift does not move.
struct version_change
{
	service_id service;

	/// Empty if any version may serve.
	std::string version;

	/// Whether the version serves because the one in use has no replicas.
	bool is_substitute{};

	/// Number of replicas by version, without those that drain.
	std::map<std::string, std::size_t> replicas;
};

/// \brief The shifts of all services as known to this VM.
class version_shift
{
  public:
	using event_callback = std::function<void(const shift_event&)>;
	using version_callback = std::function<void(const version_change&)>;

	version_shift(random_source random, event_callback callback, shift_tuning tuning = {},
		version_callback on_version_change = {});

	void on_order(const shift_order& order, instant now);
	void on_plan(const shift_plan& plan, instant now);

	/// \brief Records that the registry returned from an older copy: rows of plans are numbered anew, and may
	/// be older than the plans that this VM knows. Those are written again.
	void on_registry_restored(instant now);

	/// \brief Applies another VM's evidence from the registry; it replaces that VM's previous evidence.
	void on_evidence(const std::string& reporter, const shift_evidence& evidence, instant now);

	/// \brief Applies the evidence of a VM that reads the registry through this one; this VM writes it on its
	/// behalf.
	void on_relayed_evidence(const std::string& reporter, const shift_evidence& evidence, instant now);

	/// \brief Applies another VM's verdict: the new version is suspended on this VM too.
	void on_suspension(const shift_suspension& suspension, instant now);

	/// \brief This VM's evidence on running shifts, for the VM that writes it to the registry.
	[[nodiscard]] std::vector<shift_evidence> own_evidence() const;

	/// \brief Whether any shift is running.
	[[nodiscard]] bool is_shifting() const;

	/// \brief The suspensions in force on this VM for running shifts.
	[[nodiscard]] std::vector<shift_suspension> suspensions() const;

	/// \brief Sets whether this VM reads the registry itself, possibly for others; initially true. Such a VM
	/// writes evidence, and writes plans before the others.
	void set_reads_registry(bool reads);

	/// \brief Updates the replicas of a service. Before the first order, its version in use is determined
	/// from them.
	void set_replicas(const service_id& service, const std::vector<routing::replica_ptr>& replicas);

	/// \brief Updates the offset to the registry's clock from the time in one of its responses.
	void update_registry_time(registry_time registry_clock, instant now);

	/// \brief Records a response.
	/// \returns Where it was counted as a success; none if it was not.
	std::optional<counted_response> record_response(
		const service_id& service, const std::string& version, const response_sample& sample, instant now);

	/// \brief Records that a response which was counted as a success broke off.
	void record_broken_response(const counted_response& counted, instant now);

	/// \brief Version that a session's requests go to.
	/// \param point Hash of the session. A session that is on the new version stays there.
	/// \returns The version, or empty if any will do.
	[[nodiscard]] std::string version_for(const service_id& service, std::uint64_t point, instant now) const;

	/// \brief Version to use if no replica of the version returned by `version_for` can be used, or empty.
	[[nodiscard]] std::string fallback_for(const service_id& service, std::uint64_t point, instant now) const;

	/// \brief Takes a request without a session for the trial of a new version, beside the trial's share: a
	/// service with little traffic would otherwise get too few responses for a verdict.
	/// \param vms The VMs, each of which takes its part of `exposure_slack`.
	/// \returns Whether the request may go to the new version, whatever its point.
	[[nodiscard]] bool take_trial_request(
		const service_id& service, const routing::fleet_list& vms, instant now);

	/// \brief Whether a replica may get requests now; replicas of the new version are put into use gradually.
	[[nodiscard]] bool is_in_use(const routing::replica& replica, instant now) const;

	/// \brief Returns the writes that are due now. A plan is returned again only after a retry delay.
	[[nodiscard]] std::vector<shift_write> due(instant now);

	/// \brief When `due` must be called next; none: there is nothing to do before the next input, such as a
	/// response, an order or a plan.
	[[nodiscard]] std::optional<instant> next_due() const;

	/// \brief Current share of sessions on the new version; for status and tests.
	[[nodiscard]] double share(const service_id& service, instant now) const;

	/// \brief Whether this VM has evidence about a service to write.
	[[nodiscard]] bool has_evidence(const service_id& service) const;

	/// \brief The current plan of a service, or null.
	[[nodiscard]] const shift_plan* plan_of(const service_id& service) const;

  private:
	struct service_state
	{
		/// Version in use beside the one of an order or plan; empty if it is not known.
		std::string stable_version;
		std::optional<shift_order> order;
		instant order_received_at;
		std::optional<shift_plan> plan;

		/// The version reported last as the one that serves.
		std::optional<std::string> reported_version;

		/// Start of the period in which this VM has followed the plan without losing the registry.
		instant followed_since;
		bool suspended{};

		/// Requests that this VM may send to the new version beside the trial's share; none before the first.
		std::optional<trial_allowance> allowance;

		/// The registry returned from an older copy, and no row has shown since that it holds the plan.
		bool is_restored{};

		/// The plan has to be written again, as the registry holds none or an earlier one.
		bool is_rewrite_due{};

		/// Row of a stored plan that can't be followed and is to be replaced, and the version that it moves
		/// to; empty if it is completed.
		row_version replaced_row{};
		std::string replaced_version;

		/// Number of replicas by version, without those that drain.
		std::map<std::string, std::size_t> replicas;

		/// Event intervals of the stable version by model, recorded by this VM while no shift was running:
		/// they show the speed of engines that are overloaded when a shift begins.
		std::map<std::string, latency_histogram> baseline_event_intervals;

		/// Observations of this VM, reports of the others, and the sum of all.
		version_evidence own;
		std::map<std::string, version_evidence> by_reporter;
		version_evidence total;

		/// The sum of this VM's observations and of those that it writes for others.
		version_evidence to_write;

		/// Results computed from these sums.
		version_verdict verdict;
		version_proof proof;
		std::uint64_t bad_to_write{};

		/// Time at which the new version reached the number of bad responses that starts its proof deadline.
		std::optional<instant> proof_deadline_start;

		/// VMs whose evidence this VM writes, and VMs with evidence that is not written yet; in the latter an
		/// empty name stands for this VM.
		std::set<std::string> relayed;
		std::set<std::string> unwritten;

		/// Number of bad responses in the evidence written last, and the time of that write.
		std::uint64_t last_written_bad{};
		instant last_written_at;

		/// When this VM next acts on the state of the plan; none: no action is pending.
		std::optional<instant> next_action_at;
	};

	[[nodiscard]] const service_state* find(const service_id& service) const;
	[[nodiscard]] registry_time registry_now(instant now) const;
	/// Elapsed fraction of the plan's length, as used by `shift_schedule`.
	[[nodiscard]] double elapsed_fraction(const shift_plan& plan, instant now) const;
	/// The time at which the given fraction of the plan's length has elapsed.
	[[nodiscard]] instant time_at(const shift_plan& plan, double elapsed) const;
	[[nodiscard]] shift_schedule schedule_of(const shift_plan& plan) const;
	/// Elapsed fraction of the plan's trial: below 0 before it, over 1 after it.
	[[nodiscard]] double trial_fraction(const shift_plan& plan, instant now) const;
	[[nodiscard]] double share_of(const service_state& state, instant now) const;
	[[nodiscard]] bool carries_peak_load(const service_state& state, instant now) const;
	[[nodiscard]] bool has_registry_contact(instant now) const
	{
		return now - last_registry_contact_ < tuning_.registry_contact_limit;
	}
	[[nodiscard]] static bool is_running(const service_state& state);
	[[nodiscard]] static bool is_known_plan_later(const service_state& state, const shift_plan& read);

	/// Number of replicas of the plan's new version, and of all others.
	[[nodiscard]] static std::size_t count_new_replicas(const service_state& state);
	[[nodiscard]] static std::size_t count_old_replicas(const service_state& state);

	[[nodiscard]] bool is_in_control_group(const service_state& state, std::uint64_t replica) const;
	static void record_baseline(service_state& state, const response_sample& sample);
	static void record_pre_trial(version_evidence& to, const response_sample& sample);
	[[nodiscard]] std::optional<counted_response> record_sample(
		service_state& state, bool is_new, const response_sample& sample, instant now) const;
	static void relay(service_state& state, const std::string& reporter);
	bool merge_evidence(service_state& state, const std::string& reporter, const shift_evidence& evidence);
	void evaluate(service_state& state) const;
	void evaluate_and_suspend(service_state& state, instant now);
	void suspend(service_state& state, bool by_peer);
	[[nodiscard]] shift_summary summary_of(const service_state& state) const;

	[[nodiscard]] std::optional<instant> evidence_due_at(const service_state& state) const;
	[[nodiscard]] std::vector<reported_evidence> take_evidence(
		const service_id& service, service_state& state, instant now);

	/// When a promoted plan is to be declared completed.
	[[nodiscard]] instant completion_time(const shift_plan& plan) const;
	[[nodiscard]] double promoted_fraction(const shift_plan& plan) const;
	[[nodiscard]] bool may_be_promoted(const service_state& state, instant now) const;
	[[nodiscard]] instant rollback_time(const service_state& state) const;
	[[nodiscard]] std::optional<instant> proof_deadline_time(const service_state& state) const;
	void suspend_if_unproven(service_state& state, instant now);

	void replace_stored_plan(service_state& state, const shift_plan& stored, instant now);
	[[nodiscard]] static const std::string& ordered_version(const service_state& state);
	static void infer_stable_version(service_state& state);
	[[nodiscard]] static std::string settled_version(const service_state& state);
	[[nodiscard]] static bool is_new_version_alone(const service_state& state);
	void report_version(const service_id& service, service_state& state);
	[[nodiscard]] static bool has_new_order(const service_state& state);
	[[nodiscard]] bool may_declare_completed(const service_state& state, instant now) const;
	void on_registry_recovered(instant now);
	[[nodiscard]] std::optional<shift_plan> first_plan(const service_state& state) const;
	[[nodiscard]] std::optional<shift_plan> next_plan(const service_state& state, instant now) const;
	[[nodiscard]] std::optional<instant> next_action_time(const service_state& state, instant now) const;
	void schedule(service_state& state, instant now);
	void reschedule_if_sooner(service_state& state, instant now);
	[[nodiscard]] duration random_delay() const;

	random_source random_;
	event_callback event_callback_;
	shift_tuning tuning_;
	version_callback version_callback_;
	std::map<service_id, service_state> services_;
	bool reads_registry_ = true;

	/// Registry clock minus local clock, by the response with the shortest delay.
	std::optional<duration> clock_offset_;
	instant last_registry_contact_;
};
} // namespace gingerdyke::rollout
