// SPDX-License-Identifier: MIT
// Client that reads another VM's copy of the registry.
#pragma once

#include <gingerdyke/control/frame_link.hpp>
#include <gingerdyke/control/source_selector.hpp>
#include <map>

namespace gingerdyke::control
{
/// \brief Sends polls to one other VM over a single connection.
class relay_client : public std::enable_shared_from_this<relay_client>
{
  public:
	using done_hook = std::function<void(store_result<row_batch>)>;
	using summary_hook = std::function<void(const peer_summary&)>;

	/// \param on_summary Called with the summary of each response that carries one.
	relay_client(proxy::asio::io_context& context, peer to, summary_hook on_summary);

	/// \brief Sends a poll.
	/// \param limit Time after which the call fails as unreachable.
	void call(relay_poll poll, duration limit, done_hook done);

	/// \brief Closes the connection; all pending calls fail as unreachable.
	void abandon();

	[[nodiscard]] const peer& to() const noexcept { return to_; }

  private:
	struct pending_call
	{
		std::string table;
		done_hook done;
		std::shared_ptr<proxy::boot_timer> timer;

		/// When the call was sent, and what the connection had received by then.
		instant sent_at;
		std::uint64_t received_bytes{};
	};

	void connect();
	void on_timeout(std::int64_t call_id);
	void start_connect_timeout();
	void on_frame(std::string_view frame);
	void end_call(std::int64_t call_id, store_result<row_batch> result);

	proxy::asio::io_context& context_;
	peer to_;
	summary_hook on_summary_;
	std::shared_ptr<frame_link> connection_;
	proxy::boot_timer connect_timer_;
	std::map<std::int64_t, pending_call> pending_calls_;
	std::int64_t next_call_id_ = 1;
};
} // namespace gingerdyke::control
