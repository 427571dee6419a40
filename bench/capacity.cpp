// SPDX-License-Identifier: MIT
// Slopes for docs/CAPACITY.md: processor time, memory and bytes of each role at five sizes, fitted to a line.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/node/core.hpp>
#include <gingerdyke/peer/codec.hpp>
#include <iomanip>
#include <iostream>
#include <malloc.h>

namespace
{
using namespace gingerdyke;
using clock_type = std::chrono::steady_clock;

constexpr int repeats = 5;
constexpr const char* secret = "a secret of this benchmark";

/// Sizes of a made-up system.
struct sizes
{
	std::size_t entry_vms{7};
	std::size_t replicas{18};
	std::size_t workspaces{10};
	std::size_t versions{4};
	std::size_t domains{3};
};

table::row_set rows_of(const sizes& size)
{
	table::row_set rows;
	const auto add = [&](const std::string& id, json value) {
		rows[row_id{id}] = {std::move(value), revision{1}, false};
	};
	add("settings/global", {{"session_key", std::string(32, 'k')}});
	add("class/ordinary", {{"rank", 1}, {"queue_limit_ms", 2000}});
	auto names = json::array();
	for (std::size_t i = 0; i < size.versions; ++i)
	{
		const auto name = "m" + std::to_string(i / 2) + "@" + std::to_string(i % 2);
		names.push_back(name);
		add("version/" + name, {{"state", "stable"}, {"micro_cost_per_1k_tokens", 100}});
	}
	for (std::size_t i = 0; i < size.replicas; ++i)
	{
		add("replica/replica-" + std::to_string(i),
			{{"failure_domain", "fd" + std::to_string(i % size.domains)},
				{"address", "10.0.0.1:" + std::to_string(1 + i)},
				{"versions", {names[i % names.size()], names[(i + 1) % names.size()]}}, {"slots", 64}});
	}
	for (std::size_t i = 0; i < size.workspaces; ++i)
	{
		add("workspace/w" + std::to_string(i), {{"keys_sha256", {sha256_hex("w" + std::to_string(i))}},
												   {"allowed", names}, {"default_class", "ordinary"}});
	}
	return rows;
}

std::vector<membership::member> members_of(const sizes& size)
{
	std::vector<membership::member> result;
	for (std::size_t i = 0; i < size.entry_vms; ++i)
	{
		result.push_back(
			{vm_id{"entry-" + std::to_string(i)}, failure_domain_id{"fd" + std::to_string(i % size.domains)},
				membership::member_kind::entry, membership::member_state::live, "10.0.0.1:1"});
	}
	for (std::size_t i = 0; i < size.replicas; ++i)
	{
		result.push_back({vm_id{"replica-" + std::to_string(i)},
			failure_domain_id{"fd" + std::to_string(i % size.domains)}, membership::member_kind::upstream,
			membership::member_state::live, ""});
	}
	return result;
}

peer::table_push push_of(const table::row_set& rows)
{
	peer::table_push push{revision{}, revision{1}, {}};
	for (const auto& [id, row] : rows)
	{
		push.rows.push_back({id, row.at, row.value.dump(), false});
	}
	return push;
}

double microseconds(const std::function<void()>& what)
{
	const auto start = clock_type::now();
	what();
	return std::chrono::duration<double, std::micro>(clock_type::now() - start).count();
}

double heap_bytes()
{
	return static_cast<double>(mallinfo2().uordblks);
}

peer::envelope envelope_of(peer::message body)
{
	return {{vm_id{"entry-1"}, 1}, failure_domain_id{"fd1"}, std::move(body)};
}

/// A core with its table in force.
std::unique_ptr<node::core> core_of(const sizes& size, instant now)
{
	const auto members = members_of(size);
	auto core = std::make_unique<node::core>(node::identity{members.front(), 1}, members, seeded_random{1});
	(void)core->step(node::members_fetched{{1, members}}, now);
	(void)core->step(node::peer_received{envelope_of(push_of(rows_of(size)))}, now);
	return core;
}

struct outcome
{
	double time{};
	double messages{};
	double bytes{};
};

/// A second of an idle VM: ticks every 10 ms.
outcome idle_second(node::core& core, instant& now)
{
	outcome result;
	result.time = microseconds(
		[&]
		{
			for (int i = 0; i < 100; ++i)
			{
				now += std::chrono::milliseconds{10};
				for (const auto& action : core.step(node::tick{}, now))
				{
					if (const auto* send = std::get_if<send_peer>(&action))
					{
						result.messages += 1;
						result.bytes +=
							static_cast<double>(peer::encode(envelope_of(send->body), secret).size());
					}
				}
			}
		});
	return result;
}

/// One request from arrival to finish, its journal entries acknowledged by both holders.
outcome one_request(node::core& core, instant& now, std::uint64_t number)
{
	outcome result;
	std::vector<node::event> events;
	node::arrival arrival;
	arrival.ref = number;
	arrival.id = request_id{"gd-" + std::to_string(1'000'000'000'000'000'000ULL + number)};
	arrival.key_digest = sha256_hex("w0");
	arrival.target = "m0";
	arrival.prefix = number | 1U;
	events.emplace_back(arrival);
	while (!events.empty())
	{
		const auto event = std::move(events.back());
		events.pop_back();
		now += duration{10};
		node::actions actions;
		result.time += microseconds([&] { actions = core.step(event, now); });
		for (auto& action : actions)
		{
			if (const auto* send = std::get_if<send_peer>(&action))
			{
				std::string frame;
				result.time += microseconds([&] { frame = peer::encode(envelope_of(send->body), secret); });
				result.messages += 1;
				result.bytes += static_cast<double>(frame.size());
				if (const auto* put = std::get_if<peer::journal_put>(&send->body))
				{
					peer::envelope ack{{send->to, 1}, failure_domain_id{"fd0"},
						peer::journal_ack{{put->bills.front().request}, put->bills.front().state}};
					events.emplace_back(node::peer_received{std::move(ack)});
				}
			}
			else if (const auto* order = std::get_if<node::request_order>(&action))
			{
				if (const auto* dispatch = std::get_if<node::dispatch_order>(&order->what))
				{
					node::attempt_report report;
					report.ref = number;
					report.attempt = dispatch->attempt;
					report.used = tokens{230};
					report.load = 1;
					events.emplace_back(report);
				}
			}
			else if (const auto* call = std::get_if<call_store>(&action))
			{
				store::answer answer{store::verdict::committed, 1, {}};
				answer.results.resize(call->body.size());
				events.emplace_back(node::store_answered{call->id, answer});
			}
		}
	}
	return result;
}

/// Least squares, with the largest distance of a point from the line.
void fit(const std::string& name, const std::vector<double>& x, const std::vector<double>& y,
	const std::string& unit, double at)
{
	const auto n = static_cast<double>(x.size());
	double sx = 0;
	double sy = 0;
	double sxx = 0;
	double sxy = 0;
	for (std::size_t i = 0; i < x.size(); ++i)
	{
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	const auto slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	const auto base = (sy - slope * sx) / n;
	double spread = 0;
	std::cout << "| " << name << " | ";
	for (std::size_t i = 0; i < x.size(); ++i)
	{
		spread = std::max(spread, std::abs(y[i] - base - slope * x[i]));
		std::cout << (i > 0 ? ", " : "") << x[i] << ": " << y[i];
	}
	std::cout << " | " << base << " + " << slope << " n " << unit << " | " << spread << " | "
			  << base + slope * at << " at " << at << " |\n";
}

double median(std::vector<double> values)
{
	std::sort(values.begin(), values.end());
	return values[values.size() / 2];
}

using measure = std::function<double(std::size_t)>;

void sweep(const std::string& name, const std::vector<std::size_t>& at, const std::string& unit,
	const measure& measure_one)
{
	std::vector<double> x;
	std::vector<double> y;
	for (const auto size : at)
	{
		std::vector<double> values;
		values.reserve(repeats);
		for (int i = 0; i < repeats; ++i)
		{
			values.push_back(measure_one(size));
		}
		x.push_back(static_cast<double>(size));
		y.push_back(median(values));
	}
	fit(name, x, y, unit, static_cast<double>(at.back()));
}

const std::vector<std::size_t> vm_counts{7, 50, 120, 200, 340};
const std::vector<std::size_t> replica_counts{18, 200, 500, 1000, 1600};
const instant start{std::chrono::hours{1}};

outcome idle_with(const sizes& size)
{
	auto now = start;
	const auto core = core_of(size, now);
	outcome sum;
	constexpr int seconds = 10;
	for (int i = 0; i < seconds; ++i)
	{
		const auto one = idle_second(*core, now);
		sum.time += one.time / seconds;
		sum.messages += one.messages / seconds;
		sum.bytes += one.bytes / seconds;
	}
	return sum;
}

sizes with_vms(std::size_t count)
{
	sizes size;
	size.entry_vms = count;
	size.domains = 7;
	return size;
}

sizes with_replicas(std::size_t count)
{
	auto size = with_vms(340);
	size.replicas = count;
	size.versions = 15;
	return size;
}

outcome request_with(const sizes& size)
{
	auto now = start;
	const auto core = core_of(size, now);
	constexpr std::uint64_t requests = 300;
	outcome sum;
	for (std::uint64_t i = 1; i <= requests; ++i)
	{
		const auto one = one_request(*core, now, i);
		sum.time += one.time / requests;
		sum.messages += one.messages / requests;
		sum.bytes += one.bytes / requests;
	}
	return sum;
}

double memory_with(const sizes& size)
{
	const auto before = heap_bytes();
	auto now = start;
	const auto core = core_of(size, now);
	return (heap_bytes() - before) / 1024;
}

double memory_of_open_requests(std::size_t count)
{
	auto now = start;
	const auto core = core_of(with_replicas(1600), now);
	const auto before = heap_bytes();
	for (std::size_t i = 0; i < count; ++i)
	{
		node::arrival arrival;
		arrival.ref = i + 1;
		arrival.id = request_id{"gd-" + std::to_string(1'000'000'000'000'000'000ULL + i)};
		arrival.key_digest = sha256_hex("w0");
		arrival.target = "m0";
		(void)core->step(arrival, now);
	}
	return (heap_bytes() - before) / 1024;
}

double journal_memory(std::size_t count)
{
	auto now = start;
	const auto core = core_of(with_vms(7), now);
	const auto before = heap_bytes();
	for (std::size_t i = 0; i < count; ++i)
	{
		const ledger::bill bill{request_id{"gd-" + std::to_string(1'000'000'000'000'000'000ULL + i)},
			workspace_id{"w0"}, ledger::bill_state::final_amount,
			{{version_ref::parse("m0@0"), tokens{230}, micro_cost{23}}}};
		(void)core->step(node::peer_received{envelope_of(peer::journal_put{{bill}})}, now);
	}
	return (heap_bytes() - before) / 1024;
}

double frame_bytes(const peer::message& message)
{
	return static_cast<double>(peer::encode(envelope_of(message), secret).size());
}
} // namespace

int main()
{
	std::cout << std::fixed << std::setprecision(2);
	std::cout << "| role and quantity | n: median of " << repeats
			  << " | fitted | largest distance | at the size to come |\n|---|---|---|---|---|\n";
	sweep("gossip, reader, timers: us a second, by entry VMs", vm_counts, "us/s",
		[](std::size_t n) { return idle_with(with_vms(n)).time; });
	sweep("gossip sent idle: messages a second, by entry VMs", vm_counts, "/s",
		[](std::size_t n) { return idle_with(with_vms(n)).messages; });
	sweep("gossip sent idle: bytes a second, by entry VMs", vm_counts, "B/s",
		[](std::size_t n) { return idle_with(with_vms(n)).bytes; });
	sweep("timers: us a second, by replicas (340 VMs)", replica_counts, "us/s",
		[](std::size_t n) { return idle_with(with_replicas(n)).time; });
	sweep("router: us a request, by entry VMs", vm_counts, "us",
		[](std::size_t n) { return request_with(with_vms(n)).time; });
	sweep("router: us a request, by replicas", replica_counts, "us",
		[](std::size_t n) { return request_with(with_replicas(n)).time; });
	sweep("journal: messages a request, by entry VMs", vm_counts, "",
		[](std::size_t n) { return request_with(with_vms(n)).messages; });
	sweep("journal: bytes a request, by entry VMs", vm_counts, "B",
		[](std::size_t n) { return request_with(with_vms(n)).bytes; });
	sweep("table read whole: ms to compile, by replicas", replica_counts, "ms",
		[](std::size_t n)
		{
			const auto rows = rows_of(with_replicas(n));
			return microseconds([&] { (void)table::table::compile(rows, revision{1}); }) / 1000;
		});
	sweep("table after a change: ms to compile, by replicas", replica_counts, "ms",
		[](std::size_t n)
		{
			auto rows = rows_of(with_replicas(n));
			rows.begin()->second.at = revision{2};
			return microseconds([&] { (void)table::table::compile(rows, revision{2}, revision{1}); }) / 1000;
		});
	sweep("core with table and members: KB, by replicas (340 VMs)", replica_counts, "KB",
		[](std::size_t n) { return memory_with(with_replicas(n)); });
	sweep("core: KB, by entry VMs", vm_counts, "KB", [](std::size_t n) { return memory_with(with_vms(n)); });
	sweep(
		"open requests: KB in the core, by requests", {10, 50, 100, 200, 400}, "KB", memory_of_open_requests);
	sweep("journal holder: KB, by bills held", {10, 50, 100, 200, 400}, "KB", journal_memory);
	sweep("VM list, sent whole: bytes, by members", {25, 250, 600, 1200, 1940}, "B",
		[](std::size_t n)
		{
			sizes size = with_vms(7);
			size.replicas = n - 7;
			return frame_bytes(peer::member_push{{1, members_of(size)}});
		});
	sweep("table sent whole: bytes, by replicas", replica_counts, "B",
		[](std::size_t n) { return frame_bytes(push_of(rows_of(with_replicas(n)))); });
	const auto rows = rows_of(with_replicas(18));
	auto one = push_of(rows);
	one.rows.resize(1);
	std::cout << "\none changed row, pushed: " << frame_bytes(one)
			  << " B; digest: " << frame_bytes(peer::digest{})
			  << " B; heartbeat: " << frame_bytes(peer::heartbeat{})
			  << " B; evidence with a wish for permits: "
			  << frame_bytes(peer::permit_request{{version_ref::parse("m0@0"), revision{1}, 1000, 10}, 4})
			  << " B\n";
	return 0;
}
