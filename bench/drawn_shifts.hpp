// SPDX-License-Identifier: MIT
// Simulated shifts of one kind, drawn with different seeds.
#pragma once

#include "shift_emulator.hpp"
#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace gingerdyke::bench
{
/// \brief Simulates shifts of one kind with the seeds from 1 on, on several threads.
[[nodiscard]] inline std::vector<emulator::shift_result> play_shifts(
	const emulator::shift_setup& setup, unsigned plays)
{
	std::vector<emulator::shift_result> results(plays);
	std::atomic<unsigned> next{0};
	const auto work = [&]
	{
		for (auto i = next++; i < plays; i = next++)
		{
			auto one = setup;
			one.seed = i + 1;
			results[i] = emulator::simulate_shift(one);
		}
	};
	std::vector<std::thread> threads;
	for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency() / 2); ++i)
	{
		threads.emplace_back(work);
	}
	for (auto& one : threads)
	{
		one.join();
	}
	return results;
}
} // namespace gingerdyke::bench
