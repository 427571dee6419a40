// SPDX-License-Identifier: MIT
// The soak's judge of what replicas say of themselves: kept and broken.
#include "../../soak/statement_judge.hpp"

#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::soak;
using platform::standin::statement;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
told_arrival arrival(const statement& said, milliseconds at, const char* vm = "vm0/1")
{
	return {said, "r0", vm, instant{seconds{10}} + at};
}

const statement leaving{{}, true, {}};
const statement resting{{}, false, seconds{2}};
const statement limited{1.5, false, {}};
} // namespace

TEST_CASE(
	"soak: a leaving replica may get requests for two seconds, and from VMs that were not told", "[soak]")
{
	CHECK(
		judge_statements({arrival(leaving, milliseconds{0}), arrival(leaving, milliseconds{1900})}).empty());
	CHECK(judge_statements({arrival(leaving, milliseconds{0}), arrival(leaving, milliseconds{5000}, "vm0/2")})
			  .empty());
	CHECK(
		judge_statements({arrival(leaving, milliseconds{0}), arrival(leaving, milliseconds{2100})}).size() ==
		1);
}

TEST_CASE("soak: a resting replica may get two requests from a VM besides what was under way", "[soak]")
{
	std::vector<told_arrival> arrivals{arrival(resting, milliseconds{0}), arrival(resting, milliseconds{400}),
		arrival(resting, milliseconds{600}), arrival(resting, milliseconds{700})};
	CHECK(judge_statements(arrivals).empty());
	arrivals.push_back(arrival(resting, milliseconds{1800}, "vm1/1"));
	CHECK(judge_statements(arrivals).empty());
	arrivals.push_back(arrival(resting, milliseconds{1900}));
	CHECK(judge_statements(arrivals).size() == 1);
}

TEST_CASE("soak: a limit holds over all VMs that were told, three seconds after it was named", "[soak]")
{
	constexpr std::size_t most = 100;
	std::vector<told_arrival> arrivals;
	arrivals.reserve(most);
	for (int i = 0; i < 60; ++i)
	{
		arrivals.push_back(arrival(limited, milliseconds{i * 50}, i % 2 == 0 ? "vm0/1" : "vm1/1"));
	}
	CHECK(judge_statements(arrivals).empty());
	for (int i = 0; i < 14; ++i)
	{
		arrivals.push_back(
			arrival(limited, seconds{4} + milliseconds{i * 200}, i % 2 == 0 ? "vm0/1" : "vm1/1"));
	}
	CHECK(judge_statements(arrivals).empty());
	arrivals.push_back(arrival(limited, milliseconds{6900}));
	CHECK(judge_statements(arrivals).size() == 1);
}
