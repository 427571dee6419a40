// SPDX-License-Identifier: MIT
// How many requests a bad version answers until its suspension is known everywhere, by number of entry VMs.
#include "experiments.hpp"
#include <cmath>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/rollout/permit_owner.hpp>
#include <gingerdyke/rollout/trial_gate.hpp>
#include <memory>

namespace gingerdyke::bench
{
namespace
{
constexpr std::size_t domain_count = 7;
constexpr double requests_per_vm_second = 9.4;
constexpr double trial_share = 0.1;
constexpr duration step = std::chrono::milliseconds{100};
constexpr int most_seconds = 600;

const version_ref trial_version = version_ref::parse("m@2");

table::table trial_table()
{
	table::row_set rows;
	rows[row_id{"settings/global"}] = {{{"session_key", std::string(32, 'k')}}, revision{1}, false};
	rows[row_id{"version/m@1"}] = {
		{{"state", "stable"}, {"micro_cost_per_1k_tokens", 1}}, revision{1}, false};
	rows[row_id{"version/m@2"}] = {
		{{"state", "trial"}, {"micro_cost_per_1k_tokens", 1}, {"tolerated_failures", 0.02}}, revision{1},
		false};
	return std::move(*table::table::compile(rows, revision{1}));
}

/// One VM's part: its gate, and the trials that it owns.
struct vm_part
{
	std::unique_ptr<membership::membership_view> live;
	std::unique_ptr<rollout::trial_gate> gate;
	std::unique_ptr<rollout::permit_owner> owner;
};

/// A fleet whose messages are delivered within the step, and whose news of a suspension takes one more
/// second.
class fleet
{
  public:
	fleet(std::size_t vms, std::uint64_t seed) : random_(seeded_random{seed}), table_(trial_table())
	{
		std::vector<membership::member> members;
		for (std::size_t i = 0; i < vms; ++i)
		{
			members.push_back({vm_id{"vm-" + std::to_string(i)},
				failure_domain_id{"fd-" + std::to_string(i % domain_count)}, membership::member_kind::entry,
				membership::member_state::live, ""});
		}
		for (const auto& member : members)
		{
			auto& part = parts_[member.vm];
			part.live = std::make_unique<membership::membership_view>(member, members);
			part.gate = std::make_unique<rollout::trial_gate>(*part.live);
			part.owner = std::make_unique<rollout::permit_owner>(*part.live);
		}
	}

	/// Lets a version answer until it is suspended everywhere or enough answers were given.
	/// \returns Answers of the version; negative where it was suspended and `healthy` was expected.
	struct result
	{
		std::uint64_t answers{};
		bool suspended{};
		double seconds{};
	};

	result run(double failure_rate, std::uint64_t enough)
	{
		result out;
		for (now_ = instant{std::chrono::hours{1}}; out.seconds < most_seconds && out.answers < enough;
			 now_ += step)
		{
			out.seconds += 0.1;
			if (suspended_at_ && now_ - *suspended_at_ > std::chrono::seconds{1})
			{
				break;
			}
			for (auto& [id, part] : parts_)
			{
				out.answers += answer_some(part, failure_rate);
				deliver(id, part.gate->on_tick(table_, now_));
				take(id, part.owner->on_tick(table_, now_));
			}
		}
		out.suspended = suspended_at_.has_value();
		return out;
	}

  private:
	std::uint64_t answer_some(vm_part& part, double failure_rate)
	{
		const auto wanted = requests_per_vm_second * trial_share * 0.1;
		if (random_unit(random_) >= wanted || !part.gate->take_permit(*table_.version(trial_version), now_))
		{
			return 0;
		}
		part.gate->record_response(*table_.version(trial_version), random_unit(random_) < failure_rate);
		return 1;
	}

	void take(const vm_id& from, const rollout::permit_owner_step& step_taken)
	{
		if (!step_taken.suspended.empty() && !suspended_at_)
		{
			suspended_at_ = now_;
		}
		deliver(from, step_taken.out);
	}

