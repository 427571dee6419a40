// SPDX-License-Identifier: MIT
// Store that reads the registry through another VM if that VM's copy is fresh enough.
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
	read({table, std::nullopt, tuning_.full_read_timeout, std::move(done), 0, tuning_.max_full_read_sources});
}

void shared_store::follow(const std::string& table, row_version after, duration wait,
	std::function<void(store_result<row_batch>)> done)
{
	read({table, after, wait, std::move(done), 0, tuning_.max_follow_sources});
}

void shared_store::change(
	const row_change& transaction, std::function<void(store_result<change_result>)> done)
{
	registry_.change(transaction, std::move(done));
}

/// Calls to other VMs continue: if the registry rejects calls several times a second, calls to other VMs that
/// were abandoned each time would never complete.
void shared_store::abandon()
{
	registry_.abandon();
}

bool shared_store::reads_registry(const std::string& table) const
{
	const auto found = tables_.find(table);
	return found != tables_.end() && !found->second.never_read && !found->second.source;
}

void shared_store::read(read_call call)
{
	if (is_overdue(call.table, proxy::steady_now()))
	{
		read_when_overdue(std::move(call));
		return;
	}
	if (should_wait_for_takeover(call))
	{
		call.has_waited_for_takeover = true;
		const auto pause =
			std::min(tuning_.takeover_wait, time_until_overdue(call.table, proxy::steady_now()));
		read_after(pause, std::move(call));
		return;
	}
	const auto source = choose_source(call);
	if (source)
	{
		read_peer(*source, std::move(call));
		return;
	}
	read_registry(std::move(call));
}

void shared_store::read_when_overdue(read_call call)
{
	const auto now = proxy::steady_now();
	// The call must return the current state at once rather than wait for changes.
	call.wait = duration{0};
	const auto registry_retry_at = sources_.registry_backoff_until(now);
	const bool left_to_liveness_calls =
		call.table != tuning_.liveness_table && is_overdue(tuning_.liveness_table, now);
	if (!registry_retry_at && !left_to_liveness_calls)
	{
		read_registry(std::move(call));
		return;
	}
	if (const auto source = choose_source(call))
	{
		read_peer(*source, std::move(call));
		return;
	}
	const duration retry_delay =
		registry_retry_at ? std::min<duration>(*registry_retry_at - now, tuning_.takeover_wait) : duration{0};
	read_after(left_to_liveness_calls ? std::max(retry_delay, tuning_.liveness_retry_delay) : retry_delay,
		std::move(call));
}

/// Returns the VM to ask; none for the registry.
std::optional<peer> shared_store::choose_source(const read_call& call) const
{
	const bool may_try = call.failures < call.max_failures;
	const auto now = proxy::steady_now();
	if (!may_try)
	{
		return std::nullopt;
	}
	return call.after ? sources_.choose(call.table, now) : sources_.choose_for_full_read(call.table, now);
}

bool shared_store::is_overdue(const std::string& table, instant now) const
{
	return time_until_overdue(table, now) <= duration{0};
}

/// A table that was never read is never overdue: a VM that has just started accepts any copy.
duration shared_store::time_until_overdue(const std::string& table, instant now) const
{
	const auto found = tables_.find(table);
	if (found == tables_.end() || !found->second.newest_at)
	{
		return duration::max();
	}
	return *found->second.newest_at + tuning_.max_own_copy_age - now;
}

/// The wait, including the time limit of the response, ends before the own copy is overdue. Without this
/// bound each of two sources that had lost the registry held a poll for 0.9 s, and requests were routed by a
/// copy 3.3 s old.
duration shared_store::wait_at_peer(const read_call& call) const
{
	if (!call.after)
	{
		return call.wait;
	}
	const auto until_overdue = time_until_overdue(call.table, proxy::steady_now());
	const auto max_peer_wait = std::max(until_overdue, tuning_.response_timeout) - tuning_.response_timeout;
	return std::min(scaled(call.wait, tuning_.peer_wait_ratio), max_peer_wait);
}

