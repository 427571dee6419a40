// SPDX-License-Identifier: MIT
// Measures the load of this VM.
#pragma once

#include <gingerdyke/limits/connection_admission.hpp>
#include <gingerdyke/proxy/asio.hpp>

namespace gingerdyke::proxy
{
/// \brief Measures the delay of the event loop and the bytes of callers' connections, and passes them on.
class load_meter
{
  public:
	/// \param admission Gets the load of each of its intervals; must outlive this object.
	load_meter(asio::io_context& context, limits::connection_admission& admission);

	void start();
	void stop() { timer_.cancel(); }

	/// \brief Records bytes that a caller sent or was sent. What comes from a caller goes on to a replica,
	/// and the other way round, so that they stand for the bytes in each direction of the link.
	void record_bytes(std::size_t count) noexcept { bytes_ += count; }

  private:
	void wait();
	void measure();

	limits::connection_admission& admission_;
	boot_timer timer_;
	instant began_;
	std::size_t bytes_ = 0;
};
} // namespace gingerdyke::proxy
