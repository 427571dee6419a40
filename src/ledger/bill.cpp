// SPDX-License-Identifier: MIT
// The bill of one request: its sum and its ledger row.
#include <gingerdyke/ledger/bill.hpp>

namespace gingerdyke::ledger
{
micro_cost bill::total() const
{
	micro_cost sum;
	for (const auto& line : lines)
	{
		sum += line.cost;
	}
	return sum;
}

store::operation bill_operation(const bill& bill)
{
	return store::insert{bills_table, bill.request.str(), to_json(bill)};
}

json to_json(const bill& bill)
{
	auto lines = json::array();
	for (const auto& line : bill.lines)
	{
		lines.push_back({{"version", line.version.str()}, {"tokens", line.used.value()},
			{"micro_cost", line.cost.value()}});
	}
	return {{"workspace", bill.workspace.str()}, {"micro_cost", bill.total().value()}, {"lines", lines},
		{"state", bill.state == bill_state::final_amount ? "final" : "settled-from-intent"}};
}
} // namespace gingerdyke::ledger
