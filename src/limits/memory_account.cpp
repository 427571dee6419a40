// SPDX-License-Identifier: MIT
// Account of the bytes that a VM keeps for others.
#include <algorithm>
#include <gingerdyke/limits/memory_account.hpp>
#include <numeric>
#include <utility>

namespace gingerdyke::limits
{
namespace
{
/// Part of a VM's memory that may be kept for others. The rest is for the process itself, the buffers of its
/// connections and what the allocator can't give back.
constexpr std::size_t memory_divisor = 8;

/// \returns A fraction of a number of bytes.
std::size_t share_of(std::size_t bytes, double share)
{
	return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}
} // namespace

const char* name_of(memory_use use) noexcept
{
	switch (use)
	{
	case memory_use::arriving_request:
		return "arriving request";
	case memory_use::running_request:
		return "running request";
	case memory_use::response:
		return "response";
	case memory_use::output:
		return "output";
	}
	return "unknown";
}

memory_tuning memory_tuning_for(std::size_t memory_bytes)
{
	memory_tuning tuning;
	tuning.limit_bytes = memory_bytes / memory_divisor;
	return tuning;
}

/// One response that goes on while others wait has room to become whole.
memory_account::memory_account(memory_tuning tuning)
	: tuning_(tuning), waiting_level_(std::min(share_of(tuning.limit_bytes, tuning.waiting_share),
						   tuning.limit_bytes - std::min(tuning.limit_bytes, response_limit_bytes())))
{
}

std::size_t memory_account::used_bytes() const noexcept
{
	return std::accumulate(used_.begin(), used_.end(), std::size_t{0});
}

std::size_t memory_account::response_limit_bytes() const noexcept
{
	return std::max(share_of(tuning_.limit_bytes, tuning_.response_share), tuning_.min_response_limit_bytes);
}

bool memory_account::is_short() const noexcept
{
	return used_bytes() > waiting_level_;
}

bool memory_account::smaller::operator()(const kept_bytes* first, const kept_bytes* second) const noexcept
{
	return first->size_ != second->size_ ? first->size_ < second->size_ : first->number_ > second->number_;
}

void memory_account::resize(kept_bytes& message, std::size_t size)
{
	const bool has_shrunk = size < message.size_;
	const bool was_large = message.is_large_;
	remove_large(message);
	auto& used = used_[static_cast<std::size_t>(message.sender_.use)];
	used = used - message.size_ + size;
	message.size_ = size;
	add_large(message);
	if (!has_shrunk)
	{
		give_up_largest();
	}
	else if (was_large || !is_short())
	{
		resume_waiting();
	}
}

void memory_account::add_large(kept_bytes& message)
{
	message.is_large_ = message.size_ > tuning_.small_message_bytes;
	if (!message.is_large_)
	{
		message.is_given_up_ = false;
		waiting_count_ -= std::exchange(message.is_waiting_, false) ? 1 : 0;
		return;
	}
	if (message.is_given_up_)
	{
		given_up_bytes_ += message.size_;
		return;
	}
	auto& of_sender = large_[message.sender_];
	of_sender.sum += message.size_;
	of_sender.by_size.insert(&message);
}

void memory_account::remove_large(kept_bytes& message)
{
	if (!message.is_large_)
	{
		return;
	}
	if (message.is_given_up_)
	{
		given_up_bytes_ -= message.size_;
		return;
	}
	const auto found = large_.find(message.sender_);
	found->second.sum -= message.size_;
	found->second.by_size.erase(&message);
	if (found->second.by_size.empty())
	{
		large_.erase(found);
	}
}

void memory_account::give_up_largest()
{
	while (used_bytes() - given_up_bytes_ > tuning_.limit_bytes)
	{
		auto* const largest = largest_of_largest_sender();
		if (largest == nullptr)
		{
			return;
		}
		remove_large(*largest);
		largest->is_given_up_ = true;
		given_up_bytes_ += largest->size_;
		++given_up_[static_cast<std::size_t>(largest->sender_.use)];
		largest->hooks_.give_up();
	}
}

kept_bytes* memory_account::largest_of_largest_sender() const
{
	const sender_messages* most = nullptr;
	for (const auto& [sender, messages] : large_)
	{
		const bool can_be_given_up = static_cast<bool>((*messages.by_size.rbegin())->hooks_.give_up);
		if (can_be_given_up && (most == nullptr || most->sum < messages.sum))
		{
			most = &messages;
		}
	}
	return most == nullptr ? nullptr : *most->by_size.rbegin();
}

/// Progress is certain: of each sender the largest message goes on, until it is whole or too large. Requests
/// also wait for those that are running, and responses for those that callers are taking: these end by
/// themselves.
bool memory_account::may_go_on(const kept_bytes& message) const
{
	if (!message.is_large_ || !is_short())
	{
		return true;
	}
	if (message.is_given_up_)
	{
		return false;
	}
	const auto sender_share = share_of(tuning_.limit_bytes, tuning_.sender_share);
	if (message.sender_.use == memory_use::arriving_request &&
		used_bytes(memory_use::running_request) > sender_share)
	{
		return false;
	}
	const auto& of_sender = large_.at(message.sender_);
	if (of_sender.sum <= sender_share)
	{
		return true;
	}
	return *of_sender.by_size.rbegin() == &message && used_bytes(memory_use::output) <= sender_share;
}

void memory_account::resume_waiting()
{
	if (waiting_count_ == 0)
	{
		return;
	}
	for (const auto& [sender, messages] : large_)
	{
		for (auto* const message : messages.by_size)
		{
			if (message->is_waiting_ && may_go_on(*message))
			{
				message->is_waiting_ = false;
				--waiting_count_;
				message->hooks_.resume();
			}
		}
	}
}

kept_bytes::kept_bytes(
	std::shared_ptr<memory_account> account, memory_use use, const void* sender, memory_hooks hooks)
	: account_(std::move(account)), hooks_(std::move(hooks)), sender_{use, sender},
	  number_(++account_->message_count_)
{
}

kept_bytes::~kept_bytes()
{
	resize(0);
}

void kept_bytes::resize(std::size_t size)
{
	if (size != size_)
	{
		account_->resize(*this, size);
	}
}

bool kept_bytes::must_wait()
{
	const bool must = !account_->may_go_on(*this);
	if (std::exchange(is_waiting_, must) != must)
	{
		account_->waiting_count_ += must ? 1 : 0;
		account_->waiting_count_ -= must ? 0 : 1;
	}
	return must;
}
} // namespace gingerdyke::limits
