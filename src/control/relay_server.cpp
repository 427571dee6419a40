// SPDX-License-Identifier: MIT
// Server that answers other VMs' polls from this VM's copies of registry tables.
#include <algorithm>
#include <gingerdyke/control/relay_server.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
constexpr int backlog = 256;

/// Maximum wait that a poll may request.
constexpr duration max_wait = std::chrono::seconds{10};
} // namespace

relay_server::relay_server(proxy::asio::io_context& context, relay_server_hooks hooks)
	: context_(context), hooks_(std::move(hooks)), acceptor_(context), timer_(context)
{
}

proxy::error_code relay_server::listen(const routing::address& at)
{
	const auto error = proxy::open_acceptor(acceptor_, at.ip, at.port, backlog);
	if (!error)
	{
		accept();
	}
	return error;
}

void relay_server::accept()
{
	acceptor_.async_accept(
		[this](const proxy::error_code& error, proxy::tcp::socket socket)
		{
			if (!acceptor_.is_open())
			{
				return;
			}
			if (error)
			{
				log::write(log::level::warn, "relay: accept failed", {{"error", error.message()}});
				accept();
				return;
			}
			const auto slot = connections_.insert(connections_.end(), nullptr);
			frame_link_hooks hooks;
			hooks.frame_received = [this, slot](std::string_view frame) { on_frame(*slot, frame); };
			hooks.closed = [this, slot] { connections_.erase(slot); };
			*slot = std::make_shared<frame_link>(std::move(socket), std::move(hooks));
			(*slot)->start();
			accept();
		});
}

void relay_server::on_frame(const std::shared_ptr<frame_link>& from, std::string_view frame)
{
	const auto poll = read_poll(frame);
	if (!poll)
	{
		log::write(log::level::warn, "relay: malformed poll", {{"bytes", frame.size()}});
		return;
	}
	if (poll->report)
	{
		hooks_.report_received(poll->table, *poll->report);
	}
	const auto now = proxy::steady_now();
	const auto* cache = hooks_.find_table(poll->table);
	waiting_poll waiting{*poll, from, now + std::clamp(poll->wait, duration{0}, max_wait)};
	if (can_respond(*poll, cache, now) || waiting.poll.wait <= duration{0})
	{
		respond(waiting);
		return;
	}
	const auto due = next_check_at(waiting, cache, now);
	waiting_polls_[poll->table].push_back(std::move(waiting));
	arm_timer(due);
}

namespace
{
/// Whether the versions of a poll say nothing on those of the copy.
bool is_of_other_era(const relay_poll& poll, const table_cache& cache)
{
	return poll.after && poll.era && cache.era() && *poll.era != *cache.era();
}
} // namespace

bool relay_server::can_respond(const relay_poll& poll, const table_cache* cache, instant now)
{
	if (cache == nullptr || !cache->is_loaded())
	{
		return false;
	}
	return time_until_too_old(poll, cache, now) < duration{0} || !poll.after ||
		   is_of_other_era(poll, *cache) || cache->has_changes_after(*poll.after);
}

/// Returns how long until this VM's copy exceeds the poll's maximum age, unless it is confirmed before then.
duration relay_server::time_until_too_old(const relay_poll& poll, const table_cache* cache, instant now)
{
	if (cache == nullptr || !cache->is_loaded() || !poll.max_age)
	{
		return duration::max();
	}
	return *poll.max_age - cache->age(now);
}

/// Returns when a held poll has to be checked next. If the copy grows too old during the wait, the poll is
/// answered at that time, so that the caller can ask another source.
instant relay_server::next_check_at(const waiting_poll& waiting, const table_cache* cache, instant now)
{
	constexpr duration just_after = std::chrono::milliseconds{1};
	const auto too_old_in = time_until_too_old(waiting.poll, cache, now);
	return too_old_in < waiting.until - now ? now + too_old_in + just_after : waiting.until;
}

void relay_server::respond(const waiting_poll& to)
{
	const auto connection = to.from.lock();
	if (!connection)
	{
		return;
	}
	const auto* cache = hooks_.find_table(to.poll.table);
	relay_response response;
	response.call_id = to.poll.call_id;
	response.is_relayed = !hooks_.reads_registry(to.poll.table);
	if (cache == nullptr)
	{
		response.result = tl::make_unexpected(store_error::unavailable);
	}
	else
	{
		add_rows(*cache, to.poll, response);
	}
	if (to.poll.report)
	{
		response.summary = hooks_.make_summary(to.poll.table, to.poll.report->reporter);
	}
	connection->send(write_frame(response));
}

void relay_server::add_rows(const table_cache& from, const relay_poll& poll, relay_response& to)
{
	const auto now = proxy::steady_now();
	if (is_of_other_era(poll, from))
	{
		const bool is_copy_newer = *from.era() > *poll.era;
		to.result = tl::make_unexpected(is_copy_newer ? store_error::history_gone : store_error::unavailable);
		return;
	}
	encoder_.add_rows(from, poll, now, to);
}

void relay_server::on_change(const std::string& table)
{
	const auto* cache = hooks_.find_table(table);
	const auto now = proxy::steady_now();
	std::erase_if(waiting_polls_[table],
		[&](const waiting_poll& waiting)
		{
			const bool is_answered = can_respond(waiting.poll, cache, now);
			if (is_answered)
			{
				respond(waiting);
			}
			return is_answered;
		});
}

/// The timer is only set to an earlier time: one that fires before a poll is due costs a check, and hundreds
/// of held polls would otherwise be examined for each one that arrives.
void relay_server::arm_timer(instant due)
{
	if (check_at_ && *check_at_ <= due)
	{
		return;
	}
	check_at_ = due;
	timer_.expires_after(std::max(due - proxy::steady_now(), duration{0}));
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				check_at_.reset();
				respond_to_due_polls();
			}
		});
}

void relay_server::respond_to_due_polls()
{
	// Polls that are due soon after each other are checked together.
	constexpr duration min_interval = std::chrono::milliseconds{10};
	const auto now = proxy::steady_now();
	std::optional<instant> next;
	for (auto& [table, waiting] : waiting_polls_)
	{
		if (const auto due = respond_to_due_polls_of(table, now))
		{
			next = std::min(next.value_or(*due), *due);
		}
	}
	if (next)
	{
		arm_timer(std::max(*next, now + min_interval));
	}
}

/// Returns when the next of the polls that are still held is due.
std::optional<instant> relay_server::respond_to_due_polls_of(const std::string& table, instant now)
{
	const auto* cache = hooks_.find_table(table);
	std::optional<instant> next;
	std::erase_if(waiting_polls_[table],
		[&](const waiting_poll& waiting)
		{
			if (waiting.until <= now || can_respond(waiting.poll, cache, now))
			{
				respond(waiting);
				return true;
			}
			const auto due = next_check_at(waiting, cache, now);
			next = std::min(next.value_or(due), due);
			return false;
		});
	return next;
}

void relay_server::stop()
{
	proxy::error_code ignored;
	acceptor_.close(ignored);
	timer_.cancel();
	for (const auto& connection : connections_)
	{
		connection->close();
	}
	connections_.clear();
}
} // namespace gingerdyke::control
