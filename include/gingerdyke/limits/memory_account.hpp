// SPDX-License-Identifier: MIT
// Account of the bytes that a VM keeps for others, with a limit on their sum.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace gingerdyke::limits
{
/// \brief What bytes are kept for.
enum class memory_use : std::uint8_t
{
	/// Requests that are being read.
	arriving_request,
	/// Requests that are being handled.
	running_request,
	/// Responses of replicas and other VMs that are not passed on yet.
	response,
	/// Responses that their callers have not taken yet.
	output,
};

inline constexpr std::size_t memory_use_count = 4;

/// \brief Name of a use, as logs and metrics show it.
[[nodiscard]] const char* name_of(memory_use use) noexcept;

/// \brief Tuning of `memory_account`.
struct memory_tuning
{
	/// Largest sum of all kept bytes.
	std::size_t limit_bytes = std::size_t{32} << 20U;

	/// Fraction of the limit above which large messages are read one after the other.
	double waiting_share = 0.75;

	/// Fraction of the limit up to which the messages of one sender are not held up by those of others.
	double sender_share = 0.125;

	/// Size up to which a message is always read on.
	std::size_t small_message_bytes = std::size_t{16} << 10U;

	/// Fraction of the limit that one response may take, and the size that is always allowed.
	double response_share = 0.125;
	std::size_t min_response_limit_bytes = std::size_t{4} << 20U;
};

/// \brief Returns the tuning for a VM.
/// \param memory_bytes Memory of the VM.
[[nodiscard]] memory_tuning memory_tuning_for(std::size_t memory_bytes);

/// \brief Callbacks for one message that is kept. They are called while another message is accounted for, so
/// they must not change the account themselves.
struct memory_hooks
{
	/// The limit is exceeded and this message is to be dropped; unset: it can't be.
	std::function<void()> give_up;

	/// The message may be read on, after `kept_bytes::must_wait`.
	std::function<void()> resume;
};

class kept_bytes;

/// \brief Sums up the bytes that are kept. Past the limit it gives up the largest message of the sender that
/// takes most; well before that, large messages wait for one another.
class memory_account
{
  public:
	explicit memory_account(memory_tuning tuning = {});

	[[nodiscard]] std::size_t used_bytes() const noexcept;
	[[nodiscard]] std::size_t used_bytes(memory_use use) const noexcept
	{
		return used_[static_cast<std::size_t>(use)];
	}

	[[nodiscard]] std::size_t limit_bytes() const noexcept { return tuning_.limit_bytes; }

	/// \brief Size of the largest response that is kept.
	[[nodiscard]] std::size_t response_limit_bytes() const noexcept;

	/// \brief Whether so much is kept that large messages wait.
	[[nodiscard]] bool is_short() const noexcept;

	/// \brief Number of messages given up because of the limit.
	[[nodiscard]] std::uint64_t given_up_count(memory_use use) const noexcept
	{
		return given_up_[static_cast<std::size_t>(use)];
	}

  private:
	friend class kept_bytes;

	/// Orders by size; messages of the same size by age.
	struct smaller
	{
		[[nodiscard]] bool operator()(const kept_bytes* first, const kept_bytes* second) const noexcept;
	};

	/// The large messages of one sender, without those that were given up.
	struct sender_messages
	{
		std::size_t sum{};
		std::set<kept_bytes*, smaller> by_size;
	};

	struct sender_key
	{
		memory_use use{};
		const void* sender{};
		auto operator<=>(const sender_key&) const = default;
	};

	void resize(kept_bytes& message, std::size_t size);
	void add_large(kept_bytes& message);
	void remove_large(kept_bytes& message);
	void give_up_largest();
	void resume_waiting();
	[[nodiscard]] bool may_go_on(const kept_bytes& message) const;
	[[nodiscard]] kept_bytes* largest_of_largest_sender() const;

	memory_tuning tuning_;

	/// Sum above which large messages wait.
	std::size_t waiting_level_;
	std::array<std::size_t, memory_use_count> used_{};
	std::array<std::uint64_t, memory_use_count> given_up_{};

	/// Bytes of messages that were given up and are not dropped yet.
	std::size_t given_up_bytes_ = 0;

	/// Messages larger than `small_message_bytes`.
	std::map<sender_key, sender_messages> large_;
	std::size_t waiting_count_ = 0;
	std::uint64_t message_count_ = 0;
};

/// \brief The bytes that are kept of one message, or of several that follow one another.
class kept_bytes
{
  public:
	/// \param sender Identifies whom the bytes come from; messages of one sender are weighed together.
	kept_bytes(
		std::shared_ptr<memory_account> account, memory_use use, const void* sender, memory_hooks hooks);
	~kept_bytes();
	kept_bytes(const kept_bytes&) = delete;
	kept_bytes& operator=(const kept_bytes&) = delete;
	kept_bytes(kept_bytes&&) = delete;
	kept_bytes& operator=(kept_bytes&&) = delete;

	/// \brief Sets the number of bytes that are kept now.
	void resize(std::size_t size);

	[[nodiscard]] std::size_t size() const noexcept { return size_; }

	/// \brief Whether no more may be read of the message until `memory_hooks::resume` is called.
	[[nodiscard]] bool must_wait();

	/// \brief Whether the message was given up.
	[[nodiscard]] bool is_given_up() const noexcept { return is_given_up_; }

  private:
	friend class memory_account;

	std::shared_ptr<memory_account> account_;
	memory_hooks hooks_;
	memory_account::sender_key sender_;
	std::size_t size_ = 0;

	/// Order of creation.
	std::uint64_t number_;
	bool is_large_ = false;
	bool is_waiting_ = false;
	bool is_given_up_ = false;
};
} // namespace gingerdyke::limits
