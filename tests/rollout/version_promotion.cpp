// SPDX-License-Identifier: MIT
// A new version that is shown to be good is promoted; any other is rolled back in time.
#include "../support/shift_vm.hpp"

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a version without any responses is rolled back in time, not completed", "[shift]")
{
	vm one{1};
	begin(one);
	one.see("v1", 200, 0);
	one.pass(seconds{18});
	CHECK(measured_share(one) == Approx(0.056).margin(0.002));
	one.pass(milliseconds{1000});
	const auto last = written(one, 12);
	CHECK(last.state == shift_state::rolled_back);
	CHECK(one.now < instant{seconds{1020}});
}

TEST_CASE("a version with bad responses is rolled back unless it is soon shown to be good", "[shift]")
{
	vm one{1};
	begin(one);
	// 40 % of the old version's responses fail, so the new version's failures are not conclusive at first.
	one.see("v1", 100, 40);
	one.pass(milliseconds{10500});
	one.see("v1", 100, 40);
	one.see("v2", 30, 12);
	CHECK(measured_share(one) > 0);
	one.pass(milliseconds{2800});
	CHECK(one.shift.due(one.now).empty());
	one.pass(milliseconds{500});
	CHECK(written(one, 12).state == shift_state::rolled_back);
	CHECK(measured_share(one) == 0);
}

TEST_CASE("a VM that does not read the registry neither promotes nor rolls back", "[shift]")
{
	vm one{1};
	begin(one);
	one.shift.set_reads_registry(false);
	one.pass(milliseconds{10500});
	one.see("v1", 100, 0);
	one.see("v2", 40, 0);
	one.pass(seconds{12});
	CHECK(one.shift.due(one.now).empty());
	CHECK(measured_share(one) == Approx(0.056).margin(0.002));
	// Once it reads the registry, it performs the promotion that was left to others.
	one.shift.set_reads_registry(true);
	one.see("v2", 1, 0);
	CHECK(written(one, 12).promoted);
}

TEST_CASE("at the end of a trial a VM without a conclusive result writes its evidence, within the registry's "
		  "limits",
	"[shift]")
{
	vm one{1};
	const auto plan = begin(one);
	one.pass(milliseconds{10500});
	constexpr std::size_t reporters = 130;
	for (std::size_t i = 0; i < reporters; ++i)
	{
		one.shift.on_relayed_evidence("vm" + std::to_string(i), failures(plan, 1, 0, i), one.now);
	}
	const auto written_now = [&one]
	{
		std::size_t rows = 0;
		for (const auto& write : one.shift.due(one.now))
		{
			rows += write.evidence.size();
		}
		return rows;
	};
	CHECK(written_now() == 0);
	one.pass(milliseconds{5600});
	const auto first = written_now();
	CHECK(first > 0);
	CHECK(first < 100);
	CHECK(written_now() == 0);
	one.pass(milliseconds{1100});
	CHECK(written_now() == reporters - first);
}
