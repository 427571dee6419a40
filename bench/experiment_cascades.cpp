// SPDX-License-Identifier: MIT
// Cost at the quality target: the cascade policy against fixed rules and an oracle.
#include "experiments.hpp"
#include <cmath>
#include <deque>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/decision/cascade_policy.hpp>

namespace gingerdyke::bench
{
namespace
{
constexpr std::size_t requests = 40'000;
constexpr std::size_t window = 1'000;
constexpr std::size_t rating_lag = 200;
constexpr double cheap_cost = 1;
constexpr double strong_cost = 10;

/// One request as the fake world draws it: what each model would answer, and how sure the cheap one would be.
struct drawn
{
	double confidence{};
	bool cheap_good{};
	bool strong_good{};
};

/// A workload: how good the cheap model is at a confidence; it may change half way.
struct workload
{
	const char* name;
	double base;
	double slope;
	double base_later;
	double target;
};

drawn draw(const random_source& random, const workload& load, std::size_t i)
{
	drawn one;
	one.confidence = random_unit(random);
	const auto base = i < requests / 2 ? load.base : load.base_later;
	one.cheap_good = random_unit(random) < std::min(1.0, base + load.slope * one.confidence);
	one.strong_good = random_unit(random) < 0.96;
	return one;
}

/// Cost and quality of a run.
struct tally
{
	double cost{};
	std::size_t ratings{};
	std::size_t good{};
	std::size_t in_window{};
	std::size_t window_good{};
	std::size_t windows{};
	std::size_t missed{};

