// SPDX-License-Identifier: MIT
// Commits operators' edits to the table service.
#include <algorithm>
#include <gingerdyke/table/editor.hpp>

namespace gingerdyke::table
{
namespace
{
constexpr duration retry_pause = std::chrono::milliseconds{200};

/// Results of a commit stand in this order: change id, head, then the rows.
constexpr std::size_t change_result = 0;
constexpr std::size_t head_result = 1;
constexpr std::size_t first_row_result = 2;

row_set rows_of_edit(const edit_request& request, revision at)
{
	row_set rows;
	for (const auto& edit : request.rows)
	{
		rows[edit.id] = stored_row{edit.value.value_or(nullptr), at, !edit.value};
	}
	return rows;
}

store::transaction transaction_of(const edit_request& request, revision head)
{
	store::transaction body;
	body.push_back(store::put_if{changes_table, request.change_id, 0, {{"author", request.author}}});
	body.push_back(store::put_if{store_table, head_key, head.value(), {{"change", request.change_id}}});
	for (const auto& edit : request.rows)
	{
		body.push_back(
			store::put_if{store_table, edit.id.str(), edit.expected.value(), edit.value.value_or(nullptr)});
	}
	return body;
}

edit_step answer_of(const edit_request& request, edit_outcome outcome)
{
	return {{}, {{request.ticket, std::move(outcome)}}};
}

/// Keeps the session key where an edit sends back the text that stands in its place.
void restore_secret(row_edit& edit, const row_set& rows)
{
	if (!edit.value || edit.id.str() != "settings/global")
	{
		return;
	}
	const auto known = rows.find(edit.id);
	if (known != rows.end() && !known->second.removed &&
		redacted(edit.id, known->second.value) == redacted(edit.id, *edit.value))
	{
		edit.value->at("session_key") = known->second.value.at("session_key");
	}
}
} // namespace

editor::editor(spread& copy, duration patience) : copy_(copy), patience_(patience) {}

edit_step editor::start(edit_request request, instant now)
{
	for (auto& edit : request.rows)
	{
		restore_secret(edit, copy_.rows());
	}
	return commit({std::move(request), now + patience_, phase::committing, revision{}, false, now});
}

edit_step editor::commit(pending_edit edit)
{
	auto merged = copy_.rows();
	const auto next = copy_.at() + revision{1};
	for (auto& [id, row] : rows_of_edit(edit.request, next))
	{
		merged[id] = row;
	}
	if (auto compiled = table::compile(merged, next, copy_.current() ? copy_.at() : revision{-1});
		!compiled && !edit.may_have_happened)
	{
		return answer_of(edit.request, edit_invalid{std::move(compiled.error())});
	}
	edit.at = phase::committing;
	edit_step step;
	const call_id id{call_owner::table_editor, next_call_++};
	step.out.emplace_back(call_store{id, store::priority::table, transaction_of(edit.request, copy_.at())});
	calls_.emplace(id.number, std::move(edit));
	return step;
}

edit_step editor::read_back(pending_edit edit)
{
	edit.at = phase::reading_back;
	edit_step step;
	const call_id id{call_owner::table_editor, next_call_++};
	store::transaction body{store::read{changes_table, edit.request.change_id}};
	step.out.emplace_back(call_store{id, store::priority::table, std::move(body)});
	calls_.emplace(id.number, std::move(edit));
	return step;
}

edit_step editor::on_answer(std::uint64_t call, const store::answer& answer, instant now)
{
	const auto found = calls_.find(call);
	if (found == calls_.end())
	{
		return {};
	}
	auto edit = std::move(found->second);
	calls_.erase(found);
	return edit.at == phase::committing ? after_commit(std::move(edit), answer, now)
										: after_read_back(std::move(edit), answer, now);
}

edit_step editor::after_commit(pending_edit edit, const store::answer& answer, instant now)
{
	switch (answer.what)
	{
	case store::verdict::committed:
		return settled(edit, revision{answer.sequence});
	case store::verdict::conflict:
		return after_conflict(std::move(edit), answer, now);
	case store::verdict::refused:
		if (!edit.may_have_happened)
		{
			return answer_of(
				edit.request, edit_not_made{"the table service can't be reached or is at its limit"});
		}
		break;
	case store::verdict::no_answer:
		edit.may_have_happened = true;
		break;
	}
	edit.at = phase::waiting_to_read;
	edit.retry_at = now;
	waiting_.push_back(std::move(edit));
	return on_tick(now);
}

edit_step editor::after_conflict(pending_edit edit, const store::answer& answer, instant now)
{
	if (answer.results.size() < first_row_result + edit.request.rows.size())
	{
		return give_up(edit);
	}
	const auto& change = answer.results[change_result].standing;
	if (change.value)
	{
		return settled(edit, revision{change.at});
	}
	for (std::size_t i = 0; i < edit.request.rows.size(); ++i)
	{
		const auto& standing = answer.results[first_row_result + i].standing;
		const auto& wanted = edit.request.rows[i];
		if (standing.at != wanted.expected.value())
		{
			return answer_of(
				edit.request, edit_conflict{wanted.id, revision{standing.at}, standing.value, wanted.value});
		}
	}
	// Only the head moved: another row was edited. The edit is checked again on the newer table.
	edit.at = phase::waiting_for_copy;
	edit.needed = revision{answer.results[head_result].standing.at};
	edit.retry_at = now;
	copy_.poll_soon();
	waiting_.push_back(std::move(edit));
	return on_tick(now);
}

edit_step editor::after_read_back(pending_edit edit, const store::answer& answer, instant now)
{
	if (answer.what != store::verdict::committed || answer.results.empty())
	{
		edit.at = phase::waiting_to_read;
		edit.retry_at = now + retry_pause;
		waiting_.push_back(std::move(edit));
		return on_tick(now);
	}
	const auto& change = answer.results.front().standing;
	if (change.value)
	{
		return settled(edit, revision{change.at});
	}
	// Not there yet. The lost transaction may still arrive; the change id keeps the two from both counting.
	return commit(std::move(edit));
}

edit_step editor::settled(const pending_edit& edit, revision at)
{
	auto step = answer_of(edit.request, edit_committed{at});
	step.out = copy_.on_committed(rows_of_edit(edit.request, at), at);
	return step;
}

edit_step editor::give_up(const pending_edit& edit)
{
	if (edit.may_have_happened)
	{
		return answer_of(edit.request, edit_unknown{edit.request.change_id});
	}
	return answer_of(edit.request, edit_not_made{"no copy of the newest table could be had in time"});
}

edit_step editor::on_tick(instant now)
{
	edit_step step;
	auto waiting = std::exchange(waiting_, {});
	for (auto& edit : waiting)
	{
		edit_step one;
		if (now >= edit.deadline)
		{
			one = give_up(edit);
		}
		else if (edit.at == phase::waiting_for_copy && copy_.at() >= edit.needed)
		{
			one = commit(std::move(edit));
		}
		else if (edit.at == phase::waiting_to_read && now >= edit.retry_at)
		{
			one = read_back(std::move(edit));
		}
		else
		{
			waiting_.push_back(std::move(edit));
		}
		std::move(one.out.begin(), one.out.end(), std::back_inserter(step.out));
		std::move(one.answers.begin(), one.answers.end(), std::back_inserter(step.answers));
	}
	return step;
}
} // namespace gingerdyke::table
