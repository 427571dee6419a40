// SPDX-License-Identifier: MIT
// Commits operators' edits to the table service: each at most once, and never over somebody else's.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <gingerdyke/table/spread.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace gingerdyke::table
{
/// \brief What an edit does to one row.
struct row_edit
{
	row_id id;

	/// Revision of the row that the operator saw; 0 where the row was not there.
	revision expected;

	/// The new value; nothing removes the row.
	std::optional<json> value;
};

/// \brief An edit of one or more rows: all or nothing.
struct edit_request
{
	/// Names the edit within this process.
	std::uint64_t ticket{};

	/// Names the edit everywhere and for good; a repeated edit has the same one.
	std::string change_id;

	std::string author;
	std::vector<row_edit> rows;
};

/// \brief The edit is committed.
struct edit_committed
{
	revision at;
};

/// \brief Another edit came first; both values are shown, and nothing was changed.
struct edit_conflict
{
	row_id row;
	revision standing_at;
	std::optional<json> standing;
	std::optional<json> wanted;
};

/// \brief The table would not be valid with the edit; nothing was changed.
struct edit_invalid
{
	findings wrong;
};

/// \brief The table service could not be asked; nothing was changed.
struct edit_not_made
{
	std::string reason;
};

/// \brief No answer came in time: the edit may be in force or not; asking with the same change id settles it.
struct edit_unknown
{
	std::string change_id;
};

using edit_outcome = std::variant<edit_committed, edit_conflict, edit_invalid, edit_not_made, edit_unknown>;

/// \brief An edit's final outcome.
struct edit_answer
{
	std::uint64_t ticket{};
	edit_outcome outcome;
};

/// \brief Effects, and the edits that are settled by them.
struct edit_step
{
	effects out;
	std::vector<edit_answer> answers;
};

/// \brief Commits edits. An edit whose answer was lost is settled by reading its change id, and repeated
/// only under the guard of the same change id and revision.
class editor
{
  public:
	/// \param copy This VM's copy of the table, which commits are passed on to.
	/// \param patience How long an edit is pursued before it is answered.
	editor(spread& copy, duration patience = std::chrono::seconds{5});

	[[nodiscard]] edit_step start(edit_request request, instant now);
	[[nodiscard]] edit_step on_answer(std::uint64_t call, const store::answer& answer, instant now);
	[[nodiscard]] edit_step on_tick(instant now);

  private:
	enum class phase
	{
		committing,
		reading_back,
		waiting_for_copy,
		waiting_to_read,
	};

	struct pending_edit
	{
		edit_request request;
		instant deadline;
		phase at{phase::committing};
		revision needed;
		bool may_have_happened{};
		instant retry_at;
	};

	[[nodiscard]] edit_step commit(pending_edit edit);
	[[nodiscard]] edit_step read_back(pending_edit edit);
	[[nodiscard]] edit_step after_commit(pending_edit edit, const store::answer& answer, instant now);
	[[nodiscard]] edit_step after_read_back(pending_edit edit, const store::answer& answer, instant now);
	[[nodiscard]] edit_step after_conflict(pending_edit edit, const store::answer& answer, instant now);
	[[nodiscard]] edit_step settled(const pending_edit& edit, revision at);
	[[nodiscard]] static edit_step give_up(const pending_edit& edit);

	spread& copy_;
	duration patience_;
	std::map<std::uint64_t, pending_edit> calls_;
	std::vector<pending_edit> waiting_;
	std::uint64_t next_call_ = 1;
};
} // namespace gingerdyke::table
