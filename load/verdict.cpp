// SPDX-License-Identifier: MIT
// Compares what callers were told with what upstreams ran and what the ledger bills.
#include "verdict.hpp"
#include <fstream>
#include <gingerdyke/metrics/histogram.hpp>
#include <gingerdyke/node/settings.hpp>
#include <iomanip>
#include <iostream>
#include <set>
#include <thread>

namespace gingerdyke::load
{
namespace
{
constexpr auto poll_pause = std::chrono::milliseconds{500};
constexpr double microseconds_per_millisecond = 1000;
constexpr std::array result_names{
	"answered whole", "refused (not run)", "told unknown", "broken off", "WRONG"};

/// What ran, by request and by call, summed over all upstreams.
struct runs
{
	std::map<std::string, unsigned> by_request;
	std::map<std::string, unsigned> by_call;
};

json get(const std::string& address, const std::string& path)
{
	const auto at = node::endpoint::parse(address);
	httplib::Client client{at.host, at.port};
	const auto result = client.Get(path);
	return result ? json::parse(result->body, nullptr, false) : json(nullptr);
}

runs read_runs(const std::vector<std::string>& upstreams, const std::string& record)
{
	runs all;
	std::ifstream recorded{record};
	for (std::string id; std::getline(recorded, id);)
	{
		++all.by_request[id];
	}
	for (const auto& address : upstreams)
	{
		const auto counts = get(address, "/runs");
		if (!counts.is_object())
		{
			continue;
		}
		for (const auto& [id, count] : counts.at("by_request").items())
		{
			all.by_request[id] += count.get<unsigned>();
		}
		for (const auto& [call, count] : counts.at("by_call").items())
		{
			all.by_call[call] += count.get<unsigned>();
		}
	}
	return all;
}

std::vector<std::string> compare(const std::vector<sent_request>& sent, const runs& ran, const json& bills)
{
	std::vector<std::string> broken;
	for (const auto& one : sent)
	{
		if (one.kind == result_kind::wrong)
		{
			broken.push_back("not the answer to its request: " + one.id);
		}
		if (one.kind == result_kind::whole && !bills.contains(one.id) && one.tries == 1)
		{
			broken.push_back("answered but not billed: " + one.id);
		}
		if (one.kind == result_kind::refused && ran.by_request.contains(one.id))
		{
			broken.push_back("said not run, but ran: " + one.id);
		}
		const auto calls = ran.by_call.find(one.call);
		if (!one.call.empty() && calls != ran.by_call.end() && calls->second > 1)
		{
			broken.push_back(
				"may not be repeated, but ran " + std::to_string(calls->second) + " times: " + one.call);
		}
	}
	for (const auto& [id, count] : ran.by_request)
	{
		if (!bills.contains(id))
		{
			broken.push_back("ran but not billed: " + id);
		}
	}
	for (const auto& [id, bill] : bills.items())
	{
		if (!ran.by_request.contains(id) && bill.value("micro_cost", 0) > 0)
		{
			broken.push_back("billed but never ran: " + id);
		}
	}
	return broken;
}
} // namespace

verdict judge(
	const std::vector<sent_request>& sent, const truth_sources& sources, std::chrono::seconds patience)
{
	verdict result;
	for (const auto& one : sent)
	{
		++result.counts[one.kind];
	}
	const auto deadline = std::chrono::steady_clock::now() + patience;
	while (true)
	{
		const auto ran = read_runs(sources.upstreams, sources.record);
		const auto bills = get(sources.table_service, "/dump?table=bills");
		result.bills = bills.size();
		result.requests_run = ran.by_request.size();
		result.broken_promises = compare(sent, ran, bills);
		if (result.broken_promises.empty() || std::chrono::steady_clock::now() >= deadline)
		{
			return result;
		}
		std::this_thread::sleep_for(poll_pause);
	}
}

void print(const std::vector<sent_request>& sent, const verdict& verdict)
{
	std::cout << "requests sent: " << sent.size() << "\n";
	for (std::size_t i = 0; i < result_names.size(); ++i)
	{
		const auto count = verdict.counts.find(static_cast<result_kind>(i));
		std::cout << "  " << std::setw(18) << std::left << result_names[i] << std::right << std::setw(8)
				  << (count == verdict.counts.end() ? 0 : count->second) << "\n";
	}
	std::cout << "requests run by upstreams: " << verdict.requests_run
			  << ", bills in the ledger: " << verdict.bills << "\n";

	std::map<std::pair<std::string, std::string>, std::pair<metrics::histogram, metrics::histogram>> groups;
	for (const auto& one : sent)
	{
		if (one.kind != result_kind::whole)
		{
			continue;
		}
		const auto name = one.stream->request_class.empty() ? "(default)" : one.stream->request_class;
		auto& [total, first] = groups[{one.stream->workspace, name}];
		total.add(static_cast<double>(one.latency.count()));
		if (one.stream->kind == request_kind::stream)
		{
			first.add(static_cast<double>(one.first_chunk.count()));
		}
	}
	std::cout << "\nworkspace            class        whole   p50 ms   p95 ms   p99 ms   first-chunk p95 ms\n"
			  << std::fixed << std::setprecision(1);
	for (const auto& [name, values] : groups)
	{
		const auto& [total, first] = values;
		const auto ms = [](const metrics::histogram& values_of, double share)
		{ return values_of.quantile(share) / microseconds_per_millisecond; };
		std::cout << std::left << std::setw(21) << name.first << std::setw(11) << name.second << std::right
				  << std::setw(7) << total.count() << std::setw(9) << ms(total, 0.5) << std::setw(9)
				  << ms(total, 0.95) << std::setw(9) << ms(total, 0.99);
		if (first.count() > 0)
		{
			std::cout << std::setw(21) << ms(first, 0.95);
		}
		std::cout << "\n";
	}
	std::cout << "\n";
	for (const auto& one : verdict.broken_promises)
	{
		std::cout << "BROKEN: " << one << "\n";
	}
	std::cout << "verdict: "
			  << (verdict.broken_promises.empty()
						 ? "all promises held"
						 : std::to_string(verdict.broken_promises.size()) + " broken promise(s)")
			  << "\n";
}
} // namespace gingerdyke::load
