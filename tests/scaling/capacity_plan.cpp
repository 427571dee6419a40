// SPDX-License-Identifier: MIT
// Which replicas are ordered where.
#include <catch2/catch.hpp>
#include <gingerdyke/scaling/capacity_plan.hpp>

using namespace gingerdyke;
using namespace gingerdyke::scaling;

namespace
{
const failure_domain_id a{"a"};
const failure_domain_id b{"b"};
const failure_domain_id c{"c"};

scaling_limits limits(double spot_price = 0.2)
{
	return {1, 40, std::chrono::seconds{4}, spot_price, {{a, 1.0}, {b, 0.8}, {c, 1.25}}};
}

/// Failure domains that all have the same number of replicas.
std::vector<domain_capacity> domains(unsigned on_demand, unsigned spot, bool has_spot = true)
{
	return {{a, on_demand, spot, has_spot, false}, {b, on_demand, spot, has_spot, false},
		{c, on_demand, spot, has_spot, false}};
}

unsigned total_of(const std::vector<domain_target>& targets, unsigned domain_target::*kind)
{
	unsigned sum = 0;
	for (const auto& target : targets)
	{
		sum += target.*kind;
	}
	return sum;
}
} // namespace

TEST_CASE("on-demand replicas are kept until the spot replicas that replace them serve", "[scaling]")
{
	const auto ordered = plan_capacity(40, limits(), domains(20, 0));
	for (const auto& target : ordered)
	{
		CHECK(target.spot == 20);
	}
	CHECK(total_of(ordered, &domain_target::on_demand) == 40);
	const auto half = plan_capacity(40, limits(), domains(20, 10));
	CHECK(total_of(half, &domain_target::on_demand) == 10);
	const auto replaced = plan_capacity(40, limits(), domains(20, 20));
	CHECK(total_of(replaced, &domain_target::on_demand) == 0);
	CHECK(total_of(replaced, &domain_target::spot) == 60);
}

TEST_CASE("after any failure domain lost its spot replicas enough are left", "[scaling]")
{
	for (double needed = 1; needed <= 60; ++needed)
	{
		const auto targets = plan_capacity(needed, limits(), domains(0, 30));
		for (const auto& lost : targets)
		{
			unsigned left = 0;
			for (const auto& target : targets)
			{
				left += target.on_demand + (target.domain == lost.domain ? 0 : target.spot);
			}
			CHECK(left >= needed);
		}
	}
}

TEST_CASE(
	"without spot replicas the cheapest failure domain gives most, and each keeps the minimum", "[scaling]")
{
	const auto targets = plan_capacity(10, limits(), domains(0, 0, false));
	CHECK(targets[0].on_demand == 1);
	CHECK(targets[1].on_demand == 10);
	CHECK(targets[2].on_demand == 1);
	CHECK(total_of(targets, &domain_target::spot) == 0);
}

TEST_CASE("spot replicas that cost nearly as much as others are not worth their loss", "[scaling]")
{
	const auto targets = plan_capacity(10, limits(0.9), domains(0, 0));
	CHECK(total_of(targets, &domain_target::spot) == 0);
	CHECK(total_of(targets, &domain_target::on_demand) >= 10);
}

TEST_CASE("when a failure domain has lost its spot replicas the others bear the next loss", "[scaling]")
{
	auto state = domains(0, 20);
	state[0].spot = 0;
	state[0].has_spot = false;
	const auto targets = plan_capacity(30, limits(), state);
	CHECK(targets[0].spot == 0);
	CHECK(targets[1].spot == 30);
	CHECK(targets[2].spot == 30);
	// Those that are left are enough for now, but for the minimum of a failure domain without any.
	CHECK(total_of(targets, &domain_target::on_demand) == 1);
}

TEST_CASE("a failure domain that is evacuated gets no more than the minimum", "[scaling]")
{
	auto state = domains(0, 20);
	state[1].is_evacuated = true;
	const auto targets = plan_capacity(20, limits(), state);
	CHECK(targets[1].spot + targets[1].on_demand == 1);
	CHECK(targets[0].spot == 20);
	CHECK(targets[2].spot == 20);
}

TEST_CASE("no order exceeds the maximum of a failure domain", "[scaling]")
{
	for (const auto on_demand : {0U, 15U, 40U})
	{
		for (const auto& target : plan_capacity(200, limits(), domains(on_demand, 0)))
		{
			CHECK(target.on_demand + target.spot <= 40);
		}
	}
}
