// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another, over all VMs without a central one: every
// VM computes the same share from the same plan, and whoever sees that the new version is bad says so to all.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/rollout/shift_schedule.hpp>
#include <gingerdyke/rollout/version_evidence.hpp>
#include <gingerdyke/rollout/version_verdict.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gingerdyke::rollout
{
/// \brief Time on the registry's steady clock, from its own zero; the same on all VMs.
using registry_time = std::chrono::microseconds;

/// \brief Position of a row in the registry's history.
using row_version = quantity<struct row_version_tag>;

/// \brief How far a shift has come.
enum class shift_state
{
	running,
	completed,
	rolled_back,
};

/// \brief The word for a state.
[[nodiscard]] const char* name_of(shift_state state) noexcept;

/// \brief Reads the word for a state.
[[nodiscard]] std::optional<shift_state> parse_shift_state(const std::string& word);

/// \brief An operator's order to move a service's traffic.
struct shift_order
{
	service_id service;
	std::string to_version;

	/// The shift is to be over within this time of the order.
	duration length{};

	/// Row version of the order: a later order has a higher one.
	row_version order;
};

/// \brief What all VMs follow, kept in the registry; each change is made under the condition that the row is
/// unchanged.
struct shift_plan
{
	service_id service;
	std::string from_version;
	std::string to_version;
	registry_time started{};
	duration length{};
	shift_state state{shift_state::running};
	row_version order;

	/// When the new version was shown to be as good as the old one: from then on its share grows. None: it
	/// gets no more than a trial's share.
	std::optional<registry_time> promoted;

	/// Row version of the plan itself; 0: not written yet.
	row_version row;
};

/// \brief What a sample tells.
enum class sample_kind
{
	/// An answer's first byte came.
	answer,
	/// No byte came for so long that the answer was given up: slow at the least, and whether it failed is not
	/// known. Left out, the slowest answers of a slow version would count for nothing.
	silence,
	/// A stream's second event came, or did not for so long that the stream was given up.
	pace,
};

/// \brief One answer, as far as it tells about its version.
struct answer_sample
{
	std::string route;

	/// Model that answered; empty for plain services.
	std::string model;
	bool failed{};

	/// See `relative_answer_time` and, for a pace, `relative_pace`.
	double relative_time{};

	/// Hash of the replica's incarnation, the same on all VMs.
	std::uint64_t replica{};
	sample_kind kind{sample_kind::answer};
};

/// \brief What one VM saw of a new version.
struct shift_evidence
{
	service_id service;
	row_version order;
	version_evidence seen;
};

/// \brief Evidence with the VM that saw it.
struct reported_evidence
{
	/// Name and incarnation of the VM; empty: this VM.
	std::string reporter;
	shift_evidence evidence;
};

/// \brief The verdict of a VM that a new version is bad.
struct shift_suspension
{
	service_id service;

	/// The order that the shift carries out.
	row_version order;
};

/// \brief Tuning of `version_shift`.
struct shift_tuning
{
	/// Part of all requests in the time of a shift that a bad version may get.
	double exposure_limit = 0.15;
	schedule_tuning schedule;
	verdict_tuning verdict;

	/// Replicas of the new version that take work at the least; beside that, the part of them that its share
	/// of the traffic is, so that each bears the load that it will have in the end: a version that is bad
	/// under load only shows it while few requests go there. With fewer than these, one slow replica would
	/// pass for a slow version.
	std::size_t fewest_replicas = 12;

	/// At the peak of a trial each replica in use bears this multiple of its later load, as traffic has peaks
	/// later. Only where that leaves this many of them: what fewer show may be their own fault.
	double peak_load = 1.5;
	std::size_t fewest_at_peak = 3;

	/// Replicas of the old version whose answers are held against the new one's: as many as take work in a
	/// trial, so that both versions' sick replicas show alike. Summed over hundreds, half of which fail, the
	/// groups of the old version's would all look half sick.
	std::size_t control_replicas = 16;

	/// A version that gave this many bad answers, failures or slow ones, is to be shown as good as the old
	/// one within this time, or gets nothing any more. A VM that reads the registry knows a third to a fifth
	/// of all answers, and users allow a bad version 5 s after 50 bad answers.
	std::uint64_t patience_bad = 12;
	duration patience = std::chrono::milliseconds{3000};

	/// From this time before a trial's end on, VMs that can't tell by the answers known to them write these
	/// for the others, no more often than this: only with thin traffic, where all together can tell.
	duration closing = std::chrono::milliseconds{1200};
	duration closing_pause = std::chrono::milliseconds{1000};

	/// A VM that missed a part of the trial waits for this part of the shift's time before it gives a version
	/// back that is not shown to be good, and none waits past this multiple of that time.
	double late_hold = 0.5;
	double longest_hold = 2;

	/// Without news from the registry for this long, the share no longer grows.
	duration news_limit = std::chrono::milliseconds{2500};

	/// A VM that did not follow a shift since nothing went to the new version (it started later, or had lost
	/// the registry) may have missed the verdict of others. It declares the version completed only when it
	/// has followed for this long, two reports of other VMs and a repeated write, and knows of this many
	/// answers: a bad version shows within them. Without this a VM that restarts after a shift's time, with
	/// the registry just back, declares a version completed that all others had suspended.
	duration late_wait = std::chrono::milliseconds{1600};
	std::uint64_t late_answers = 25;

	/// Least time between two writes of evidence by one VM.
	duration report_pause = std::chrono::milliseconds{300};

	/// Evidence is written where more than tolerated is bad, and again when its bad answers have grown by
	/// this factor: each write is priced, and a good version's few bad answers change nothing. A verdict is
	/// late by at most a third of them.
	double report_growth = 1.5;

	/// Most VMs whose evidence goes into one write; the registry takes 100 rows and 1 MB at once.
	std::size_t most_reported = 90;

	/// Fewest bad answers that are written: other VMs may have seen as many.
	std::uint64_t fewest_reported = 2;

	/// VMs that read the registry act on the same news at random moments within this time, so that mostly
	/// only one has to.
	duration spread = std::chrono::milliseconds{250};

	/// The others act later by this time, and within a spread of this: only where no reader did.
	duration reader_advantage = std::chrono::milliseconds{900};
};

/// \brief Something to write to the registry.
struct shift_write
{
	/// The plan as it is to be, on the condition that its row is still the one it names.
	std::optional<shift_plan> plan;

	/// What this VM saw, and what VMs that read through it told it.
	std::vector<reported_evidence> evidence;
};

/// \brief What a VM knows of a shift, in sums: why it thinks a version good or bad.
struct shift_summary
{
	answer_counts old_version;
	answer_counts new_version;

	/// What speaks against the new version the most, and what speaks for it.
	version_verdict verdict;
	version_proof proof;

	/// VMs whose answers are in the sums, this one included.
	std::size_t vms{};
};

/// \brief Told when a plan is taken, and when the new version is suspended here.
struct shift_news
{
	const shift_plan& plan;
	bool suspended{};

	/// Another VM's verdict was taken.
	bool told{};
	shift_summary known;
};

/// \brief The shifts of all services as this VM knows them.
class version_shift
{
  public:
	using news_hook = std::function<void(const shift_news&)>;

	version_shift(random_source random, news_hook news, shift_tuning tuning = {});

	void on_order(const shift_order& order, instant now);
	void on_plan(const shift_plan& plan, instant now);

	/// \brief Takes another VM's evidence from the registry; it replaces what that VM reported before.
	void on_evidence(const std::string& reporter, const shift_evidence& evidence, instant now);

	/// \brief Takes the evidence of a VM that reads through this one, which is to write it for it.
	void on_relayed_evidence(const std::string& reporter, const shift_evidence& evidence, instant now);

	/// \brief Takes another VM's verdict: the new version is suspended here too.
	void on_suspension(const shift_suspension& suspension, instant now);

	/// \brief What this VM saw of new versions under way, for the VM that writes it.
	[[nodiscard]] std::vector<shift_evidence> own_evidence() const;

	/// \brief Whether a shift is under way.
	[[nodiscard]] bool is_shifting() const;

	/// \brief The verdicts in force here on shifts under way.
	[[nodiscard]] std::vector<shift_suspension> suspensions() const;

	/// \brief Says whether this VM reads the registry itself, perhaps for others; at first it does. Such a VM
	/// writes evidence, and is the first to write plans.
	void note_reads_registry(bool does);

	/// \brief Takes the replicas of a service, to know which version it has without any order.
	void note_replicas(const service_id& service, const std::vector<routing::replica_ptr>& replicas);

	/// \brief Notes the registry's clock as an answer of it told.
	void note_registry_time(registry_time then, instant now);

	/// \brief Notes an answer.
	void note_answer(
		const service_id& service, const std::string& version, const answer_sample& answer, instant now);

	/// \brief Version that work goes to.
	/// \param point Hash of the session: the same point stays on the new version once it is there.
	/// \returns The version, or empty where any will do.
	[[nodiscard]] std::string version_for(const service_id& service, std::uint64_t point, instant now) const;

	/// \brief Version to use where no replica of `version_for` can be used, or empty.
	[[nodiscard]] std::string fallback_for(const service_id& service, std::uint64_t point, instant now) const;

	/// \brief Whether a replica takes work now: one of a version under way may not be in use yet.
	[[nodiscard]] bool is_in_use(const routing::replica& one, instant now) const;

	/// \brief What is to be written now. Nothing is given twice until `on_written` or its time has come
	/// again.
	[[nodiscard]] std::vector<shift_write> due(instant now);

	/// \brief When `due` wants to be called next; none: not before the next input.
	[[nodiscard]] std::optional<instant> next_due() const;

	/// \brief The share of sessions on the new version now; for status and tests.
	[[nodiscard]] double share(const service_id& service, instant now) const;

	/// \brief Whether this VM has evidence about a service to write.
	[[nodiscard]] bool has_evidence(const service_id& service) const;

	/// \brief The plan in force for a service, or null.
	[[nodiscard]] const shift_plan* plan_of(const service_id& service) const;

  private:
	struct service_state
	{
		std::string stable_version;
		std::optional<shift_order> order;
		instant order_known_at;
		std::optional<shift_plan> plan;

		/// Since when this VM has followed the plan without losing the registry.
		instant followed_since;
		bool suspended{};

		/// Replicas by version.
		std::map<std::string, std::size_t> replicas;

		/// Paces of the version in force by model, as this VM saw them while no shift was under way. Engines
		/// that are overloaded when a shift begins showed before how fast they are.
		std::map<std::string, answer_times> usual_paces;

		/// What this VM saw, what others reported, and the sum of all.
		version_evidence own;
		std::map<std::string, version_evidence> others;
		version_evidence known;

		/// The sum of what this VM saw and of what it writes for others.
		version_evidence to_write;

		/// What is made of these sums.
		version_verdict verdict;
		version_proof proof;
		std::uint64_t suspicious{};

		/// Since when the new version has given so many bad answers that it is to be shown good soon.
		std::optional<instant> bad_since;

		/// VMs whose evidence this one writes, and those among them with news.
		std::set<std::string> relayed;
		std::set<std::string> unwritten;

		/// Bad answers in the evidence that was written last, and when.
		std::uint64_t written_bad{};
		instant written_at;

		/// When this VM acts on the state of the plan; none: nothing to do.
		std::optional<instant> act_at;
	};

	[[nodiscard]] const service_state* find(const service_id& service) const;
	[[nodiscard]] registry_time registry_now(instant now) const;
	/// How much of the plan's time is over; what it means is up to the schedule.
	[[nodiscard]] double part_of(const shift_plan& plan, instant now) const;
	/// When so much of the plan's time is over.
	[[nodiscard]] instant moment_of(const shift_plan& plan, double part) const;
	[[nodiscard]] shift_schedule schedule_of(const shift_plan& plan) const;
	[[nodiscard]] double share_of(const service_state& state, instant now) const;
	[[nodiscard]] bool is_at_peak(const service_state& state, instant now) const;
	[[nodiscard]] bool has_fresh_news(instant now) const { return now - news_at_ < tuning_.news_limit; }
	[[nodiscard]] static bool is_running(const service_state& state);

	/// Replicas of a plan's new version, and all others.
	[[nodiscard]] static std::size_t new_replicas(const service_state& state);
	[[nodiscard]] static std::size_t old_replicas(const service_state& state);

	[[nodiscard]] bool is_control(const service_state& state, std::uint64_t replica) const;
	static void note_usual(service_state& state, const answer_sample& answer);
	static void note_before(version_evidence& to, const answer_sample& answer);
	void note_seen(service_state& state, bool is_new, const answer_sample& answer, instant now) const;
	static void relay(service_state& state, const std::string& reporter);
	bool keep_evidence(service_state& state, const std::string& reporter, const shift_evidence& evidence);
	void weigh(service_state& state) const;
	void judge(service_state& state, instant now);
	void suspend(service_state& state, bool told);
	[[nodiscard]] shift_summary summary_of(const service_state& state) const;

	[[nodiscard]] std::optional<instant> evidence_due_at(const service_state& state) const;
	[[nodiscard]] std::vector<reported_evidence> take_evidence(
		const service_id& service, service_state& state, instant now);

	/// When a promoted plan is to be declared completed.
	[[nodiscard]] instant completed_at(const shift_plan& plan) const;
	[[nodiscard]] double promoted_part(const shift_plan& plan) const;
	[[nodiscard]] bool is_promotable(const service_state& state, instant now) const;
	[[nodiscard]] instant give_back_at(const service_state& state) const;
	[[nodiscard]] std::optional<instant> unproven_at(const service_state& state) const;
	void give_back_unproven(service_state& state, instant now);

	[[nodiscard]] static bool has_new_order(const service_state& state);
	[[nodiscard]] bool knows_verdict(const service_state& state, instant now) const;
	void on_registry_back(instant now);
	[[nodiscard]] std::optional<shift_plan> first_plan(const service_state& state) const;
	[[nodiscard]] std::optional<shift_plan> next_plan(const service_state& state, instant now) const;
	[[nodiscard]] std::optional<instant> moment_to_act(const service_state& state, instant now) const;
	void schedule(service_state& state, instant now);
	void schedule_sooner(service_state& state, instant now);
	[[nodiscard]] duration random_delay() const;

	random_source random_;
	news_hook news_;
	shift_tuning tuning_;
	std::map<service_id, service_state> services_;
	bool reads_registry_ = true;

	/// The registry's clock less ours, by the freshest answer.
	std::optional<duration> clock_offset_;
	instant news_at_;
};
} // namespace gingerdyke::rollout
