// SPDX-License-Identifier: MIT
// Hands chunks from the thread that reads an upstream to the one that writes to the caller.
#pragma once

#include <condition_variable>
#include <deque>
#include <gingerdyke/http/request_runner.hpp>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace gingerdyke::http
{
/// \brief The first chunk is about to come from this dispatch.
struct stream_started
{
	node::dispatch_order order;
};

/// \brief What passes through the queue, in order: started, chunks, end.
using stream_item = std::variant<stream_started, std::string, request_end>;

/// \brief A bounded queue; closing it tells the writer that the caller has left.
class chunk_queue
{
  public:
	/// \brief Adds an item; waits while the queue is full.
	/// \returns False where the reader has left.
	bool put(stream_item item)
	{
		std::unique_lock lock{mutex_};
		changed_.wait(lock, [this] { return closed_ || items_.size() < capacity; });
		if (closed_)
		{
			return false;
		}
		items_.push_back(std::move(item));
		changed_.notify_all();
		return true;
	}

	/// \brief Takes the next item; waits for it.
	[[nodiscard]] stream_item take()
	{
		std::unique_lock lock{mutex_};
		changed_.wait(lock, [this] { return !items_.empty(); });
		auto item = std::move(items_.front());
		items_.pop_front();
		changed_.notify_all();
		return item;
	}

	/// \brief The reader leaves.
	void close()
	{
		const std::lock_guard lock{mutex_};
		closed_ = true;
		changed_.notify_all();
	}

  private:
	static constexpr std::size_t capacity = 256;

	std::mutex mutex_;
	std::condition_variable changed_;
	std::deque<stream_item> items_;
	bool closed_ = false;
};
} // namespace gingerdyke::http
