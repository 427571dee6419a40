// SPDX-License-Identifier: MIT
// Latency by the choice of the replica: fake engines that batch, cache prefixes in limited memory, and report
// their load only with their answers.
#include "experiments.hpp"
#include <array>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/decision/replica_board.hpp>
#include <list>
#include <map>
#include <queue>

namespace gingerdyke::bench
{
namespace
{
constexpr std::size_t replicas = 12;
constexpr std::size_t vms = 3;
constexpr unsigned batch = 8;
constexpr std::size_t cached_prefixes = 24;
constexpr std::size_t prefixes = 200;
constexpr double zipf = 1.0;
constexpr std::size_t requests = 20'000;
constexpr double prefill_seconds = 0.30;
constexpr double prefill_cached_seconds = 0.03;
constexpr double decode_seconds = 0.50;

/// How a replica is chosen.
enum class rule
{
	gingerdyke,
	power_of_two,
	random,
	round_robin,
	least_lagged,
	plain_hash,
	perfect_knowledge,
};

/// A fake engine: `batch` requests at a time, the rest waits in order.
struct engine
{
	std::vector<double> free_at = std::vector<double>(batch, 0.0);
	std::list<std::uint64_t> cache;
	std::uint64_t open{};

	bool touch(std::uint64_t prefix)
	{
		const auto found = std::find(cache.begin(), cache.end(), prefix);
		const bool hit = found != cache.end();
		if (hit)
		{
			cache.erase(found);
		}
		cache.push_front(prefix);
		if (cache.size() > cached_prefixes)
		{
			cache.pop_back();
		}
		return hit;
	}
};

struct figures
{
	std::vector<double> first_token;
	double hits{};
};

struct finished
{
	double at{};
	std::size_t replica{};
	std::size_t vm{};

	friend bool operator>(const finished& a, const finished& b) { return a.at > b.at; }
};

class arena
{
  public:
	arena(rule how, double utilisation, std::uint64_t seed) : how_(how), random_(seeded_random{seed})
	{
		for (std::size_t i = 0; i < replicas; ++i)
		{
			rows_[i].id = replica_id{"replica-" + std::to_string(i)};
			rows_[i].failure_domain = failure_domain_id{"fd"};
			rows_[i].slots = 1000;
			candidates_.push_back(&rows_[i]);
		}
		for (std::size_t i = 0; i < vms; ++i)
		{
			boards_.emplace_back(seeded_random{seed * 100 + i});
			lagged_.emplace_back(replicas, 0.0);
		}
		double sum = 0;
		for (std::size_t i = 0; i < prefixes; ++i)
		{
			sum += 1 / std::pow(static_cast<double>(i + 1), zipf);
			cumulative_.push_back(sum);
		}
		per_second_ = utilisation * replicas * batch / (prefill_seconds + decode_seconds);
	}

	figures run()
	{
		figures out;
		for (std::size_t i = 0; i < requests; ++i)
		{
			now_ -= std::log(1 - random_unit(random_)) / per_second_;
			settle();
			const auto prefix = draw_prefix();
			const auto vm = random_below(random_, vms);
			const auto chosen = choose(vm, prefix);
			auto& engine = engines_[chosen];
			const bool hit = engine.touch(prefix);
			out.hits += hit ? 1.0 / requests : 0;
			auto slot = std::min_element(engine.free_at.begin(), engine.free_at.end());
			const auto begins = std::max(now_, *slot);
			const auto first = begins + (hit ? prefill_cached_seconds : prefill_seconds);
			*slot = first - decode_seconds * std::log(1 - random_unit(random_));
			out.first_token.push_back(first - now_);
			++engine.open;
			boards_[vm].note_dispatch(rows_[chosen].id);
			ends_.push({*slot, chosen, vm});
		}
		return out;
	}

