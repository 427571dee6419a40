// SPDX-License-Identifier: MIT
// An event loop in a thread of its own, for tests of calls that block.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <thread>

namespace gingerdyke::test
{
/// \brief Runs a loop until it is destroyed.
class loop_thread
{
  public:
	explicit loop_thread(proxy::asio::io_context& context)
		: context_(context), work_(proxy::asio::make_work_guard(context)),
		  thread_([&context] { context.run(); })
	{
	}
	~loop_thread()
	{
		context_.stop();
		thread_.join();
	}
	loop_thread(const loop_thread&) = delete;
	loop_thread& operator=(const loop_thread&) = delete;
	loop_thread(loop_thread&&) = delete;
	loop_thread& operator=(loop_thread&&) = delete;

  private:
	proxy::asio::io_context& context_;
	proxy::asio::executor_work_guard<proxy::asio::io_context::executor_type> work_;
	std::thread thread_;
};
} // namespace gingerdyke::test
