// SPDX-License-Identifier: MIT
// Client that reads another VM's copy of the registry.
#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
/// Time limit for establishing a connection, a thousand round trips on a typical link. A VM that does not
/// accept within it is down or partitioned; without this limit, reading a full table would wait for it as
/// long as for a VM that is busy.
constexpr duration connect_timeout = std::chrono::milliseconds{250};
} // namespace

relay_client::relay_client(proxy::asio::io_context& context, peer to, summary_hook on_summary)
	: context_(context), to_(std::move(to)), on_summary_(std::move(on_summary)), connect_timer_(context)
{
}

void relay_client::call(relay_poll poll, duration limit, done_hook done)
{
	poll.call_id = next_call_id_++;
	const auto call_id = poll.call_id;
	auto timer = std::make_shared<proxy::boot_timer>(context_);
	timer->expires_after(limit);
	timer->async_wait(
		[self = shared_from_this(), call_id](const proxy::error_code& error)
		{
			if (!error)
			{
				self->on_timeout(call_id);
			}
		});
	const auto received_bytes = connection_ ? connection_->received_bytes() : 0;
	pending_calls_[call_id] = {
		poll.table, std::move(done), std::move(timer), proxy::steady_now(), received_bytes};
	if (!connection_)
	{
		connect();
	}
	if (connection_)
	{
		connection_->send(write_frame(poll));
	}
}

void relay_client::on_timeout(std::int64_t call_id)
{
	const auto found = pending_calls_.find(call_id);
	if (found == pending_calls_.end())
	{
		return;
	}
	const auto& call = found->second;
	log::write(log::level::info, "relay call timed out",
		{{"vm", to_.vm.str()}, {"table", call.table},
			{"after_ms", to_milliseconds(proxy::steady_now() - call.sent_at)},
			{"received_bytes", connection_ ? connection_->received_bytes() - call.received_bytes : 0},
			{"is_receiving", connection_ && connection_->is_receiving_frame()},
			{"calls_on_connection", pending_calls_.size()}});
	end_call(call_id, tl::make_unexpected(store_error::unreachable));
}

void relay_client::connect()
{
	proxy::error_code error;
	const auto ip = proxy::asio::ip::make_address_v4(to_.address.ip, error);
	if (error)
	{
		log::write(log::level::error, "relay: invalid peer address", {{"address", to_.address.str()}});
		return;
	}
	frame_link_hooks hooks;
	hooks.frame_received = [weak = weak_from_this()](std::string_view frame)
	{
		if (const auto self = weak.lock())
		{
			self->on_frame(frame);
		}
	};
	hooks.closed = [weak = weak_from_this()]
	{
		if (const auto self = weak.lock())
		{
			self->abandon();
		}
	};
	connection_ = std::make_shared<frame_link>(proxy::tcp::socket{context_}, std::move(hooks));
	connection_->connect({ip, to_.address.port});
	start_connect_timeout();
}

void relay_client::start_connect_timeout()
{
	connect_timer_.expires_after(connect_timeout);
	connect_timer_.async_wait(
		[weak = weak_from_this(), connection = std::weak_ptr{connection_}](const proxy::error_code& error)
		{
			const auto self = weak.lock();
			const auto pending = connection.lock();
			const bool is_current = self && pending && self->connection_ == pending;
			if (!error && is_current && !pending->is_connected())
			{
				self->abandon();
			}
		});
}

void relay_client::on_frame(std::string_view frame)
{
	auto response = read_response(frame);
	if (!response)
	{
		log::write(log::level::warn, "relay: malformed response", {{"vm", to_.vm.str()}});
		abandon();
		return;
	}
	if (response->summary)
	{
		on_summary_(*response->summary);
	}
	if (response->result)
	{
		response->result->is_relayed = response->is_relayed;
	}
	end_call(response->call_id, std::move(response->result));
}

void relay_client::end_call(std::int64_t call_id, store_result<row_batch> result)
{
	const auto found = pending_calls_.find(call_id);
	if (found == pending_calls_.end())
	{
		return;
	}
	const auto finished = std::move(found->second);
	pending_calls_.erase(found);
	finished.timer->cancel();
	if (result)
	{
		for (auto& table_row : result->rows)
		{
			table_row.table = finished.table;
		}
	}
	finished.done(std::move(result));
}

void relay_client::abandon()
{
	connect_timer_.cancel();
	if (connection_)
	{
		connection_->close();
		connection_.reset();
	}
	const auto self = shared_from_this();
	const auto calls = std::exchange(pending_calls_, {});
	for (const auto& [call_id, call] : calls)
	{
		call.timer->cancel();
	}
	for (const auto& [call_id, call] : calls)
	{
		call.done(tl::make_unexpected(store_error::unreachable));
	}
}
} // namespace gingerdyke::control
