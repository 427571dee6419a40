// SPDX-License-Identifier: MIT
// The bill of one request.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/platform/store_types.hpp>
#include <string>
#include <vector>

namespace gingerdyke::ledger
{
/// \brief Table of the table service that holds the bills.
inline constexpr const char* bills_table = "bills";

/// \brief One attempt that cost something: a cascade's request has several.
struct bill_line
{
	version_ref version;
	tokens used;
	micro_cost cost;

	auto operator<=>(const bill_line&) const = default;
};

/// \brief How far a bill has come.
enum class bill_state
{
	/// Written before dispatch: something may be owed.
	intent,
	/// The amount is final.
	final_amount,
};

/// \brief What a workspace owes for one request; the request id is its key in the ledger.
struct bill
{
	request_id request;
	workspace_id workspace;
	bill_state state{bill_state::intent};
	std::vector<bill_line> lines;

	/// \brief Sum of all lines.
	[[nodiscard]] micro_cost total() const;

	bool operator==(const bill&) const = default;
};

/// \brief The ledger row of a bill.
[[nodiscard]] json to_json(const bill& bill);

/// \brief The operation that writes a bill's row; the same for its owner and its holders.
[[nodiscard]] store::operation bill_operation(const bill& bill);
} // namespace gingerdyke::ledger
