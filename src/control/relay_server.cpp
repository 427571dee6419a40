// SPDX-License-Identifier: MIT
// Answers other VMs from this VM's copies.
#include <algorithm>
#include <gingerdyke/control/relay_server.hpp>
#include <gingerdyke/control/row_packing.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
constexpr int backlog = 256;

/// Longest wait that a poll may ask for.
constexpr duration longest_wait = std::chrono::seconds{10};
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
			const auto place = links_.insert(links_.end(), nullptr);
			frame_link_hooks hooks;
			hooks.received = [this, place](std::string_view frame) { on_frame(*place, frame); };
			hooks.ended = [this, place] { links_.erase(place); };
			*place = std::make_shared<frame_link>(std::move(socket), std::move(hooks));
			(*place)->start();
			accept();
		});
}

void relay_server::on_frame(const std::shared_ptr<frame_link>& from, std::string_view frame)
{
	const auto poll = read_poll(frame);
	if (!poll)
	{
		log::write(log::level::warn, "relay: frame not understood", {{"bytes", frame.size()}});
		return;
	}
	if (poll->report)
	{
		hooks_.reported(*poll->report);
	}
	waiting_poll one{*poll, from, proxy::steady_now() + std::clamp(poll->wait, duration{0}, longest_wait)};
	if (has_answer(*poll) || one.poll.wait <= duration{0})
	{
		answer(one);
		return;
	}
	waiting_.push_back(std::move(one));
	arm_timer();
}

bool relay_server::has_answer(const relay_poll& poll) const
{
	const auto* cache = hooks_.find(poll.table);
	if (cache == nullptr || !cache->is_loaded())
	{
		return false;
	}
	return useless_in(poll) < duration{0} || !poll.after || cache->has_changes_after(*poll.after);
}

/// Until this VM's copy is too old for the asker, unless it is confirmed meanwhile.
duration relay_server::useless_in(const relay_poll& poll) const
{
	const auto* cache = hooks_.find(poll.table);
	if (cache == nullptr || !cache->is_loaded() || !poll.oldest)
	{
		return duration::max();
	}
	return *poll.oldest - cache->age(proxy::steady_now());
}

/// When a poll is to be looked at next. What waits while the copy grows too old would cost the asker the time
/// in which it could ask another source.
instant relay_server::due_at(const waiting_poll& one) const
{
	constexpr duration just_after = std::chrono::milliseconds{1};
	const auto now = proxy::steady_now();
	const auto useless = useless_in(one.poll);
	return useless < one.until - now ? now + useless + just_after : one.until;
}

void relay_server::answer(const waiting_poll& to)
{
	const auto link = to.from.lock();
	if (!link)
	{
		return;
	}
	const auto* cache = hooks_.find(to.poll.table);
	relay_answer made;
	made.call = to.poll.call;
	made.is_relayed = !hooks_.reads_registry(to.poll.table);
	if (cache == nullptr)
	{
		made.result = tl::make_unexpected(store_error::unavailable);
	}
	else
	{
		add_rows(*cache, to.poll, made);
	}
	if (to.poll.report)
	{
		made.summary = hooks_.summarise(to.poll.report->reporter);
	}
	link->send(write_frame(made));
}

void relay_server::add_rows(const table_cache& from, const relay_poll& poll, relay_answer& to)
{
	const auto now = proxy::steady_now();
	to.result = poll.after ? from.read(poll.after, now) : from.read_metadata(now);
	if (poll.after || !to.result)
	{
		return;
	}
	auto& known = packed_[poll.table];
	if (!known.bytes || known.newest != to.result->newest)
	{
		const auto whole = from.read(std::nullopt, now);
		known = {whole->newest, std::make_shared<const std::string>(pack_rows(whole->rows))};
	}
	to.packed = known.bytes;
}

void relay_server::on_change(const std::string& table)
{
	for (auto one = waiting_.begin(); one != waiting_.end();)
	{
		if (one->poll.table == table && has_answer(one->poll))
		{
			answer(*one);
			one = waiting_.erase(one);
		}
		else
		{
			++one;
		}
	}
}

void relay_server::arm_timer()
{
	std::optional<instant> next;
	for (const auto& one : waiting_)
	{
		const auto due = due_at(one);
		next = std::min(next.value_or(due), due);
	}
	if (!next)
	{
		return;
	}
	timer_.expires_after(std::max(*next - proxy::steady_now(), duration{0}));
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				answer_overdue();
			}
		});
}

void relay_server::answer_overdue()
{
	const auto now = proxy::steady_now();
	for (auto one = waiting_.begin(); one != waiting_.end();)
	{
		if (one->until <= now || has_answer(one->poll))
		{
			answer(*one);
			one = waiting_.erase(one);
		}
		else
		{
			++one;
		}
	}
	arm_timer();
}

void relay_server::stop()
{
	proxy::error_code ignored;
	acceptor_.close(ignored);
	timer_.cancel();
	for (const auto& one : links_)
	{
		one->close();
	}
	links_.clear();
}
} // namespace gingerdyke::control
