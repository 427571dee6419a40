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

	/// Returns the value of a row of a table at a version; null if it is not known.
	using value_hook = std::function<const std::string*(const std::string& table, const known_row& row)>;

	/// \param on_summary Called with the summary of each response that carries one.
	/// \param find_value Returns the values that compressed rows are based on.
	relay_client(proxy::asio::io_context& context, peer to, summary_hook on_summary, value_hook find_value);

	/// \brief Sends a poll.
	/// \param limit Time after which the call fails as unreachable, unless its response is on the way: then
	/// it fails once the response makes no progress any more.
	void call(relay_poll poll, duration limit, done_hook done);

	/// \brief Closes the connection; all pending calls fail as unreachable.
	void abandon();

	[[nodiscard]] const peer& to() const noexcept { return to_; }

	/// \brief Whether there is a connection, possibly one that is still being established. A new one may lead
	/// to a new process.
	[[nodiscard]] bool is_connected() const noexcept { return connection_ != nullptr; }

  private:
	struct pending_call
	{
		std::string table;
		done_hook done;
		std::shared_ptr<proxy::boot_timer> timer;

		/// When the call was sent, and what the connection had received by then.
		instant sent_at;
		std::uint64_t received_at_start{};

		/// What the connection had received when the time limit was last checked.
		std::uint64_t received_at_check{};
	};

	void connect();
	void arm_timeout(std::int64_t call_id, duration limit);
	void on_timeout(std::int64_t call_id);
	[[nodiscard]] store_result<row_batch> decode(const std::string& table, relay_response response) const;
	void start_connect_timeout();
	void on_frame(std::string_view frame);
	void end_call(std::int64_t call_id, store_result<row_batch> result);

	proxy::asio::io_context& context_;
	peer to_;
	summary_hook on_summary_;
	value_hook find_value_;
	std::shared_ptr<frame_link> connection_;
	proxy::boot_timer connect_timer_;
	std::map<std::int64_t, pending_call> pending_calls_;
	std::int64_t next_call_id_ = 1;
};
} // namespace gingerdyke::control
