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
	vm local_vm{1};
	begin(local_vm);
	local_vm.see("v1", 200, 0);
	local_vm.pass(seconds{18});
	CHECK(measured_share(local_vm) == Approx(0.056).margin(0.002));
	local_vm.pass(milliseconds{1000});
	const auto last = written(local_vm, 12);
	CHECK(last.state == shift_state::rolled_back);
	CHECK(local_vm.now < instant{seconds{1020}});
}

TEST_CASE("a version with bad responses is rolled back unless it is soon shown to be good", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	// 40 % of the old version's responses fail, so the new version's failures are not conclusive at first.
	local_vm.see("v1", 100, 40);
	local_vm.pass(milliseconds{10500});
	local_vm.see("v1", 100, 40);
	local_vm.see("v2", 30, 12);
	CHECK(measured_share(local_vm) > 0);
	local_vm.pass(milliseconds{2800});
	CHECK(local_vm.shift.due(local_vm.now).empty());
	local_vm.pass(milliseconds{500});
	CHECK(written(local_vm, 12).state == shift_state::rolled_back);
	CHECK(measured_share(local_vm) == 0);
}

TEST_CASE("a VM that does not read the registry neither promotes nor rolls back", "[shift]")
{
	vm local_vm{1};
	begin(local_vm);
	local_vm.shift.set_reads_registry(false);
	local_vm.pass(milliseconds{10500});
	local_vm.see("v1", 100, 0);
	local_vm.see("v2", 40, 0);
	local_vm.pass(seconds{12});
	CHECK(local_vm.shift.due(local_vm.now).empty());
	CHECK(measured_share(local_vm) == Approx(0.056).margin(0.002));
	// Once it reads the registry, it performs the promotion that was left to others.
	local_vm.shift.set_reads_registry(true);
	local_vm.see("v2", 1, 0);
	CHECK(written(local_vm, 12).promoted);
}

TEST_CASE("at the end of a trial a VM without a conclusive result writes its evidence, within the registry's "
		  "limits",
	"[shift]")
{
	vm local_vm{1};
	const auto plan = begin(local_vm);
	local_vm.pass(milliseconds{10500});
	constexpr std::size_t reporters = 130;
	for (std::size_t i = 0; i < reporters; ++i)
	{
		local_vm.shift.on_relayed_evidence("vm" + std::to_string(i), failures(plan, 1, 0, i), local_vm.now);
	}
	const auto written_now = [&local_vm]
	{
		std::size_t rows = 0;
		for (const auto& write : local_vm.shift.due(local_vm.now))
		{
			rows += write.evidence.size();
		}
		return rows;
	};
	CHECK(written_now() == 0);
	local_vm.pass(milliseconds{5600});
	const auto first = written_now();
	CHECK(first > 0);
	CHECK(first < 100);
	CHECK(written_now() == 0);
	local_vm.pass(milliseconds{1100});
	CHECK(written_now() == reporters - first);
}
