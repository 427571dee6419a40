// SPDX-License-Identifier: MIT
// TCP links between entry VMs: one thread, frames in and out, nothing kept for a peer that can't be reached.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <gingerdyke/peer/message.hpp>
#include <memory>
#include <string>

namespace gingerdyke::peer
{
/// \brief Counters of the links.
struct link_counts
{
	std::atomic<std::uint64_t> sent{};
	std::atomic<std::uint64_t> sent_bytes{};
	std::atomic<std::uint64_t> received{};
	std::atomic<std::uint64_t> received_bytes{};

	/// Frames dropped: forged, oversize, unknown.
	std::atomic<std::uint64_t> rejected{};

	/// Frames dropped because the peer could not be reached or was too slow.
	std::atomic<std::uint64_t> undelivered{};
};

/// \brief Sends and receives envelopes. Delivery is best effort; messages may be lost.
class link_hub
{
  public:
	using receiver = std::function<void(envelope)>;

	/// \param host Address to listen at.
	/// \param port Port to listen at; 0: a free one.
	/// \param secret Peer secret of the settings.
	/// \param receive Called on the hub's thread for each envelope.
	/// \throws std::exception where the address can't be listened at.
	link_hub(const std::string& host, int port, std::string secret, receiver receive);
	~link_hub();

	link_hub(const link_hub&) = delete;
	link_hub& operator=(const link_hub&) = delete;
	link_hub(link_hub&&) = delete;
	link_hub& operator=(link_hub&&) = delete;

	/// \brief Sends an envelope to `ip:port`; from any thread.
	void send(const std::string& address, const envelope& envelope);

	/// \brief Closes all links; nothing is received afterwards.
	void stop();

	[[nodiscard]] const link_counts& counts() const noexcept;
	[[nodiscard]] int port() const noexcept;

  private:
	class impl;
	std::unique_ptr<impl> impl_;
};
} // namespace gingerdyke::peer
