// SPDX-License-Identifier: MIT
// How the table reaches every entry VM. Every step only moves a copy forward.
#include <algorithm>
#include <gingerdyke/table/spread.hpp>

namespace gingerdyke::table
{
namespace
{
/// Names the role whose rank decides who polls.
constexpr const char* reader_key = "table-reader";

/// Reads a row of the table service; the head row is no row of the table.
void take_row(const store::row& row, row_set& into)
{
	stored_row stored;
	stored.at = revision{row.at};
	stored.removed = !row.value || row.value->is_null();
	if (!stored.removed)
	{
		stored.value = *row.value;
	}
	into[row_id{row.key}] = std::move(stored);
}

/// Adds newer rows to a set; rows that are not newer are left.
void merge(const row_set& newer, row_set& into)
{
	for (const auto& [id, row] : newer)
	{
		auto& known = into[id];
		if (row.at > known.at)
		{
			known = row;
		}
	}
}

/// Reads rows sent by a peer; rows with text that is not JSON make the whole push unusable.
std::optional<row_set> rows_of_push(const peer::table_push& push)
{
	row_set rows;
	for (const auto& row : push.rows)
	{
		stored_row stored{nullptr, row.at, row.removed};
		if (!row.removed)
		{
			stored.value = json::parse(row.text, nullptr, false);
			if (stored.value.is_discarded())
			{
				return std::nullopt;
			}
		}
		rows.emplace(row.id, std::move(stored));
	}
	return rows;
}

void append(effects& to, effects more)
{
	std::move(more.begin(), more.end(), std::back_inserter(to));
}
} // namespace

spread::spread(const membership::membership_view& live, random_source random, spread_pace pace)
	: live_(live), random_(std::move(random)), pace_(pace)
{
}

effects spread::on_tick(instant now)
{
	effects result;
	if (poll_ && now - poll_->sent > pace_.answer_limit)
	{
		poll_.reset();
	}
	if (!poll_ && poll_is_due(now))
	{
		append(result, start_poll(now));
	}
	if (!last_digest_ || now - *last_digest_ >= pace_.digest_interval)
	{
		append(result, send_digests(now));
	}
	return result;
}

bool spread::poll_is_due(instant now) const
{
	if (last_poll_ && now - *last_poll_ < pace_.poll_interval)
	{
		return false;
	}
	const auto rank = live_.rank_in_domain(reader_key);
	if (!last_poll_ || !current_ || rank < pace_.readers)
	{
		return true;
	}
	const auto patience = pace_.stale_limit + pace_.stale_step * static_cast<int>(rank - pace_.readers);
	const auto age = confirmed_age(now);
	return !age || *age > patience;
}

effects spread::start_poll(instant now)
{
	last_poll_ = now;
	poll_ = poll{0, now, at_.value(), {}, at_};
	auto result = ask_page();
	result.emplace_back(fetch_members{});
	return result;
}

effects spread::ask_page()
{
	poll_->call = next_call_++;
	store::transaction body{store::scan{store_table, poll_->after, pace_.page_rows}};
	return {call_store{{call_owner::table_reader, poll_->call}, store::priority::table, std::move(body)}};
}

effects spread::on_answer(std::uint64_t call, const store::answer& answer, instant /*now*/)
{
	if (!poll_ || poll_->call != call)
	{
		return {};
	}
	if (answer.what != store::verdict::committed || answer.results.empty())
	{
		poll_.reset();
		return {};
	}
	const auto& rows = answer.results.front().rows;
	for (const auto& row : rows)
	{
		poll_->after = std::max(poll_->after, row.at);
		if (row.key == head_key)
		{
			poll_->head = std::max(poll_->head, revision{row.at});
		}
		else
		{
			take_row(row, poll_->pages);
		}
	}
	if (rows.size() >= pace_.page_rows)
	{
		return ask_page();
	}
	const auto finished = std::move(*poll_);
	poll_.reset();
	auto result = adopt(finished.pages, finished.head);
	if (finished.head == at_)
	{
		confirm(finished.sent);
	}
	return result;
}

effects spread::on_committed(const row_set& rows, revision to)
{
	// The commit was made against this copy, so nothing can lie between the two revisions.
	return adopt(rows, to);
}

effects spread::announce(instant now)
{
	return send_digests(now);
}

void spread::poll_soon()
{
	last_poll_.reset();
}

std::vector<vm_id> spread::pick_peers(std::size_t inside, std::size_t outside) const
{
	const auto& own_domain = live_.self().failure_domain;
	auto near = live_.entries_of(own_domain);
	std::erase(near, live_.self().vm);
	auto picked = membership::sample(std::move(near), inside, random_);
	const auto far = membership::sample(live_.entries_outside(own_domain), outside, random_);
	picked.insert(picked.end(), far.begin(), far.end());
	return picked;
}

effects spread::send_digests(instant now)
{
	last_digest_ = now;
	auto targets = pick_peers(pace_.digests_inside, pace_.digests_outside);

	auto digest = own_digest(now);
	digest.asked_at = now.time_since_epoch().count();
	effects result;
	for (auto& target : targets)
	{
		result.emplace_back(send_peer{std::move(target), digest});
	}
	return result;
}

peer::digest spread::own_digest(instant now) const
{
	peer::digest digest;
	digest.table = at_;
	digest.confirmed_age = confirmed_age(now).value_or(duration{-1});
	digest.member_list_revision = live_.list_revision();
	digest.suspensions = suspensions_;
	digest.leaving = leaving_;
	return digest;
}

effects spread::on_digest(const peer::envelope& from, const peer::digest& body, instant now)
{
	effects result;
	heard_[from.from.vm] = std::max(heard_[from.from.vm], body.table);
	if (!body.is_answer)
	{
		auto answer = own_digest(now);
		answer.asked_at = body.asked_at;
		answer.is_answer = true;
		result.emplace_back(send_peer{from.from.vm, std::move(answer)});
	}
	if (body.table > at_)
	{
		result.emplace_back(send_peer{from.from.vm, peer::table_pull{at_}});
	}
	else if (body.table == at_ && body.is_answer && body.confirmed_age >= duration{0})
	{
		confirm(instant{duration{body.asked_at}} - body.confirmed_age);
	}
	if (body.member_list_revision < live_.list_revision() && body.is_answer)
	{
		result.emplace_back(send_peer{from.from.vm, peer::member_push{live_.list()}});
	}
	return result;
}

effects spread::on_pull(const vm_id& from, const peer::table_pull& body) const
{
	if (body.have >= at_)
	{
		return {};
	}
	return {send_peer{from, delta_since(body.have)}};
}

effects spread::on_push(const vm_id& from, const peer::table_push& body, instant /*now*/)
{
	if (body.to <= at_)
	{
		return {};
	}
	if (body.from > at_)
	{
		return {send_peer{from, peer::table_pull{at_}}};
	}
	const auto rows = rows_of_push(body);
	return rows ? adopt(*rows, body.to) : effects{};
}

effects spread::adopt(const row_set& rows, revision to)
{
	if (to <= at_)
	{
		return {};
	}
	auto merged = rows_;
	merge(rows, merged);
	auto compiled = table::compile(merged, to, current_ ? at_ : revision{-1});
	if (!compiled)
	{
		rejected_ = std::move(compiled.error());
		return {};
	}
	rejected_.clear();
	const auto before = at_;
	rows_ = std::move(merged);
	at_ = to;
	current_ = std::make_shared<const table>(std::move(*compiled));
	return pass_on(before);
}

effects spread::pass_on(revision from) const
{
	auto targets = pick_peers(pace_.push_inside, pace_.push_outside);

	effects result;
	const auto delta = delta_since(from);
	for (auto& target : targets)
	{
		result.emplace_back(send_peer{std::move(target), delta});
	}
	return result;
}

peer::table_push spread::delta_since(revision from) const
{
	peer::table_push push;
	push.from = from;
	push.to = at_;
	for (const auto& [id, row] : rows_)
	{
		if (row.at > from)
		{
			push.rows.push_back({id, row.at, row.removed ? std::string{} : row.value.dump(), row.removed});
		}
	}
	return push;
}

void spread::confirm(instant at)
{
	confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
}

std::optional<duration> spread::confirmed_age(instant now) const
{
	if (!confirmed_at_)
	{
		return std::nullopt;
	}
	return now - *confirmed_at_;
}

void spread::set_digest_extras(std::vector<peer::suspension> suspensions, bool leaving)
{
	suspensions_ = std::move(suspensions);
	leaving_ = leaving;
}
} // namespace gingerdyke::table
