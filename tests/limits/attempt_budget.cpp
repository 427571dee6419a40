// SPDX-License-Identifier: MIT
// Additional attempts that are shared out over all VMs.
#include <catch2/catch.hpp>
#include <gingerdyke/limits/attempt_budget.hpp>

using namespace gingerdyke;
using namespace gingerdyke::limits;
using std::chrono::seconds;

TEST_CASE("all VMs together keep to the ratio and the slack, whatever their number", "[limits][attempts]")
{
	constexpr double fleet_slack = 1040;
	constexpr unsigned requests_per_vm = 8;
	const instant now{seconds{100}};
	for (const std::size_t vms : {7, 65, 340, 985, 2000})
	{
		attempt_budget_tuning tuning;
		tuning.ratio = 0.9;
		tuning.slack = slack_share(fleet_slack, vms);
		std::size_t attempts = 0;
		for (std::size_t vm = 0; vm < vms; ++vm)
		{
			attempt_budget budget{tuning};
			for (unsigned request = 0; request < requests_per_vm; ++request)
			{
				budget.record_request(now);
			}
			while (budget.take(now))
			{
				++attempts;
			}
		}
		const auto requests = static_cast<double>(vms * requests_per_vm);
		CHECK(static_cast<double>(attempts) <= tuning.ratio * requests + fleet_slack);
		CHECK(static_cast<double>(attempts) >= tuning.ratio * requests / 2);
	}
}
