// SPDX-License-Identifier: MIT
// Many VMs in virtual time that send to one replica with a limit: all VMs together keep to the limit, use
// what the replica accepts, and send without a limit again after its overload.
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

/// The platform's requirement: in any window of four seconds at most this many requests, beginning three
/// seconds after the first response with the limit.
constexpr seconds window{4};
constexpr seconds grace_period{3};
double max_in_window(double limit)
{
	constexpr double tolerance = 1.5;
	constexpr double slack = 5;
	return tolerance * limit * static_cast<double>(window.count()) + slack;
}

struct limited_vm
{
	fleet_list vms;
	announced_limits limits{vms, [](const replica&, limit_change, const limit_announcement&) {}};

	/// Whether this VM has received a response with the limit.
	bool is_informed{};
};

struct pending_response
{
	std::size_t vm{};
	instant sent_at;
	instant due;
	std::optional<double> limit;
};

/// One deployment. Each VM gets client requests at a given rate and sends them to the replica if it may.
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

	/// Simulates a time span in which the replica announces the given limit.
	void run(duration span, std::optional<double> limit)
	{
		for (const auto until = now_ + span; now_ < until; now_ += step)
		{
			deliver_responses();
			for (std::size_t i = 0; i < vms_.size(); ++i)
			{
				send(i, limit);
			}
		}
	}

	/// Passes what each VM received to the other VMs of its failure domain, as reports and their summaries
	/// do.
	void exchange_updates()
	{
		for (std::size_t from = 0; from < vms_.size(); ++from)
		{
			for (const auto& update : vms_[from]->limits.local_updates(now_))
			{
				for (auto to = from % domains; to < vms_.size(); to += domains)
				{
					vms_[to]->limits.apply_peer_update(target_, update, now_);
				}
			}
		}
	}

	/// Returns the largest number of requests that informed VMs sent in any window after a moment.
	[[nodiscard]] std::size_t max_from_informed(instant since) const
	{
		std::deque<instant> recent;
		std::size_t max_count = 0;
		for (const auto sent_at : sent_by_informed_)
		{
			if (sent_at < since)
			{
				continue;
			}
			recent.push_back(sent_at);
			while (sent_at - recent.front() > window)
			{
				recent.pop_front();
			}
			max_count = std::max(max_count, recent.size());
		}
		return max_count;
	}

	[[nodiscard]] std::size_t request_count() const noexcept { return request_count_; }
	[[nodiscard]] instant now() const noexcept { return now_; }

	/// Number of VMs that still apply a limit.
	[[nodiscard]] std::size_t limited_count() const
	{
		return static_cast<std::size_t>(std::count_if(
			vms_.begin(), vms_.end(), [&](const auto& vm) { return vm->limits.is_limited(target_); }));
	}

  private:
	static constexpr std::size_t domains = 3;

	void send(std::size_t vm, std::optional<double> limit)
	{
		const double per_step = demand_ * std::chrono::duration<double>{step}.count();
		auto& sender = *vms_[vm];
		if (random_unit(random_) >= per_step || !sender.limits.allows_request(target_, now_))
		{
			return;
		}
		sender.limits.record_sent(target_, now_);
		++request_count_;
		if (sender.is_informed)
		{
			sent_by_informed_.push_back(now_);
		}
		const milliseconds took{10 + random_below(random_, 400)};
		pending_.push_back({vm, now_, now_ + took, limit});
	}

	void deliver_responses()
	{
		std::erase_if(pending_,
			[&](const pending_response& response)
			{
				if (response.due > now_)
				{
					return false;
				}
				auto& sender = *vms_[response.vm];
				sender.limits.record_response(target_, {response.limit, response.sent_at, "q"}, now_);
				sender.is_informed = sender.is_informed || response.limit;
				return true;
			});
	}

	random_source random_;
	double demand_;
	replica target_ = make_replica("r1");
	std::vector<std::unique_ptr<limited_vm>> vms_;
	std::vector<pending_response> pending_;
	std::vector<instant> sent_by_informed_;
	std::size_t request_count_{};
	instant now_ = at(seconds{0});
};
} // namespace

TEST_CASE("all VMs together keep to the limit that a replica announces", "[routing][limit]")
{
	for (const std::size_t vms : {1U, 7U, 65U, 340U})
	{
		for (const double limit : {0.0, 0.2, 1.0, 1.5, 4.0, 20.0, 120.0})
		{
			// Each VM offers from a few requests in the whole run to several per second, so the replica may
			// be offered many times its limit.
			for (const double demand : {0.05, 1.0, 10.0})
			{
				CAPTURE(vms, limit, demand);
				limited_fleet fleet{7, vms, demand};
				fleet.run(seconds{2}, std::nullopt);
				const auto announced_at = fleet.now();
				fleet.run(seconds{40}, limit);
				CHECK(static_cast<double>(fleet.max_from_informed(announced_at + grace_period)) <=
					  max_in_window(limit));
			}
		}
	}
}

TEST_CASE("VMs use most of the limit that a replica announces", "[routing][limit]")
{
	constexpr double min_used_share = 0.75;
	for (const std::size_t vms : {1U, 7U, 65U, 340U})
	{
		for (const double limit : {0.5, 1.5, 4.0, 20.0})
		{
			CAPTURE(vms, limit);
			limited_fleet fleet{11, vms, 20};
			fleet.run(seconds{10}, limit);
			const auto before = fleet.request_count();
			constexpr seconds span{60};
			fleet.run(span, limit);
			const auto sent = static_cast<double>(fleet.request_count() - before);
			CHECK(sent >= min_used_share * limit * static_cast<double>(span.count()) - 1);
		}
	}
}

TEST_CASE("after a replica's overload VMs drop the limit as they learn from each other", "[routing][limit]")
{
	for (const std::size_t vms : {7U, 65U, 340U})
	{
		CAPTURE(vms);
		limited_fleet fleet{13, vms, 2};
		for (int i = 0; i < 20; ++i)
		{
			fleet.run(seconds{1}, 1.5);
			fleet.exchange_updates();
		}
		REQUIRE(fleet.limited_count() == vms);
		for (int i = 0; i < 10; ++i)
		{
			fleet.run(seconds{1}, std::nullopt);
			fleet.exchange_updates();
		}
		CHECK(fleet.limited_count() == 0);
	}
}

TEST_CASE("after a replica's overload VMs drop the limit without reports from other VMs", "[routing][limit]")
{
	limited_fleet fleet{17, 7, 2};
	fleet.run(seconds{20}, 1.5);
	fleet.run(seconds{15}, std::nullopt);
	CHECK(fleet.limited_count() == 0);
}
