// SPDX-License-Identifier: MIT
// Many VMs in virtual time before one replica that names a limit: the limit holds over all of them, what the
// replica takes is used, and it gets all again after its need.
#include "../support/fleet.hpp"
#include "../support/replicas.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/routing/announced_limits.hpp>
#include <memory>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using gingerdyke::test::at;
using gingerdyke::test::make_replica;
using gingerdyke::test::vm_named;
using gingerdyke::test::vms_up_to;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr milliseconds step{10};

/// The platform's promise: in some four seconds at most this many, from three seconds after the first answer
/// that names the limit.
constexpr seconds window{4};
constexpr seconds grace{3};
double most_in_window(double limit)
{
	constexpr double over = 1.5;
	constexpr double slack = 5;
	return over * limit * static_cast<double>(window.count()) + slack;
}

struct limited_vm
{
	fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_statement&) {}};
	bool is_told{};
};

struct pending_answer
{
	std::size_t vm{};
	instant sent_at;
	instant due;
	std::optional<double> limit;
};

/// One deployment. Each VM has callers at a rate, and sends them to the replica where it may.
class limited_fleet
{
  public:
	limited_fleet(std::uint64_t seed, std::size_t vms, double demand_per_vm)
		: random_(seeded_random{seed}), demand_(demand_per_vm)
	{
		for (std::size_t i = 0; i < vms; ++i)
		{
			vms_.push_back(std::make_unique<limited_vm>());
			vms_.back()->vms.set(vm_named(i), vms_up_to(vms), at(seconds{-10}));
		}
	}

	/// Plays a span with the limit that the replica names then.
	void play(duration span, std::optional<double> limit)
	{
		for (const auto until = now_ + span; now_ < until; now_ += step)
		{
			answer();
			for (std::size_t i = 0; i < vms_.size(); ++i)
			{
				send(i, limit);
			}
		}
	}

	/// Lets VMs tell others of their failure domain what they heard, as in a report and its summary.
	void tell_each_other()
	{
		for (std::size_t from = 0; from < vms_.size(); ++from)
		{
			for (const auto& heard : vms_[from]->limits.own_news(now_))
			{
				for (auto to = from % domains; to < vms_.size(); to += domains)
				{
					vms_[to]->limits.note_elsewhere(one_, heard, now_);
				}
			}
		}
	}

	[[nodiscard]] std::size_t most_from_told(instant since) const
	{
		std::deque<instant> lately;
		std::size_t most = 0;
		for (const auto sent_at : from_told_)
		{
			if (sent_at < since)
			{
				continue;
			}
			lately.push_back(sent_at);
			while (sent_at - lately.front() > window)
			{
				lately.pop_front();
			}
			most = std::max(most, lately.size());
		}
		return most;
	}

	[[nodiscard]] std::size_t arrived() const noexcept { return arrived_; }
	[[nodiscard]] instant now() const noexcept { return now_; }

	/// How many VMs still keep a limit.
	[[nodiscard]] std::size_t limited() const
	{
		return static_cast<std::size_t>(std::count_if(
			vms_.begin(), vms_.end(), [&](const auto& vm) { return vm->limits.is_limited(one_); }));
	}

  private:
	static constexpr std::size_t domains = 3;

	void send(std::size_t vm, std::optional<double> limit)
	{
		const double per_step = demand_ * std::chrono::duration<double>{step}.count();
		auto& of = *vms_[vm];
		if (random_unit(random_) >= per_step || !of.limits.takes(one_, now_))
		{
			return;
		}
		of.limits.note_sent(one_, now_);
		++arrived_;
		if (of.is_told)
		{
			from_told_.push_back(now_);
		}
		const milliseconds took{10 + random_below(random_, 400)};
		pending_.push_back({vm, now_, now_ + took, limit});
	}

	void answer()
	{
		std::erase_if(pending_,
			[&](const pending_answer& one)
			{
				if (one.due > now_)
				{
					return false;
				}
				auto& of = *vms_[one.vm];
				of.limits.note_answer(one_, {one.limit, one.sent_at, "q"}, now_);
				of.is_told = of.is_told || one.limit;
				return true;
			});
	}

	random_source random_;
	double demand_;
	replica one_ = make_replica("r1");
	std::vector<std::unique_ptr<limited_vm>> vms_;
	std::vector<pending_answer> pending_;
	std::vector<instant> from_told_;
	std::size_t arrived_{};
	instant now_ = at(seconds{0});
};
} // namespace

TEST_CASE("all VMs together keep the limit that a replica names", "[routing][limit]")
{
	for (const std::size_t vms : {1U, 7U, 65U, 340U})
	{
		for (const double limit : {0.0, 0.2, 1.0, 1.5, 4.0, 20.0, 120.0})
		{
			// A replica gets some times what it asks for; each VM a few requests a second, or few in all.
			for (const double demand : {0.05, 1.0, 10.0})
			{
				CAPTURE(vms, limit, demand);
				limited_fleet fleet{7, vms, demand};
				fleet.play(seconds{2}, std::nullopt);
				const auto named_at = fleet.now();
				fleet.play(seconds{40}, limit);
				CHECK(static_cast<double>(fleet.most_from_told(named_at + grace)) <= most_in_window(limit));
			}
		}
	}
}

TEST_CASE("what a replica with a limit takes is used", "[routing][limit]")
{
	constexpr double used = 0.75;
	for (const std::size_t vms : {1U, 7U, 65U, 340U})
	{
		for (const double limit : {0.5, 1.5, 4.0, 20.0})
		{
			CAPTURE(vms, limit);
			limited_fleet fleet{11, vms, 20};
			fleet.play(seconds{10}, limit);
			const auto before = fleet.arrived();
			constexpr seconds span{60};
			fleet.play(span, limit);
			const auto arrived = static_cast<double>(fleet.arrived() - before);
			CHECK(arrived >= used * limit * static_cast<double>(span.count()) - 1);
		}
	}
}

TEST_CASE("after a replica's need its VMs send freely again, told by each other", "[routing][limit]")
{
	for (const std::size_t vms : {7U, 65U, 340U})
	{
		CAPTURE(vms);
		limited_fleet fleet{13, vms, 2};
		for (int i = 0; i < 20; ++i)
		{
			fleet.play(seconds{1}, 1.5);
			fleet.tell_each_other();
		}
		REQUIRE(fleet.limited() == vms);
		for (int i = 0; i < 10; ++i)
		{
			fleet.play(seconds{1}, std::nullopt);
			fleet.tell_each_other();
		}
		CHECK(fleet.limited() == 0);
	}
}

TEST_CASE(
	"after a replica's need its VMs send freely again, also where none hears of others", "[routing][limit]")
{
	limited_fleet fleet{17, 7, 2};
	fleet.play(seconds{20}, 1.5);
	fleet.play(seconds{15}, std::nullopt);
	CHECK(fleet.limited() == 0);
}
