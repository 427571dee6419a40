// SPDX-License-Identifier: MIT
// What entry VMs tell each other, as typed messages; the codec turns them into Thrift structs.
#pragma once

#include <cstdint>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/ledger/bill.hpp>
#include <gingerdyke/membership/member.hpp>
#include <string>
#include <variant>
#include <vector>

namespace gingerdyke::peer
{
/// \brief A version found bad at one revision of its row; it only ever spreads.
struct suspension
{
	version_ref version;
	revision row_revision;

	auto operator<=>(const suspension&) const = default;
};

/// \brief Sent every second to a few peers, which answer with their own: what the sender knows.
struct digest
{
	revision table;

	/// Age of the last confirmation that `table` is the newest, by the platform; negative where never.
	duration confirmed_age{-1};

	/// When the asking side sent it, by its own clock; the answer brings it back unchanged. Only so can
	/// the asking side tell how old the answer is at most, however long either was frozen.
	std::int64_t asked_at{};
	bool is_answer{};

	std::int64_t member_list_revision{};
	std::vector<suspension> suspensions;
	bool leaving{};
};

/// \brief Asks for everything newer than a revision.
struct table_pull
{
	revision have;
};

/// \brief One row of the table; without text where it was removed.
struct table_row
{
	row_id id;
	revision at;
	std::string text;
	bool removed{};
};

/// \brief All rows changed after `from`, up to `to`.
struct table_push
{
	revision from;
	revision to;
	std::vector<table_row> rows;
};

/// \brief The platform's VM list, passed on.
struct member_push
{
	membership::member_list list;
};

/// \brief Bills to be kept for their owner until the ledger has them.
struct journal_put
{
	std::vector<ledger::bill> bills;
};

/// \brief The receiver of `journal_put` holds these.
struct journal_ack
{
	std::vector<request_id> requests;
	ledger::bill_state state{};
};

/// \brief The ledger has these, or nothing is owed: they may be forgotten.
struct journal_forget
{
	std::vector<request_id> requests;
};

/// \brief The sender lives; to those that hold something for it.
struct heartbeat
{
};

/// \brief How one VM's share of a version's answers went: counts that only grow.
struct evidence
{
	version_ref version;
	revision row_revision;
	std::uint64_t answers{};
	std::uint64_t failures{};
};

/// \brief Evidence to the permit owner, with a wish for more permits.
struct permit_request
{
	evidence seen;
	std::uint32_t wanted{};
};

/// \brief Permits for requests to a version under trial, to be used before they expire.
struct permit_grant
{
	version_ref version;
	revision row_revision;
	std::uint32_t permits{};
	duration lifetime{};
};

/// \brief The sums of one failure domain, from its permit owner to the owners of the others.
struct evidence_sum
{
	evidence sum;
	failure_domain_id failure_domain;
};

using message = std::variant<digest, table_pull, table_push, member_push, journal_put, journal_ack,
	journal_forget, heartbeat, permit_request, permit_grant, evidence_sum>;

/// \brief A message with its sender.
struct envelope
{
	vm_incarnation from;
	failure_domain_id failure_domain;
	message body;
};
} // namespace gingerdyke::peer
