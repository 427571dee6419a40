// SPDX-License-Identifier: MIT
// Brings the node's orders to the threads that handle requests.
#include <gingerdyke/node/mailbox.hpp>

namespace gingerdyke::node
{
void mailbox::put(order what)
{
	{
		const std::lock_guard lock{mutex_};
		orders_.push_back(std::move(what));
	}
	arrived_.notify_one();
}

std::optional<order> mailbox::wait(std::chrono::milliseconds limit)
{
	std::unique_lock lock{mutex_};
	if (!arrived_.wait_for(lock, limit, [this] { return !orders_.empty(); }))
	{
		return std::nullopt;
	}
	auto first = std::move(orders_.front());
	orders_.pop_front();
	return first;
}

std::pair<request_ref, std::shared_ptr<mailbox>> mailbox_board::open()
{
	const std::lock_guard lock{mutex_};
	const auto ref = next_++;
	auto box = std::make_shared<mailbox>();
	boxes_.emplace(ref, box);
	return {ref, std::move(box)};
}

void mailbox_board::close(request_ref ref)
{
	const std::lock_guard lock{mutex_};
	boxes_.erase(ref);
}

void mailbox_board::deliver(request_order what)
{
	std::shared_ptr<mailbox> box;
	{
		const std::lock_guard lock{mutex_};
		const auto found = boxes_.find(what.ref);
		if (found == boxes_.end())
		{
			return;
		}
		box = found->second;
	}
	box->put(std::move(what.what));
}
} // namespace gingerdyke::node
