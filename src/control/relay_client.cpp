// SPDX-License-Identifier: MIT
// Reads another VM's copy of the registry.
#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
/// A VM to which no connection comes up within this time has no power or is cut off: whoever waits for a
/// whole table would else wait as long as for one that is busy. A thousand round trips of the users' links.
constexpr duration connect_limit = std::chrono::milliseconds{250};
} // namespace

relay_client::relay_client(proxy::asio::io_context& context, peer to, summary_hook summarised)
	: context_(context), to_(std::move(to)), summarised_(std::move(summarised)), connect_timer_(context)
{
}

void relay_client::call(relay_poll poll, duration limit, done_hook done)
{
	poll.call = next_call_++;
	const auto number = poll.call;
	auto timer = std::make_shared<proxy::boot_timer>(context_);
	timer->expires_after(limit);
	timer->async_wait(
		[self = shared_from_this(), number](const proxy::error_code& error)
		{
			if (!error)
			{
				self->end_call(number, tl::make_unexpected(store_error::unreachable));
			}
		});
	calls_[number] = {poll.table, std::move(done), std::move(timer)};
	if (!link_)
	{
		connect();
	}
	if (link_)
	{
		link_->send(write_frame(poll));
	}
}

void relay_client::connect()
{
	proxy::error_code error;
	const auto ip = proxy::asio::ip::make_address_v4(to_.at.ip, error);
	if (error)
	{
		log::write(log::level::error, "relay: address not understood", {{"address", to_.at.str()}});
		return;
	}
	frame_link_hooks hooks;
	hooks.received = [weak = weak_from_this()](std::string_view frame)
	{
		if (const auto self = weak.lock())
		{
			self->on_frame(frame);
		}
	};
	hooks.ended = [weak = weak_from_this()]
	{
		if (const auto self = weak.lock())
		{
			self->abandon();
		}
	};
	link_ = std::make_shared<frame_link>(proxy::tcp::socket{context_}, std::move(hooks));
	link_->connect({ip, to_.at.port});
	limit_connecting();
}

void relay_client::limit_connecting()
{
	connect_timer_.expires_after(connect_limit);
	connect_timer_.async_wait(
		[weak = weak_from_this(), link = std::weak_ptr{link_}](const proxy::error_code& error)
		{
			const auto self = weak.lock();
			const auto connecting = link.lock();
			const bool is_current = self && connecting && self->link_ == connecting;
			if (!error && is_current && !connecting->is_up())
			{
				self->abandon();
			}
		});
}

void relay_client::on_frame(std::string_view frame)
{
	auto answer = read_answer(frame);
	if (!answer)
	{
		log::write(log::level::warn, "relay: answer not understood", {{"vm", to_.vm.str()}});
		abandon();
		return;
	}
	if (answer->summary)
	{
		summarised_(*answer->summary);
	}
	if (answer->result)
	{
		answer->result->is_relayed = answer->is_relayed;
	}
	end_call(answer->call, std::move(answer->result));
}

void relay_client::end_call(std::int64_t number, store_result<row_batch> result)
{
	const auto found = calls_.find(number);
	if (found == calls_.end())
	{
		return;
	}
	const auto ended = std::move(found->second);
	calls_.erase(found);
	ended.timer->cancel();
	if (result)
	{
		for (auto& one : result->rows)
		{
			one.table = ended.table;
		}
	}
	ended.done(std::move(result));
}

void relay_client::abandon()
{
	connect_timer_.cancel();
	if (link_)
	{
		link_->close();
		link_.reset();
	}
	const auto self = shared_from_this();
	const auto calls = std::exchange(calls_, {});
	for (const auto& [number, one] : calls)
	{
		one.timer->cancel();
	}
	for (const auto& [number, one] : calls)
	{
		one.done(tl::make_unexpected(store_error::unreachable));
	}
}
} // namespace gingerdyke::control
