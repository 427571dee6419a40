// SPDX-License-Identifier: MIT
// Measures the load of this VM.
#include <algorithm>
#include <gingerdyke/proxy/load_meter.hpp>

namespace gingerdyke::proxy
{
load_meter::load_meter(asio::io_context& context, limits::connection_admission& admission)
	: admission_(admission), timer_(context)
{
}

void load_meter::start()
{
	wait();
}

void load_meter::wait()
{
	began_ = steady_now();
	bytes_ = 0;
	timer_.expires_after(admission_.tuning().interval);
	timer_.async_wait(
		[this](const error_code& error)
		{
			if (!error)
			{
				measure();
				wait();
			}
		});
}

void load_meter::measure()
{
	const auto elapsed = steady_now() - began_;
	const auto seconds = std::chrono::duration<double>(elapsed).count();
	const auto delay = std::max(elapsed - admission_.tuning().interval, duration{0});
	admission_.record_load({delay, static_cast<double>(bytes_) / seconds});
}
} // namespace gingerdyke::proxy
