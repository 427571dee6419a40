// SPDX-License-Identifier: MIT
// `gingerdyke-load`: open-loop load with every answer checked. For tests and the demo only.
#include "verdict.hpp"
#include <atomic>
#include <csignal>
#include <gingerdyke/cli/options.hpp>
#include <iostream>
#include <sstream>
#include <thread>

namespace
{
using namespace gingerdyke;

constexpr int usage_error = 2;
constexpr std::size_t threads = 128;

std::vector<std::string> split(const std::string& text)
{
	std::vector<std::string> parts;
	std::istringstream in{text};
	for (std::string part; std::getline(in, part, ',');)
	{
		parts.push_back(part);
	}
	return parts;
}

/// Sends all requests at their times, whether or not earlier ones have been answered.
std::vector<load::sent_request> send_all(load::caller& caller, const std::vector<load::scheduled>& plan)
{
	std::vector<load::sent_request> sent(plan.size());
	std::atomic<std::size_t> next{0};
	const auto start = std::chrono::steady_clock::now();
	std::vector<std::thread> workers;
	for (std::size_t i = 0; i < threads; ++i)
	{
		workers.emplace_back(
			[&]
			{
				for (auto mine = next++; mine < plan.size(); mine = next++)
				{
					std::this_thread::sleep_until(start + plan[mine].at);
					sent[mine] = caller.send(plan[mine], start);
				}
			});
	}
	for (auto& worker : workers)
	{
		worker.join();
	}
	return sent;
}
} // namespace

int main(int argc, char** argv)
{
	const std::vector<cli::option_spec> specs{
		{"nodes", true, "entry VMs, HOST:PORT,HOST:PORT,..."},
		{"plan", true, "plan file (JSON); see examples/"},
		{"seconds", true, "how long to send (default 10)"},
		{"seed", true, "seed of the arrival times (default 1)"},
		{"table-service", true, "HOST:PORT, to compare bills"},
		{"upstreams", true, "HOST:PORT,..., to compare what ran"},
		{"record", true, "file of ids that ran, of upstreams that may be lost"},
		{"patience", true, "seconds to wait for bills to settle (default 60)"},
	};
	int status = 0;
	const auto options = cli::parse_options(
		"gingerdyke-load --nodes LIST --plan FILE [OPTION...]", specs, {argv + 1, argv + argc}, status);
	if (!options)
	{
		return status;
	}
	if (!options->has("nodes") || !options->has("plan"))
	{
		std::cerr << "gingerdyke-load: --nodes and --plan are needed\n";
		return usage_error;
	}
	const auto streams = load::read_plan(options->value("plan"));
	if (!streams)
	{
		std::cerr << to_text(streams.error());
		return 1;
	}
	std::signal(SIGPIPE, SIG_IGN);
	const auto seconds = std::chrono::seconds{std::atoi(options->value("seconds", "10").c_str())};
	const auto seed = std::strtoull(options->value("seed", "1").c_str(), nullptr, 10);
	const auto plan = load::schedule(*streams, seconds, seed);
	load::caller caller{split(options->value("nodes")), seed};
	const auto sent = send_all(caller, plan);
	const auto patience = std::chrono::seconds{std::atoi(options->value("patience", "60").c_str())};
	const auto verdict = load::judge(sent,
		{options->value("table-service"), split(options->value("upstreams")), options->value("record")},
		patience);
	load::print(sent, verdict);
	return verdict.broken_promises.empty() ? 0 : 1;
}
