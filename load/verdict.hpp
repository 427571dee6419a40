// SPDX-License-Identifier: MIT
// Compares what callers were told with what upstreams ran and what the ledger bills.
#pragma once

#include "caller.hpp"
#include <string>
#include <vector>

namespace gingerdyke::load
{
/// \brief Where the truth is read from.
struct truth_sources
{
	std::string table_service;
	std::vector<std::string> upstreams;

	/// File of ids that ran, of upstreams that may be lost before they are asked.
	std::string record;
};

/// \brief Counts, and everything that breaks a promise.
struct verdict
{
	std::map<result_kind, std::size_t> counts;
	std::size_t bills{};
	std::size_t requests_run{};
	std::vector<std::string> broken_promises;
};

/// \brief Waits until bills have settled, or a while, and compares.
[[nodiscard]] verdict judge(
	const std::vector<sent_request>& sent, const truth_sources& sources, std::chrono::seconds patience);

/// \brief Prints counts, histograms per workspace and class, and the verdict's line.
void print(const std::vector<sent_request>& sent, const verdict& verdict);
} // namespace gingerdyke::load
