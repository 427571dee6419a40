// SPDX-License-Identifier: MIT
// Brings the node's orders to the threads that handle requests.
#pragma once

#include <condition_variable>
#include <deque>
#include <gingerdyke/node/request.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace gingerdyke::node
{
/// \brief Orders for one request, in order.
class mailbox
{
  public:
	void put(order what);

	/// \brief Waits for the next order.
	/// \returns Nothing where none came in the time given.
	[[nodiscard]] std::optional<order> wait(std::chrono::milliseconds limit);

  private:
	std::mutex mutex_;
	std::condition_variable arrived_;
	std::deque<order> orders_;
};

/// \brief The mailboxes of all open requests.
class mailbox_board
{
  public:
	/// \brief Opens a mailbox under a new name.
	[[nodiscard]] std::pair<request_ref, std::shared_ptr<mailbox>> open();

	void close(request_ref ref);

	/// \brief Delivers an order; one for a closed mailbox is dropped.
	void deliver(request_order what);

  private:
	std::mutex mutex_;
	request_ref next_ = 1;
	std::map<request_ref, std::shared_ptr<mailbox>> boxes_;
};
} // namespace gingerdyke::node
