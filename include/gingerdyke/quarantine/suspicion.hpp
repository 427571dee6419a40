// SPDX-License-Identifier: MIT
// Evidence that a request, or a part of prompts, makes replicas exit.
#pragma once

#include <gingerdyke/quarantine/content_key.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <map>
#include <optional>
#include <set>

namespace gingerdyke::quarantine
{
/// \brief Replica processes that exited, each with the other processes that exited at the same time.
using process_exits = std::map<process_instance, std::set<process_instance>>;

/// \brief Evidence against one request or part. The sets only grow, so reports may arrive in any order and
/// more than once, from any VM.
struct suspicion
{
	content_key key;

	/// Replica processes that exited while they were running the request. Whether the processes that exited
	/// at the same time were running it too is known only after the reports of all VMs are merged: each VM
	/// knows only what it sent itself.
	process_exits ended;

	/// Replica processes that completed the request; of a part, the completed requests themselves: all
	/// requests with a part may be sent to the same few replicas.
	std::set<process_instance> survived;

	/// Of a part: when each of these processes exited, and when the answer of each of these completions
	/// began, on this VM's clock.
	std::map<process_instance, instant> exit_times{};
	std::map<process_instance, instant> completion_times{};

	/// When a replica last exited, where another VM is told of it; none: not told.
	std::optional<instant> last_exit{};

	/// \brief Returns when a process exited; the beginning of time if that is not kept.
	[[nodiscard]] instant exit_time(process_instance process) const { return find_time(exit_times, process); }

	/// \brief Returns when the answer of a completion began; the beginning of time if that is not kept.
	[[nodiscard]] instant completion_time(process_instance completion) const
	{
		return find_time(completion_times, completion);
	}

	auto operator<=>(const suspicion&) const = default;

  private:
	[[nodiscard]] static instant find_time(
		const std::map<process_instance, instant>& times, process_instance of)
	{
		const auto found = times.find(of);
		return found == times.end() ? instant{} : found->second;
	}
};
} // namespace gingerdyke::quarantine
