// SPDX-License-Identifier: MIT
// A machine is stopped (SIGTERM). Requests that can't be repeated reach it up to 5.5 s later on channels that
// were opened while it still received new ones. It passes them on to a replica and ends before they are
// answered.
#include "../standin/world.hpp"

using namespace review;

namespace
{
constexpr int budget_ms = 4000;
constexpr milliseconds long_work{3200};

struct posted
{
	std::string id;
	double sent_at = 0;
	double ended_at = 0;
	received got;
};
} // namespace

int main()
{
	record log{"review/3/record.txt"};
	const temporary_folder folder;
	const auto ip = own_ip();
	store platform{ip};
	replica first{ip, "i-1", log};
	replica second{ip, "i-2", log};
	for (auto* one : {&first, &second})
	{
		one->work = [](const http_request& incoming) {
			return incoming.field("X-Gingerdyke-Request-Id").starts_with("late") ? long_work
																				 : milliseconds{30};
		};
		platform.put("servers", one->id(), replica_row(*one, "desk", "zone-a"));
	}
	replica model{ip, "i-3", log};
	model.stream_events = [](const http_request&) { return 60; };
	platform.put("servers", model.id(), replica_row(model, "model", "zone-a"));
	auto draft = plain_route("draft", "/draft/", "stream", "model", 15000, 1000);
	draft["gap_aim_ms"] = 1200;
	const auto post = plain_route("post", "/post/", "unsafe", "desk", budget_ms, 300);
	platform.put("op", "config", manifest(1, json::array({post, draft}), {"desk", "model"}).dump());
	vm stopping{"front-a-1", "zone-a", ip, 21000, platform.at(), folder.path(), log};
	vm other{"front-a-2", "zone-a", ip, 21100, platform.at(), folder.path(), log};
	stopping.start();
	other.start();
	if (!stopping.await_ready(milliseconds{10000}) || !other.await_ready(milliseconds{10000}))
	{
		log.line("the machines did not become ready");
		return 2;
	}
	std::this_thread::sleep_for(milliseconds{3500});
	const auto warm_up = ask(
		ip, stopping.port(), request_bytes("POST", "/post/1", "warm-up", budget_ms), milliseconds{budget_ms});
	log.line("caller got for warm-up: " + warm_up.text());
	if (warm_up.status != 200)
	{
		return 2;
	}

	// A stream that began before keeps the stopping machine at work.
	std::thread reader_of_stream{[&]
		{
			const auto got = ask(ip, stopping.port(), request_bytes("POST", "/draft/1", "stream-1", 15000),
				milliseconds{15000});
			log.line(
				"caller got for stream-1: " + std::string{got.is_complete ? "whole" : "cut"} + " stream");
		}};
	std::this_thread::sleep_for(milliseconds{500});
	const auto start = steady::now();
	if (has_trouble())
	{
		stopping.signal(SIGTERM);
		log.line("SIGTERM to front-a-1");
	}
	// The platform asks each second and takes a machine out after two misses: it still gives new channels
	// here.
	std::this_thread::sleep_until(start + milliseconds{500});
	constexpr int count = 6;
	std::vector<posted> all(count);
	std::vector<std::thread> callers;
	for (int i = 0; i < count; ++i)
	{
		callers.emplace_back(
			[&, i]
			{
				auto& mine = all[static_cast<std::size_t>(i)];
				mine.id = "late-" + std::to_string(i);
				const int fd = connect_to(ip, stopping.port());
				log.line("caller " + mine.id + " opened a channel");
				std::this_thread::sleep_until(start + milliseconds{4600 + 120 * i});
				mine.sent_at = seconds_since_start();
				log.line("caller sends " + mine.id);
				if (fd < 0 || !send_all(fd, request_bytes("POST", "/post/" + mine.id, mine.id, budget_ms)))
				{
					mine.got.is_reset = true;
				}
				else
				{
					mine.got = read_answer(fd, milliseconds{budget_ms + 500});
				}
				mine.ended_at = seconds_since_start();
				log.line("caller got for " + mine.id + ": " + mine.got.text());
				::close(fd);
			});
	}
	for (auto& one : callers)
	{
		one.join();
	}
	reader_of_stream.join();
	if (has_trouble() && stopping.await_end(milliseconds{4000}))
	{
		log.line("front-a-1 has ended");
	}
	std::this_thread::sleep_for(milliseconds{300});
	int lost = 0;
	for (const auto& one : all)
	{
		const int runs = first.runs_of(one.id) + second.runs_of(one.id);
		const double after = one.ended_at - one.sent_at;
		const bool is_lost = runs > 0 && !one.got.is_complete && after < budget_ms / 1000.0;
		lost += is_lost ? 1 : 0;
		log.line(one.id + ": runs " + std::to_string(runs) + ", " + one.got.text() + " after " +
				 std::to_string(after) + " s" + (is_lost ? ": LOST" : ""));
	}
	log.line("lost requests: " + std::to_string(lost));
	return lost > 0 ? 1 : 0;
}
