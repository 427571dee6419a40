// SPDX-License-Identifier: MIT
// How the table reaches every entry VM: a few readers a failure domain, eager push, and digests.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/membership/membership_view.hpp>
#include <gingerdyke/table/table.hpp>
#include <optional>

namespace gingerdyke::table
{
/// \brief Pace of the spread; figures in docs/CAPACITY.md.
struct spread_pace
{
	duration poll_interval = std::chrono::seconds{2};
	duration digest_interval = std::chrono::seconds{1};

	/// A poll or digest that was not answered in this time is taken for lost.
	duration answer_limit = std::chrono::seconds{2};

	/// Entry VMs of a failure domain that poll the table service while all goes well.
	std::size_t readers = 2;

	/// A VM of rank r beyond the readers polls too once the confirmation is older than this plus r steps.
	duration stale_limit = std::chrono::seconds{4};
	duration stale_step = std::chrono::seconds{1};

	std::size_t digests_inside = 2;
	std::size_t digests_outside = 1;

	/// Peers that a VM passes a new revision on to, at once.
	std::size_t push_inside = 3;
	std::size_t push_outside = 1;

	/// Rows asked for in one scan of the table service.
	std::size_t page_rows = 2000;
};

/// Table of the table service that holds the rows, and the row whose version is the table's revision.
inline constexpr const char* store_table = "routing";
inline constexpr const char* head_key = "head";

/// \brief Table that holds the ids of committed changes.
inline constexpr const char* changes_table = "changes";

/// \brief One VM's copy of the table, and its part in spreading it. A copy never goes back.
class spread
{
  public:
	spread(const membership::membership_view& live, random_source random, spread_pace pace = {});

	/// \brief Polls and sends digests that are due.
	[[nodiscard]] effects on_tick(instant now);

	[[nodiscard]] effects on_digest(const peer::envelope& from, const peer::digest& body, instant now);
	[[nodiscard]] effects on_pull(const vm_id& from, const peer::table_pull& body) const;
	[[nodiscard]] effects on_push(const vm_id& from, const peer::table_push& body, instant now);
	[[nodiscard]] effects on_answer(std::uint64_t call, const store::answer& answer, instant now);

	/// \brief Takes rows that this VM committed itself, and passes them on.
	[[nodiscard]] effects on_committed(const row_set& rows, revision to);

	/// \brief Sends digests at once: there is news that can't wait for the next round.
	[[nodiscard]] effects announce(instant now);

	/// \brief Makes the next tick poll, whatever this VM's rank: its copy is known to be behind.
	void poll_soon();

	/// \brief Notes what the digest is to carry besides the table.
	void set_digest_extras(std::vector<peer::suspension> suspensions, bool leaving);

	/// \brief The table in force here; none before the first one was read.
	[[nodiscard]] const table_ptr& current() const noexcept { return current_; }

	[[nodiscard]] const row_set& rows() const noexcept { return rows_; }
	[[nodiscard]] revision at() const noexcept { return at_; }

	/// \brief How long ago, at most, the platform confirmed that this copy is the newest; none: never.
	[[nodiscard]] std::optional<duration> confirmed_age(instant now) const;

	/// \brief Why the newest rows could not be used; empty when they are.
	[[nodiscard]] const findings& rejected() const noexcept { return rejected_; }

	/// \brief The highest revision each VM was heard to have.
	[[nodiscard]] const std::map<vm_id, revision>& heard_revisions() const noexcept { return heard_; }

  private:
	struct poll
	{
		std::uint64_t call{};
		instant sent;
		store::version after{};
		row_set pages;
		revision head;
	};

	[[nodiscard]] bool poll_is_due(instant now) const;
	[[nodiscard]] effects start_poll(instant now);
	[[nodiscard]] effects ask_page();
	[[nodiscard]] std::vector<vm_id> pick_peers(std::size_t inside, std::size_t outside) const;
	[[nodiscard]] effects send_digests(instant now);
	[[nodiscard]] peer::digest own_digest(instant now) const;
	[[nodiscard]] peer::table_push delta_since(revision from) const;
	[[nodiscard]] effects adopt(const row_set& rows, revision to);
	[[nodiscard]] effects pass_on(revision from) const;
	void confirm(instant at);

	const membership::membership_view& live_;
	random_source random_;
	spread_pace pace_;
	row_set rows_;
	revision at_;
	table_ptr current_;
	findings rejected_;
	std::optional<instant> confirmed_at_;
	std::optional<poll> poll_;
	std::optional<instant> last_poll_;
	std::optional<instant> last_digest_;
	std::uint64_t next_call_ = 1;
	std::vector<peer::suspension> suspensions_;
	bool leaving_ = false;
	std::map<vm_id, revision> heard_;
};
} // namespace gingerdyke::table
