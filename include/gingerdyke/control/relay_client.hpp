// SPDX-License-Identifier: MIT
// Reads another VM's copy of the registry.
#pragma once

#include <gingerdyke/control/frame_link.hpp>
#include <gingerdyke/control/source_selector.hpp>
#include <map>

namespace gingerdyke::control
{
/// \brief Calls to one other VM, over one connection.
class relay_client : public std::enable_shared_from_this<relay_client>
{
  public:
	using done_hook = std::function<void(store_result<row_batch>)>;
	using summary_hook = std::function<void(const peer_summary&)>;

	/// \param summarised Told what the other VM knows, where a call came with a report.
	relay_client(proxy::asio::io_context& context, peer to, summary_hook summarised);

	/// \brief Makes a call.
	/// \param limit Time after which it counts as unreachable.
	void call(relay_poll poll, duration limit, done_hook done);

	/// \brief Ends the connection; all calls under way end as unreachable.
	void abandon();

	[[nodiscard]] const peer& to() const noexcept { return to_; }

  private:
	struct open_call
	{
		std::string table;
		done_hook done;
		std::shared_ptr<proxy::boot_timer> timer;
	};

	void connect();
	void limit_connecting();
	void on_frame(std::string_view frame);
	void end_call(std::int64_t number, store_result<row_batch> result);

	proxy::asio::io_context& context_;
	peer to_;
	summary_hook summarised_;
	std::shared_ptr<frame_link> link_;
	proxy::boot_timer connect_timer_;
	std::map<std::int64_t, open_call> calls_;
	std::int64_t next_call_ = 1;
};
} // namespace gingerdyke::control