bool shared_store::should_wait_for_takeover(const read_call& call) const
{
	const bool is_out_of_sources = call.failures > 0 && call.failures >= call.max_failures;
	return is_out_of_sources && call.after && !call.has_waited_for_takeover &&
		   sources_.rank() >= tuning_.takeover_wait_min_rank;
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
	record_source(call.table, std::nullopt);
	if (call.after)
	{
		tables_[call.table].registry_wait_since = sent_at;
	}
	const auto done = [this, call, sent_at](store_result<row_batch> result)
	{
		on_registry_response(call, sent_at, result);
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

void shared_store::on_registry_response(
	const read_call& call, instant sent_at, const store_result<row_batch>& result)
{
	tables_[call.table].registry_wait_since.reset();
	const bool failed = !result && !needs_full_read(result.error());
	if (failed)
	{
		sources_.record_unusable(std::nullopt, proxy::steady_now());
		return;
	}
	sources_.record_usable(std::nullopt);
	if (!result)
	{
		return;
	}
	const auto newest_at = sent_at + result->held;
	record_newest(call.table, newest_at);
	tables_[call.table].eras.record(result->era);
	if (call.table == tuning_.liveness_table)
	{
		confirm_waiting_tables(call.table, newest_at);
	}
}

void shared_store::record_newest(const std::string& table, instant at)
{
	auto& known = tables_[table].newest_at;
	known = std::max(known.value_or(at), at);
}

/// Tables with a call waiting at the registry are unchanged, since the registry would have answered that call
/// otherwise.
void shared_store::confirm_waiting_tables(const std::string& table, instant newest_at)
{
	for (auto& [name, state] : tables_)
	{
		const bool was_waiting = state.registry_wait_since && *state.registry_wait_since <= newest_at;
		if (name != table && state.newest_at && was_waiting)
		{
			record_newest(name, newest_at);
			hooks_.copy_confirmed(name, newest_at);
		}
	}
}

void shared_store::read_peer(const peer& from, read_call call)
{
	record_source(call.table, from);
	const bool has_copy = tables_[call.table].newest_at.has_value();
	relay_poll poll;
	poll.table = call.table;
	poll.after = call.after;
	poll.max_age = has_copy ? std::optional{tuning_.max_peer_copy_age} : std::nullopt;
	const auto client = client_of(from, call.table);
	poll.report = call.after ? hooks_.report(call.table, !client->is_connected()) : std::nullopt;
	poll.wait = wait_at_peer(call);
	poll.era = tables_[call.table].eras.known();
	poll.known_rows = known_rows(call.table);
	const auto limit = call.after ? poll.wait + tuning_.response_timeout : tuning_.full_read_timeout;
	const auto sent_at = proxy::steady_now();
	client->call(poll, limit,
		[this, from, sent_at, wait = poll.wait, call = std::move(call)](
			store_result<row_batch> result) mutable
		{
			if (result && result->rows.empty() && proxy::steady_now() - sent_at >= wait)
			{
				result->held = wait;
			}
			on_peer_response(from, std::move(call), sent_at, std::move(result));
		});
}

void shared_store::on_peer_response(
	const peer& from, read_call call, instant sent_at, store_result<row_batch> result)
{
	if (!result && result.error() == store_error::history_gone)
	{
		call.done(std::move(result));
		return;
	}
	tables_[call.table].failed_to_decompress = !result && result.error() == store_error::bad_response;
	// A VM that has just started accepts a copy of any age; later responses are checked by their age.
	const bool has_copy = tables_[call.table].newest_at.has_value();
	auto& eras = tables_[call.table].eras;
	const bool is_of_earlier_era = result && eras.is_earlier(result->era);
	const bool is_fresh =
		result && !is_of_earlier_era && (!has_copy || result->age <= tuning_.max_peer_copy_age);
	if (is_fresh)
	{
		eras.record(result->era);
		record_newest(call.table, sent_at + result->held - result->age);
		if (result->is_relayed)
		{
			sources_.record_unusable(from, proxy::steady_now());
		}
		else
		{
			sources_.record_usable(from);
		}
		call.done(std::move(result));
		return;
	}
	log::write(log::level::info, "registry source failed",
		{{"vm", from.vm.str()}, {"table", call.table},
			{"why", result ? (is_of_earlier_era ? "earlier era" : "old copy") : name_of(result.error())},
			{"age_ms", result ? to_milliseconds(result->age) : 0.0}});
	++call.failures;
	drop_source(from, call.table, result.has_value());
	read(std::move(call));
}

/// \param has_responded Whether the source returned a (stale) copy.
void shared_store::drop_source(const peer& from, const std::string& table, bool has_responded)
{
	const auto now = proxy::steady_now();
	if (has_responded && table != tuning_.liveness_table)
	{
		sources_.record_stale_copy(from, table, now);
		return;
	}
	if (has_responded)
	{
		sources_.record_registry_loss(from, now);
	}
	else
	{
		sources_.record_unusable(from, now);
	}
	// The other calls to this VM would only fail later or return stale rows.
	abandon_calls_to(from);
}

void shared_store::record_source(const std::string& table, const std::optional<peer>& source)
{
	auto& state = tables_[table];
	const auto vm = source ? std::optional{source->vm} : std::nullopt;
	if (!std::exchange(state.never_read, false) && state.source == vm)
	{
		return;
	}
	state.source = vm;
	log::write(log::level::info, "registry source changed",
		{{"table", table}, {"source", source ? source->vm.str() : "registry"}});
	if (table == tuning_.liveness_table)
	{
		hooks_.reader_role_changed(!source);
	}
}

std::shared_ptr<relay_client> shared_store::client_of(const peer& to, const std::string& table)
{
	auto& client = clients_[{to.vm, table}];
	if (!client || client->to() != to)
	{
		const auto find_value = [this](const std::string& name, const known_row& row)
		{
			const auto* copy = hooks_.find_copy(name);
			return copy == nullptr ? nullptr : copy->find_value(row.key, row.version);
		};
		client = std::make_shared<relay_client>(context_, to, hooks_.summary_received, find_value);
	}
	return client;
}

void shared_store::abandon_calls_to(const peer& to)
{
	std::vector<std::shared_ptr<relay_client>> abandoned;
	for (const auto& [key, client] : clients_)
	{
		if (key.first == to.vm)
		{
			abandoned.push_back(client);
		}
	}
	// Calls that fail start others, which may add clients.
	for (const auto& client : abandoned)
	{
		client->abandon();
	}
}

std::vector<known_row> shared_store::known_rows(const std::string& table) const
{
	const auto* copy = hooks_.find_copy(table);
	const auto state = tables_.find(table);
	std::vector<known_row> known;
	const bool is_usable = copy != nullptr && state != tables_.end() && !state->second.failed_to_decompress &&
						   copy->era() == state->second.eras.known();
	if (!is_usable)
	{
		return known;
	}
	for (const auto* large : copy->large_rows(std::nullopt))
	{
		known.push_back({large->key, large->version});
	}
	return known;
}
} // namespace gingerdyke::control
