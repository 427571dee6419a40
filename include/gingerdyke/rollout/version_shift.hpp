// SPDX-License-Identifier: MIT
// Moves a service's traffic from one software version to another, over all VMs without a central one: every
// VM computes the same share from the same plan, and whoever sees that the new version is bad says so to all.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
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

	/// Row version of the plan itself; 0: not written yet.
	row_version row;
};

/// \brief Answers of the new version that were judged, and those among them that were bad.
struct shift_counts
{
	std::uint64_t answers{};

	/// The replica answered that it failed.
	std::uint64_t failed{};

	/// Slower than nine in ten of the old version's.
	std::uint64_t slow{};
};

/// \brief Counts by group: failures by route, slowness by model, since both may concern one only.
using group_counts = std::map<std::string, shift_counts>;

/// \brief One answer, as far as it tells about its version.
struct answer_sample
{
	std::string route;

	/// Model that answered; empty for plain services.
	std::string model;
	bool failed{};

	/// Time to the first byte over the time that a prompt of this size takes an idle engine: compares answers
	/// to prompts of all sizes.
	double relative_time{};
};

/// \brief What one VM saw of a new version.
struct shift_evidence
{
	service_id service;
	row_version order;
	group_counts by_group;
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
	/// Part of the time before which nothing goes to the new version. In the first half a session must not
	/// move to it, and sessions that began before, on whatever VM, can't be told from others.
	double start_at = 0.505;

	/// Share of sessions on the new version at first, until `grow_at`: enough answers to judge by, while a
	/// bad version is far from the 0.15 of all requests that the users allow it.
	double first_share = 0.08;

	/// Parts of the time at which the share begins to grow, and at which it is 1. What is left lets streams
	/// on the old version end.
	double grow_at = 0.6;
	double full_at = 0.78;

	/// Part of the time that is left when the shift is declared completed, and the least of it.
	double spare_share = 0.06;
	duration least_spare = std::chrono::milliseconds{1200};

	/// Without news from the registry for this long, the share no longer grows.
	duration news_limit = std::chrono::milliseconds{2500};

	/// A VM that did not follow a shift since nothing went to the new version (it started later, or had lost
	/// the registry) may have missed the verdict of others. It declares the version completed only when it
	/// has followed for this long, two reports of other VMs and a repeated write, and knows of this many
	/// answers: a bad version shows within them. Without this a VM that restarts after a shift's time, with
	/// the registry just back, declares a version completed that all others had suspended.
	duration late_wait = std::chrono::milliseconds{1600};
	std::uint64_t late_answers = 25;

	/// A version is bad where the evidence that it fails more than tolerated passes this logarithm; chance
	/// alone does so once in ten thousand shifts (see sequential_test.hpp).
	double verdict = 9.2;

	/// Fewest bad answers for a verdict.
	std::uint64_t fewest_bad = 3;

	/// Tolerated share of bad answers: this, and this multiple of the old version's.
	double tolerated = 0.04;
	double tolerated_multiple = 1.6;

	/// The old version's counts are halved each time they reach this many answers, so that they tell of now.
	std::uint64_t base_memory = 400;

	/// An answer is slow where it took longer than this share of the old version's.
	double slow_quantile = 0.9;

	/// Tolerated share of slow answers: a new version begins with cold caches, which makes up to a third
	/// slow.
	double tolerated_slow = 0.45;

	/// Fewest slow answers for a verdict, and fewest answers of the old version to compare with.
	std::uint64_t fewest_slow = 8;
	std::uint64_t fewest_base = 25;

	/// How far an answer moves the estimate of the old version's quantile, as a part of it.
	double quantile_step = 0.08;

	/// Least time between two writes of evidence by one VM.
	duration report_pause = std::chrono::milliseconds{300};

	/// Evidence is written where more than tolerated is bad, and again when its bad answers have grown by
	/// this factor: each write is priced, and a good version's few bad answers change nothing. A verdict is
	/// late by at most a third of them.
	double report_growth = 1.5;

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

/// \brief The shifts of all services as this VM knows them.
class version_shift
{
  public:
	/// \brief Told when a plan is taken, and when the new version is suspended here.
	using news_hook = std::function<void(const shift_plan&, bool suspended)>;

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
	void note_reads_registry(bool does) { reads_registry_ = does; }

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
	struct base_counts
	{
		shift_counts counts;

		/// Estimate of the relative time that `slow_quantile` of the answers keep within.
		double slow_above{};
	};

	struct service_state
	{
		std::string stable_version;
		std::optional<shift_order> order;
		std::optional<shift_plan> plan;

		/// Since when this VM has followed the plan without losing the registry.
		instant followed_since;
		bool suspended{};
		group_counts own;
		std::map<std::string, group_counts> others;
		std::map<std::string, base_counts> base;

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
	[[nodiscard]] double share_of(const service_state& state, instant now) const;
	[[nodiscard]] bool looks_bad(const service_state& state) const;
	[[nodiscard]] bool is_bad_group(
		const service_state& state, const std::string& group, const shift_counts& seen) const;
	bool keep_evidence(service_state& state, const std::string& reporter, const shift_evidence& evidence);
	[[nodiscard]] group_counts evidence_to_write(const service_state& state) const;
	[[nodiscard]] bool is_suspicious(const service_state& state, const group_counts& seen) const;
	[[nodiscard]] double tolerated_failures(const service_state& state, const std::string& group) const;
	[[nodiscard]] bool evidence_grew(const service_state& state) const;
	[[nodiscard]] std::vector<reported_evidence> take_evidence(
		const service_id& service, service_state& state, instant now);
	void suspend(service_state& state);
	void note_base(service_state& state, const answer_sample& answer);
	[[nodiscard]] bool is_slow(const service_state& state, const answer_sample& answer) const;
	[[nodiscard]] static bool has_new_order(const service_state& state);
	[[nodiscard]] bool knows_verdict(const service_state& state, instant now) const;
	[[nodiscard]] std::uint64_t answers_known(const service_state& state) const;
	void on_registry_back(instant now);

	/// How long until a plan is to be declared completed; negative: it should have been.
	[[nodiscard]] duration time_to_completion(const shift_plan& plan, instant now) const;
	[[nodiscard]] std::optional<shift_plan> next_plan(const service_state& state, instant now) const;
	[[nodiscard]] std::optional<instant> moment_to_act(const service_state& state, instant now) const;
	void judge(service_state& state, instant now);
	void schedule(service_state& state, instant now);
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
