// SPDX-License-Identifier: MIT
// An event loop that a test drives until something has happened.
#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <gingerdyke/proxy/asio.hpp>

namespace gingerdyke::test
{
/// \brief Runs the loop until a condition holds. The limit only ends a test that would hang; no verdict
/// depends on it.
inline void run_until(proxy::asio::io_context& context, const std::function<bool()>& holds)
{
	constexpr auto limit = std::chrono::seconds{20};
	const auto end = std::chrono::steady_clock::now() + limit;
	while (!holds())
	{
		context.restart();
		context.run_one_for(std::chrono::milliseconds{50});
		if (std::chrono::steady_clock::now() > end)
		{
			FAIL("what the test waits for did not happen");
		}
	}
}
} // namespace gingerdyke::test