  private:
	instant clock() const
	{
		return instant{duration{static_cast<duration::rep>(now_ * 1e6) + 3'600'000'000}};
	}

	/// Answers bring the engine's load, as it was when they left.
	void settle()
	{
		while (!ends_.empty() && ends_.top().at <= now_)
		{
			const auto one = ends_.top();
			ends_.pop();
			auto& engine = engines_[one.replica];
			--engine.open;
			boards_[one.vm].note_end(rows_[one.replica].id);
			boards_[one.vm].note_load(rows_[one.replica].id, static_cast<double>(engine.open), clock());
			lagged_[one.vm][one.replica] = static_cast<double>(engine.open);
		}
	}

	std::uint64_t draw_prefix()
	{
		const auto point = random_unit(random_) * cumulative_.back();
		const auto found = std::lower_bound(cumulative_.begin(), cumulative_.end(), point);
		return stable_hash(std::to_string(found - cumulative_.begin())) | 1U;
	}

	std::size_t choose(std::size_t vm, std::uint64_t prefix)
	{
		const auto production = [&](std::uint64_t with)
		{
			const auto choice = boards_[vm].choose(
				candidates_, failure_domain_id{"fd"}, with, {}, [](const replica_id&) { return false; },
				clock());
			return static_cast<std::size_t>(choice.chosen - rows_.data());
		};
		const auto least = [&](const auto& load)
		{
			std::size_t best = 0;
			for (std::size_t i = 1; i < replicas; ++i)
			{
				best = load(i) < load(best) ? i : best;
			}
			return best;
		};
		switch (how_)
		{
		case rule::gingerdyke:
			return production(prefix);
		case rule::power_of_two:
			return production(0);
		case rule::random:
			return random_below(random_, replicas);
		case rule::round_robin:
			return next_++ % replicas;
		case rule::least_lagged:
			return least([&](std::size_t i) { return lagged_[vm][i]; });
		case rule::plain_hash:
			return prefix / 2 % replicas;
		case rule::perfect_knowledge:
			return least(
				[&](std::size_t i)
				{
					const auto& cache = engines_[i].cache;
					const bool cached = std::find(cache.begin(), cache.end(), prefix) != cache.end();
					const auto free =
						*std::min_element(engines_[i].free_at.begin(), engines_[i].free_at.end());
					return std::max(now_, free) + (cached ? prefill_cached_seconds : prefill_seconds);
				});
		}
		return 0;
	}

	rule how_;
	random_source random_;
	std::array<table::replica_row, replicas> rows_;
	std::vector<const table::replica_row*> candidates_;
	std::array<engine, replicas> engines_;
	std::vector<decision::replica_board> boards_;
	std::vector<std::vector<double>> lagged_;
	std::vector<double> cumulative_;
	std::priority_queue<finished, std::vector<finished>, std::greater<>> ends_;
	double per_second_{};
	double now_ = 0;
	std::size_t next_ = 0;
};

double quantile(std::vector<double> values, double share)
{
	std::sort(values.begin(), values.end());
	return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}
} // namespace

void replica_choice()
{
	std::cout << "\n## Replica choice\n\nSeconds to the first token and share of prompts whose prefix was "
				 "cached: median (range) of "
			  << seeds
			  << " seeds; 12 engines, 3 entry VMs, 200 prefixes (Zipf), 24 cached an engine. Utilisation is "
				 "that without any cache hit.\n\n| utilisation | rule | p50 | p95 | p99 | hits "
				 "|\n|---|---|---|---|---|---|\n";
	const std::vector<std::pair<rule, const char*>> rules{
		{rule::gingerdyke, "affinity with bounded load, else two choices (in use)"},
		{rule::power_of_two, "two choices, no affinity"}, {rule::random, "random"},
		{rule::round_robin, "round robin"}, {rule::least_lagged, "least lagged load"},
		{rule::plain_hash, "plain hash"}, {rule::perfect_knowledge, "perfect knowledge (limit)"}};
	for (const double utilisation : {0.5, 0.9})
	{
		for (const auto& [how, name] : rules)
		{
			const auto at = [&, how = how](double share)
			{
				return over_seeds(
					[&](std::uint64_t seed) {
						return quantile(arena{how, utilisation, seed}.run().first_token, share);
					});
			};
			const auto hits = over_seeds(
				[&, how = how](std::uint64_t seed) {
					return arena{how, utilisation, seed}.run().hits;
				});
			std::cout << "| " << utilisation << " | " << name << " | " << at(0.5) << " | " << at(0.95)
					  << " | " << at(0.99) << " | " << hits << " |\n";
		}
	}
}
} // namespace gingerdyke::bench