	void add(double price, bool is_good, double target)
	{
		cost += price;
		good += is_good ? 1 : 0;
		window_good += is_good ? 1 : 0;
		if (++in_window == window)
		{
			++windows;
			// Missed by more than chance alone would miss a share that is just held.
			const auto slack = 1.65 * std::sqrt(target * (1 - target) / window);
			missed += static_cast<double>(window_good) / window < target - slack ? 1 : 0;
			in_window = window_good = 0;
		}
	}
};

using rule = std::function<void(const drawn&, tally&)>;

tally run_rule(const workload& load, std::uint64_t seed, const rule& decide)
{
	const random_source random = seeded_random{seed};
	tally result;
	for (std::size_t i = 0; i < requests; ++i)
	{
		decide(draw(random, load, i), result);
	}
	return result;
}

tally run_policy(const workload& load, std::uint64_t seed)
{
	const random_source world = seeded_random{seed};
	decision::cascade_policy policy{seeded_random{seed + 2000}};
	const decision::cascade_scope scope{workspace_id{"w"}, class_id{"c"}, cascade_id{"x"}};
	const std::vector<decision::cascade_step> steps{
		{model_id{"cheap"}, micro_cost{1000}, 0.7}, {model_id{"strong"}, micro_cost{10'000}, 0.95}};
	struct rating
	{
		std::size_t due{};
		model_id model;
		double confidence{};
		bool good{};
	};
	std::deque<rating> late;
	std::size_t ratings = 0;
	tally result;
	for (std::size_t i = 0; i < requests; ++i)
	{
		const auto one = draw(world, load, i);
		while (!late.empty() && late.front().due <= i)
		{
			policy.note_rating(scope, late.front().model, late.front().confidence, late.front().good);
			late.pop_front();
		}
		const auto plan = policy.plan(scope, steps, load.target, true);
		const bool cheap_first = plan.first == 0;
		const bool strong = !cheap_first || one.confidence < plan.escalate_below;
		const auto price = (cheap_first ? cheap_cost : 0) + (strong ? strong_cost : 0);
		const bool is_good = strong ? one.strong_good : one.cheap_good;
		result.add(price, is_good, load.target);
		if (cheap_first)
		{
			policy.note_confidence(scope, steps[0].model, one.confidence);
		}
		const auto& answering = strong ? steps[1].model : steps[0].model;
		if (plan.rate_first)
		{
			late.push_back({i + rating_lag, steps[0].model, one.confidence, one.cheap_good});
			++ratings;
		}
		else if (policy.samples_rating())
		{
			late.push_back({i + rating_lag, answering, strong ? 0.9 : one.confidence, is_good});
			++ratings;
		}
	}
	result.ratings = ratings;
	return result;
}

/// Knows each answer's rating beforehand: cheap where it is good, strong where only that is; stops paying for
/// good answers once the target is held.
tally run_oracle(const workload& load, std::uint64_t seed)
{
	std::size_t seen = 0;
	std::size_t good = 0;
	return run_rule(load, seed,
		[&](const drawn& one, tally& result)
		{
			++seen;
			const bool needed = static_cast<double>(good) < load.target * static_cast<double>(seen);
			const bool strong = !one.cheap_good && one.strong_good && needed;
			const bool is_good = one.cheap_good || strong;
			good += is_good ? 1 : 0;
			result.add(strong ? strong_cost : cheap_cost, is_good, load.target);
		});
}

/// Knows how good the cheap model is at each confidence, not each answer: the best threshold in hindsight.
tally run_best_threshold(const workload& load, std::uint64_t seed)
{
	tally best;
	best.cost = 1e18;
	for (int i = 0; i <= 20; ++i)
	{
		const auto threshold = i / 20.0;
		const auto found = run_rule(load, seed,
			[&](const drawn& one, tally& result)
			{
				const bool strong = one.confidence < threshold;
				result.add(cheap_cost + (strong ? strong_cost : 0), strong ? one.strong_good : one.cheap_good,
					load.target);
			});
		const bool holds = static_cast<double>(found.good) >= load.target * requests;
		best = holds && found.cost < best.cost ? found : best;
	}
	return best;
}

/// The cheapest share of requests sent to the strong model at random that holds the target, in hindsight.
tally run_best_share(const workload& load, std::uint64_t seed)
{
	tally best;
	best.cost = 1e18;
	for (int i = 0; i <= 20; ++i)
	{
		const random_source coin = seeded_random{seed + 3000};
		const auto found = run_rule(load, seed,
			[&](const drawn& one, tally& result)
			{
				const bool strong = random_unit(coin) < i / 20.0;
				result.add(strong ? strong_cost : cheap_cost, strong ? one.strong_good : one.cheap_good,
					load.target);
			});
		const bool holds = static_cast<double>(found.good) >= load.target * requests;
		best = holds && found.cost < best.cost ? found : best;
	}
	return best;
}

void print(const workload& load, const char* name, const std::function<tally(std::uint64_t)>& run)
{
	const auto cost = over_seeds([&](std::uint64_t seed) { return run(seed).cost / requests; });
	const auto good =
		over_seeds([&](std::uint64_t seed) { return static_cast<double>(run(seed).good) / requests; });
	const auto missed = over_seeds(
		[&](std::uint64_t seed)
		{
			const auto one = run(seed);
			return one.windows == 0 ? 0 : static_cast<double>(one.missed) / static_cast<double>(one.windows);
		});
	std::cout << "| " << load.name << ", target " << load.target << " | " << name << " | " << cost << " | "
			  << good << " | " << missed << " |\n";
}
} // namespace

void cascades()
{
	std::cout << "\n## Cascades\n\nCost a request (cheap model 1, strong 10), share of good answers, share "
				 "of windows of "
			  << window << " requests that miss the target by more than chance: median (range) of " << seeds
			  << " seeds. Ratings come 200 requests late; the policy asks for 5% of answers to be "
				 "rated.\n\n| workload | rule | cost | good | "
				 "windows missed |\n|---|---|---|---|---|\n";
	const std::vector<workload> loads{
		{"confidence tells much", 0.35, 0.65, 0.35, 0.9},
		{"cheap model suffices", 0.93, 0.05, 0.93, 0.9},
		{"cheap model turns worse half way", 0.9, 0.1, 0.3, 0.9},
	};
	for (const auto& load : loads)
	{
		print(load, "gingerdyke's policy", [&](std::uint64_t seed) { return run_policy(load, seed); });
		print(load, "always strong",
			[&](std::uint64_t seed)
			{
				return run_rule(load, seed,
					[&](const drawn& one, tally& result)
					{ result.add(strong_cost, one.strong_good, load.target); });
			});
		print(load, "always cheap",
			[&](std::uint64_t seed)
			{
				return run_rule(load, seed,
					[&](const drawn& one, tally& result)
					{ result.add(cheap_cost, one.cheap_good, load.target); });
			});
		print(load, "always cheap, then escalate below 0.5",
			[&](std::uint64_t seed)
			{
				return run_rule(load, seed,
					[&](const drawn& one, tally& result)
					{
						const bool strong = one.confidence < 0.5;
						result.add(cheap_cost + (strong ? strong_cost : 0),
							strong ? one.strong_good : one.cheap_good, load.target);
					});
			});
		print(load, "best fixed share, in hindsight",
			[&](std::uint64_t seed) { return run_best_share(load, seed); });
		print(load, "best threshold, in hindsight",
			[&](std::uint64_t seed) { return run_best_threshold(load, seed); });
		print(load, "oracle that knows each rating",
			[&](std::uint64_t seed) { return run_oracle(load, seed); });
	}
}
} // namespace gingerdyke::bench