	void deliver(const vm_id& from, const effects& out)
	{
		for (const auto& one : out)
		{
			const auto& send = std::get<send_peer>(one);
			auto& to = parts_.at(send.to);
			if (const auto* request = std::get_if<peer::permit_request>(&send.body))
			{
				take(send.to, to.owner->on_request(from, *request, table_, now_));
			}
			else if (const auto* grant = std::get_if<peer::permit_grant>(&send.body))
			{
				to.gate->on_grant(*grant, now_);
			}
			else if (const auto* sum = std::get_if<peer::evidence_sum>(&send.body))
			{
				take(send.to, to.owner->on_evidence_sum(*sum, table_, now_));
			}
		}
	}

	random_source random_;
	table::table table_;
	std::map<vm_id, vm_part> parts_;
	instant now_;
	std::optional<instant> suspended_at_;
};

/// Baseline: every VM sends a fixed share and judges alone, by a fixed threshold over at least 20 answers.
double judging_alone(std::size_t vms, double failure_rate, std::uint64_t seed)
{
	const random_source random = seeded_random{seed};
	std::uint64_t answers = 0;
	constexpr std::uint64_t least = 20;
	constexpr double threshold = 0.1;
	for (std::size_t vm = 0; vm < vms; ++vm)
	{
		std::uint64_t own = 0;
		std::uint64_t failed = 0;
		constexpr std::uint64_t longest = 560;
		while (own < longest &&
			   (own < least || static_cast<double>(failed) < threshold * static_cast<double>(own)))
		{
			++own;
			failed += random_unit(random) < failure_rate ? 1 : 0;
		}
		answers += own;
	}
	return static_cast<double>(answers);
}

/// Baseline: a fixed 5% share everywhere, judged centrally every second by the same threshold.
double fixed_share(std::size_t vms, double failure_rate, std::uint64_t seed)
{
	const random_source random = seeded_random{seed};
	std::uint64_t answers = 0;
	std::uint64_t failed = 0;
	constexpr double share = 0.05;
	while (answers < 100'000)
	{
		const auto expected = static_cast<double>(vms) * requests_per_vm_second * share;
		const auto here = static_cast<std::uint64_t>(expected) +
						  (random_unit(random) < expected - std::floor(expected) ? 1 : 0);
		const bool bad = answers >= 20 && static_cast<double>(failed) >= 0.1 * static_cast<double>(answers);
		answers += here;
		for (std::uint64_t i = 0; i < here; ++i)
		{
			failed += random_unit(random) < failure_rate ? 1 : 0;
		}
		if (bad)
		{
			break;
		}
	}
	return static_cast<double>(answers);
}
} // namespace

void bad_versions()
{
	std::cout << "## Bad versions\n\nRequests answered by a version under trial until its suspension is "
				 "known everywhere: median (range) of "
			  << seeds
			  << " seeds.\n\n| entry VMs | failing | permits | fixed 5% share | each VM alone "
				 "|\n|---|---|---|---|---|\n";
	constexpr std::uint64_t plenty = 1'000'000;
	for (const std::size_t vms : {std::size_t{7}, std::size_t{50}, std::size_t{340}})
	{
		for (const double rate : {1.0, 0.3, 0.1})
		{
			const auto permits = over_seeds(
				[&](std::uint64_t seed) {
					return static_cast<double>(fleet{vms, seed}.run(rate, plenty).answers);
				});
			const auto share = over_seeds([&](std::uint64_t seed) { return fixed_share(vms, rate, seed); });
			const auto alone = over_seeds([&](std::uint64_t seed) { return judging_alone(vms, rate, seed); });
			std::cout << "| " << vms << " | " << rate << " | " << permits << " | " << share << " | " << alone
					  << " |\n";
		}
	}
	std::uint64_t false_alarms = 0;
	constexpr std::uint64_t roll_outs = 1000;
	for (std::uint64_t seed = 1; seed <= roll_outs; ++seed)
	{
		false_alarms += fleet{7, seed}.run(0.01, 500).suspended ? 1 : 0;
	}
	std::cout << "\nHealthy roll-outs (1% failing, 2% tolerated, 7 entry VMs, 500 answers each): "
			  << false_alarms << " of " << roll_outs << " suspended.\n";
	for (const std::size_t vms : {std::size_t{7}, std::size_t{50}, std::size_t{340}})
	{
		const auto seconds = over_seeds(
			[&](std::uint64_t seed) {
				return fleet{vms, seed}.run(0.0, 1000).seconds;
			});
		std::cout << "Seconds until a good version has 1000 answers, " << vms << " entry VMs: " << seconds
				  << ".\n";
	}
}
} // namespace gingerdyke::bench
