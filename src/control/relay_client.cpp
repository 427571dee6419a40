// SPDX-License-Identifier: MIT
// Client that reads another VM's copy of the registry.
#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/control/value_compression.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
namespace
{
/// Time limit for establishing a connection, a thousand round trips on a typical link. A VM that does not
/// accept within it is down or partitioned; without this limit, reading a full table would wait for it as
/// long as for a VM that is busy.
constexpr duration connect_timeout = std::chrono::milliseconds{250};

/// A response on the way makes progress if at least `min_progress` bytes arrive in each `stall_limit`.
constexpr duration stall_limit = std::chrono::milliseconds{250};
constexpr std::uint64_t min_progress = 2048;

/// Maximum duration of a call, however much progress its response makes.
constexpr duration max_call_duration = std::chrono::seconds{10};

/// Returns the value of a compressed row; none if the value that it is based on is not known or not the same.
std::optional<std::string> decompress(const compressed_row& compressed, const std::string* base)
{
	if (compressed.base && base == nullptr)
	{
		return std::nullopt;
	}
	if (compressed.base == compressed.version)
	{
		return *base;
	}
	return decompress_value(
		*compressed.bytes, base == nullptr ? std::string_view{} : std::string_view{*base});
}
} // namespace

relay_client::relay_client(
	proxy::asio::io_context& context, peer to, summary_hook on_summary, value_hook find_value)
	: context_(context), to_(std::move(to)), on_summary_(std::move(on_summary)),
	  find_value_(std::move(find_value)), connect_timer_(context)
{
}

void relay_client::call(relay_poll poll, duration limit, done_hook done)
{
	poll.call_id = next_call_id_++;
	const auto call_id = poll.call_id;
	const auto received_bytes = connection_ ? connection_->received_bytes() : 0;
	pending_calls_[call_id] = {poll.table, std::move(done), std::make_shared<proxy::boot_timer>(context_),
		proxy::steady_now(), received_bytes, received_bytes};
	arm_timeout(call_id, limit);
	if (!connection_)
	{
		connect();
	}
	if (connection_)
	{
		connection_->send(write_frame(poll));
	}
}

void relay_client::arm_timeout(std::int64_t call_id, duration limit)
{
	auto& timer = *pending_calls_.at(call_id).timer;
	timer.expires_after(limit);
	timer.async_wait(
		[self = shared_from_this(), call_id](const proxy::error_code& error)
		{
			if (!error)
			{
				self->on_timeout(call_id);
			}
		});
}

void relay_client::on_timeout(std::int64_t call_id)
{
	const auto found = pending_calls_.find(call_id);
	if (found == pending_calls_.end())
	{
		return;
	}
	auto& call = found->second;
	const bool is_receiving = connection_ && connection_->is_receiving_frame();
	const auto received_bytes = connection_ ? connection_->received_bytes() : 0;
	const bool may_continue = proxy::steady_now() - call.sent_at < max_call_duration;
	if (may_continue && is_receiving && received_bytes >= call.received_at_check + min_progress)
	{
		call.received_at_check = received_bytes;
		arm_timeout(call_id, stall_limit);
		return;
	}
	log::write(log::level::info, "relay call timed out",
		{{"vm", to_.vm.str()}, {"table", call.table},
			{"after_ms", to_milliseconds(proxy::steady_now() - call.sent_at)},
			{"received_bytes", connection_ ? received_bytes - call.received_at_start : 0},
			{"is_receiving", is_receiving}, {"calls_on_connection", pending_calls_.size()}});
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
	const auto call_id = response->call_id;
	const auto call = pending_calls_.find(call_id);
	if (call != pending_calls_.end())
	{
		end_call(call_id, decode(call->second.table, std::move(*response)));
	}
}

store_result<row_batch> relay_client::decode(const std::string& table, relay_response response) const
{
	if (!response.result)
	{
		return std::move(response.result);
	}
	auto& batch = *response.result;
	batch.is_relayed = response.is_relayed;
	for (const auto& compressed : response.compressed_rows)
	{
		const auto* base = compressed.base ? find_value_(table, {compressed.key, *compressed.base}) : nullptr;
		auto value = decompress(compressed, base);
		if (!value)
		{
			log::write(log::level::warn, "relay: row cannot be decompressed",
				{{"vm", to_.vm.str()}, {"table", table}, {"key", compressed.key},
					{"version", compressed.version.value()},
					{"base", compressed.base.value_or(row_version{}).value()}});
			return tl::make_unexpected(store_error::bad_response);
		}
		batch.rows.push_back({{}, compressed.key, std::move(*value), compressed.version, false});
	}
	return std::move(response.result);
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
