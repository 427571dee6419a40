// SPDX-License-Identifier: MIT
// The registry, read through another VM where that is as good.
#include <gingerdyke/control/shared_store.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
shared_store::shared_store(proxy::asio::io_context& context, row_store& registry, source_selector& sources,
	shared_store_hooks hooks, shared_store_tuning tuning)
	: context_(context), registry_(registry), sources_(sources), hooks_(std::move(hooks)),
	  tuning_(std::move(tuning))
{
}

void shared_store::read_all(const std::string& table, std::function<void(store_result<row_batch>)> done)
{
	read({table, std::nullopt, tuning_.whole_wait, std::move(done), 0, tuning_.sources_to_start});
}

void shared_store::follow(const std::string& table, row_version after, duration wait,
	std::function<void(store_result<row_batch>)> done)
{
	read({table, after, wait, std::move(done), 0, tuning_.sources_to_follow});
}

void shared_store::change(const row_change& what, std::function<void(store_result<change_result>)> done)
{
	registry_.change(what, std::move(done));
}

/// Calls to other VMs go on: where the registry turns this VM away several times a second, they would never
/// last long enough to bring anything.
void shared_store::abandon()
{
	registry_.abandon();
}

bool shared_store::reads_registry(const std::string& table) const
{
	const auto found = tables_.find(table);
	return found != tables_.end() && !found->second.is_new && !found->second.source;
}

void shared_store::read(read_call call)
{
	if (is_overdue(call.table, proxy::steady_now()))
	{
		read_overdue(std::move(call));
		return;
	}
	if (should_wait(call))
	{
		call.has_waited = true;
		const auto pause = std::min(tuning_.patience, time_until_overdue(call.table, proxy::steady_now()));
		read_after(pause, std::move(call));
		return;
	}
	const auto source = source_for(call);
	if (source)
	{
		read_peer(*source, std::move(call));
		return;
	}
	read_registry(std::move(call));
}

void shared_store::read_overdue(read_call call)
{
	const auto now = proxy::steady_now();
	// It is to tell how things are, not to wait for news.
	call.wait = duration{0};
	const auto rest = sources_.registry_rest(now);
	const bool is_left_to_contact =
		call.table != tuning_.contact_table && is_overdue(tuning_.contact_table, now);
	if (!rest && !is_left_to_contact)
	{
		read_registry(std::move(call));
		return;
	}
	if (const auto source = source_for(call))
	{
		read_peer(*source, std::move(call));
		return;
	}
	const duration until_asked = rest ? std::min<duration>(*rest - now, tuning_.patience) : duration{0};
	read_after(
		is_left_to_contact ? std::max(until_asked, tuning_.contact_pause) : until_asked, std::move(call));
}

/// None: the registry.
std::optional<peer> shared_store::source_for(const read_call& call) const
{
	const bool may_try = call.failures < call.most_failures;
	const auto now = proxy::steady_now();
	if (!may_try)
	{
		return std::nullopt;
	}
	return call.after ? sources_.choose(call.table, now) : sources_.choose_whole(call.table, now);
}

bool shared_store::is_overdue(const std::string& table, instant now) const
{
	return time_until_overdue(table, now) <= duration{0};
}

/// A table that is not known never is: a VM that has just started takes what it gets.
duration shared_store::time_until_overdue(const std::string& table, instant now) const
{
	const auto found = tables_.find(table);
	if (found == tables_.end() || !found->second.newest_at)
	{
		return duration::max();
	}
	return *found->second.newest_at + tuning_.oldest_own - now;
}

/// Not past the time at which the own copy is overdue, as long as the source takes to answer included: each
/// of two sources that had lost the registry held a poll for 0.9 s, and requests went by a copy of 3.3 s.
duration shared_store::wait_at_peer(const read_call& call) const
{
	if (!call.after)
	{
		return call.wait;
	}
	const auto most = time_until_overdue(call.table, proxy::steady_now());
	const auto allowed = std::max(most, tuning_.answer_limit) - tuning_.answer_limit;
	return std::min(scaled(call.wait, tuning_.wait_share), allowed);
}

bool shared_store::should_wait(const read_call& call) const
{
	const bool is_out_of_sources = call.failures > 0 && call.failures >= call.most_failures;
	return is_out_of_sources && call.after && !call.has_waited && sources_.position() >= tuning_.patient_from;
}

void shared_store::read_after(duration pause, read_call call)
{
	call.failures = 0;
	const auto timer = std::make_shared<proxy::boot_timer>(context_, pause);
	timer->async_wait(
		[this, timer, call = std::move(call)](const proxy::error_code& error) mutable
		{
			if (!error)
			{
				read(std::move(call));
			}
		});
}

