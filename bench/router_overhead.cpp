// SPDX-License-Identifier: MIT
// The router's added time: calls to an engine directly and through an entry VM, in turn, in the same run.
#include <algorithm>
#include <chrono>
#include <gingerdyke/cli/options.hpp>
#include <gingerdyke/node/settings.hpp>
#include <httplib.h>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <vector>

namespace
{
using namespace gingerdyke;
using clock_type = std::chrono::steady_clock;
using json = nlohmann::json;

struct target
{
	node::endpoint at;
	std::string key;
	std::string model;
};

std::unique_ptr<httplib::Client> connect(const target& to)
{
	auto client = std::make_unique<httplib::Client>(to.at.host, to.at.port);
	client->set_tcp_nodelay(true);
	client->set_keep_alive(true);
	return client;
}

/// One call; its time in microseconds to the first byte and to the end, or negative where it failed.
std::pair<double, double> call(httplib::Client& client, const target& to, bool streamed)
{
	httplib::Request request;
	request.method = "POST";
	request.path = "/v1/chat/completions";
	request.set_header("Authorization", "Bearer " + to.key);
	request.set_header("Engine-Request-Id", "bench");
	request.set_header("Content-Type", "application/json");
	request.body = json{{"model", to.model}, {"stream", streamed}, {"max_tokens", 1},
		{"messages", {{{"role", "user"}, {"content", "hello"}}}}}
					   .dump();
	const auto start = clock_type::now();
	double first = -1;
	const auto elapsed = [&]
	{ return std::chrono::duration<double, std::micro>(clock_type::now() - start).count(); };
	request.content_receiver =
		[&](const char* /*bytes*/, std::size_t /*size*/, std::uint64_t /*offset*/, std::uint64_t /*total*/)
	{
		first = first < 0 ? elapsed() : first;
		return true;
	};
	const auto result = client.send(request);
	return result && result->status == 200 ? std::pair{first, elapsed()} : std::pair{-1.0, -1.0};
}

double quantile(std::vector<double> values, double share)
{
	if (values.empty())
	{
		return 0;
	}
	std::sort(values.begin(), values.end());
	return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void compare(const char* name, const target& direct, const target& routed, bool streamed, int rounds)
{
	const auto to_engine = connect(direct);
	const auto to_router = connect(routed);
	std::vector<double> without;
	std::vector<double> with;
	unsigned failed = 0;
	constexpr int warm_up = 50;
	for (int i = 0; i < rounds + warm_up; ++i)
	{
		const auto a = call(*to_engine, direct, streamed);
		const auto b = call(*to_router, routed, streamed);
		failed += a.second < 0 || b.second < 0 ? 1 : 0;
		if (i >= warm_up && a.second >= 0 && b.second >= 0)
		{
			without.push_back(streamed ? a.first : a.second);
			with.push_back(streamed ? b.first : b.second);
		}
	}
	for (const double share : {0.5, 0.99})
	{
		const auto d = quantile(without, share);
		const auto r = quantile(with, share);
		std::cout << name << "  p" << static_cast<int>(share * 100) << "  direct " << d << " us, routed " << r
				  << " us, added " << r - d << " us, ratio " << r / d << "\n";
	}
	std::cout << name << "  failed " << failed << " of " << rounds + warm_up << "\n";
}

void throughput(const target& routed, int threads, int seconds)
{
	std::atomic<std::uint64_t> done{0};
	std::atomic<std::uint64_t> failed{0};
	const auto end = clock_type::now() + std::chrono::seconds{seconds};
	std::vector<std::thread> workers;
	workers.reserve(static_cast<std::size_t>(threads));
	for (int i = 0; i < threads; ++i)
	{
		workers.emplace_back(
			[&]
			{
				const auto client = connect(routed);
				while (clock_type::now() < end)
				{
					++(call(*client, routed, false).second >= 0 ? done : failed);
				}
			});
	}
	for (auto& worker : workers)
	{
		worker.join();
	}
	std::cout << "closed loop, " << threads << " callers: " << done / static_cast<std::uint64_t>(seconds)
			  << " requests/s, failed " << failed << "\n";
}
} // namespace

int main(int argc, char** argv)
{
	const std::vector<cli::option_spec> specs{{"engine", true, "HOST:PORT of the engine"},
		{"node", true, "HOST:PORT of the entry VM"}, {"key", true, "API key"},
		{"model", true, "MODEL@VERSION"}, {"rounds", true, "calls of each kind (default 2000)"}};
	int status = 0;
	const auto options = cli::parse_options(
		"router_overhead --engine HOST:PORT --node HOST:PORT --key KEY --model MODEL@VERSION", specs,
		{argv + 1, argv + argc}, status);
	if (!options)
	{
		return status;
	}
	const target direct{node::endpoint::parse(options->value("engine")), "", options->value("model")};
	const target routed{
		node::endpoint::parse(options->value("node")), options->value("key"), options->value("model")};
	const auto rounds = std::atoi(options->value("rounds", "2000").c_str());
	std::cout << std::fixed << std::setprecision(2);
	compare("whole   ", direct, routed, false, rounds);
	compare("streamed", direct, routed, true, rounds);
	for (const int threads : {1, 4, 16})
	{
		throughput(routed, threads, 3);
	}
	return 0;
}