void shared_store::read_registry(read_call call)
{
	const auto sent_at = proxy::steady_now();
	note_source(call.table, std::nullopt);
	if (call.after)
	{
		tables_[call.table].waits_since = sent_at;
	}
	const auto done = [this, call, sent_at](store_result<row_batch> result)
	{
		on_registry_answer(call, sent_at, result);
		call.done(std::move(result));
	};
	if (call.after)
	{
		registry_.follow(call.table, *call.after, call.wait, done);
	}
	else
	{
		registry_.read_all(call.table, done);
	}
}

void shared_store::on_registry_answer(
	const read_call& call, instant sent_at, const store_result<row_batch>& result)
{
	tables_[call.table].waits_since.reset();
	const bool failed = !result && result.error() != store_error::history_gone;
	if (failed)
	{
		sources_.note_unusable(std::nullopt, proxy::steady_now());
		return;
	}
	sources_.note_good(std::nullopt);
	if (!result)
	{
		return;
	}
	const auto newest_at = sent_at + result->held;
	note_newest(call.table, newest_at);
	if (call.table == tuning_.contact_table)
	{
		vouch_for_others(call.table, newest_at);
	}
}

void shared_store::note_newest(const std::string& table, instant at)
{
	auto& known = tables_[table].newest_at;
	known = std::max(known.value_or(at), at);
}

/// News of them would have come: their calls wait there.
void shared_store::vouch_for_others(const std::string& table, instant newest_at)
{
	for (auto& [name, state] : tables_)
	{
		const bool was_waiting = state.waits_since && *state.waits_since <= newest_at;
		if (name != table && state.newest_at && was_waiting)
		{
			note_newest(name, newest_at);
			hooks_.vouched(name, newest_at);
		}
	}
}

void shared_store::read_peer(const peer& from, read_call call)
{
	note_source(call.table, from);
	const bool is_known = tables_[call.table].newest_at.has_value();
	relay_poll poll;
	poll.table = call.table;
	poll.after = call.after;
	poll.max_age = is_known ? std::optional{tuning_.oldest_copy} : std::nullopt;
	poll.report = call.after ? hooks_.report(call.table) : std::nullopt;
	poll.wait = wait_at_peer(call);
	const auto limit = call.after ? poll.wait + tuning_.answer_limit : tuning_.whole_wait;
	const auto sent_at = proxy::steady_now();
	client_of(from)->call(poll, limit,
		[this, from, sent_at, wait = poll.wait, call = std::move(call)](
			store_result<row_batch> result) mutable
		{
			if (result && result->rows.empty() && proxy::steady_now() - sent_at >= wait)
			{
				result->held = wait;
			}
			on_peer_answer(from, std::move(call), sent_at, std::move(result));
		});
}

void shared_store::on_peer_answer(
	const peer& from, read_call call, instant sent_at, store_result<row_batch> result)
{
	if (!result && result.error() == store_error::history_gone)
	{
		call.done(std::move(result));
		return;
	}
	// A VM that has just started takes any copy: what follows is judged by its age.
	const bool is_known = tables_[call.table].newest_at.has_value();
	const bool is_fresh = result && (!is_known || result->age <= tuning_.oldest_copy);
	if (is_fresh)
	{
		note_newest(call.table, sent_at + result->held - result->age);
		if (result->is_relayed)
		{
			sources_.note_unusable(from, proxy::steady_now());
		}
		else
		{
			sources_.note_good(from);
		}
		call.done(std::move(result));
		return;
	}
	log::write(log::level::info, "source given up",
		{{"vm", from.vm.str()}, {"table", call.table}, {"why", result ? "old copy" : name_of(result.error())},
			{"age_ms", result ? to_milliseconds(result->age) : 0.0}});
	++call.failures;
	give_up_source(from, call.table, result.has_value());
	read(std::move(call));
}

/// \param answered It gave a copy, an old one.
void shared_store::give_up_source(const peer& from, const std::string& table, bool answered)
{
	const auto now = proxy::steady_now();
	if (answered && table != tuning_.contact_table)
	{
		sources_.note_old(from, table, now);
		return;
	}
	if (answered)
	{
		sources_.note_out_of_contact(from, now);
	}
	else
	{
		sources_.note_unusable(from, now);
	}
	// Its other calls would only end later, or bring what is no longer true.
	client_of(from)->abandon();
}

void shared_store::note_source(const std::string& table, const std::optional<peer>& source)
{
	auto& state = tables_[table];
	const auto vm = source ? std::optional{source->vm} : std::nullopt;
	if (!std::exchange(state.is_new, false) && state.source == vm)
	{
		return;
	}
	state.source = vm;
	log::write(log::level::info, "reading from",
		{{"table", table}, {"source", source ? source->vm.str() : "registry"}});
	if (table == tuning_.contact_table)
	{
		hooks_.moved(!source);
	}
}

std::shared_ptr<relay_client> shared_store::client_of(const peer& to)
{
	auto& known = clients_[to.vm];
	if (!known || known->to() != to)
	{
		known = std::make_shared<relay_client>(context_, to, hooks_.summary_received);
	}
	return known;
}
} // namespace gingerdyke::control
