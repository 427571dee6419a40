// SPDX-License-Identifier: MIT
// A faulty replica answers some requests with a body that has no length and no end. The process keeps it in
// memory until the request's time is over, and goes over the memory of its machine. The platform kills it,
// and all requests that it has passed on to the sound replica lose their channels.
#include "../standin/world.hpp"

using namespace review;

namespace
{
constexpr int budget_ms = 2500;
constexpr int callers = 24;
constexpr int spoiled_every = 34;
constexpr long memory_limit_kb = 260L * 1024;
constexpr std::chrono::seconds calm{4};
constexpr std::chrono::seconds trouble{5};
constexpr std::chrono::seconds length{14};

/// Bytes that reach the machine are limited by its link of 1,000 Mbit/s; this stays below 900.
class paced_link
{
  public:
	void take(std::size_t bytes)
	{
		const std::lock_guard lock{mutex_};
		constexpr double bytes_per_s = 110e6;
		next_ = std::max(next_, steady::now());
		std::this_thread::sleep_until(next_);
		next_ += std::chrono::duration_cast<steady::duration>(
			std::chrono::duration<double>(static_cast<double>(bytes) / bytes_per_s));
	}

  private:
	std::mutex mutex_;
	steady::time_point next_{};
};

/// Highest resident size of a process so far; 0 if it has ended.
long peak_kb(pid_t pid)
{
	std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
	for (std::string line; std::getline(status, line);)
	{
		if (line.starts_with("VmHWM:"))
		{
			return std::atol(line.c_str() + 6);
		}
	}
	return 0;
}

struct counts
{
	std::mutex mutex;
	std::vector<std::string> lost_candidates;
	int sent = 0;
	int answered = 0;
};

void call_until(
	const std::string& ip, std::uint16_t port, int number, steady::time_point end, counts& seen, record& log)
{
	int fd = -1;
	int on_channel = 0;
	for (int i = 0; steady::now() < end; ++i)
	{
		if (fd < 0)
		{
			on_channel = 0;
			fd = connect_to(ip, port);
			if (fd < 0)
			{
				std::this_thread::sleep_for(milliseconds{100});
				continue;
			}
		}
		const auto id = "c" + std::to_string(number) + "-" + std::to_string(i);
		log.line("caller sends " + id);
		const bool is_sent = send_all(fd, request_bytes("POST", "/post/" + id, id, budget_ms));
		const auto got = is_sent ? read_answer(fd, milliseconds{budget_ms + 1000}) : received{};
		log.line("caller got for " + id + ": " + got.text());
		{
			const std::lock_guard lock{seen.mutex};
			++seen.sent;
			seen.answered += got.is_complete ? 1 : 0;
			if (on_channel > 0 && !got.is_complete && !got.timed_out)
			{
				seen.lost_candidates.push_back(id);
			}
		}
		++on_channel;
		if (!got.is_complete)
		{
			::close(fd);
			fd = -1;
		}
	}
	if (fd >= 0)
	{
		::close(fd);
	}
}
} // namespace

int main()
{
	record log{"review/3/record.txt"};
	const temporary_folder folder;
	const auto ip = own_ip();
	store platform{ip};
	std::atomic<bool> is_faulty = false;
	std::atomic<int> answers = 0;
	std::atomic<int> spoiled = 0;
	paced_link link;
	replica sound{ip, "i-1", log};
	replica faulty{ip, "i-2", log};
	for (auto* one : {&sound, &faulty})
	{
		one->work = [](const http_request&) { return milliseconds{250}; };
		platform.put("servers", one->id(), replica_row(*one, "desk", "zone-a"));
	}
	faulty.endless = [&](const http_request&)
	{
		const bool is_spoiled = is_faulty && ++answers % spoiled_every == 0;
		spoiled += is_spoiled ? 1 : 0;
		return is_spoiled;
	};
	faulty.before_endless_bytes = [&](std::size_t bytes) { link.take(bytes); };
	platform.put("op", "config",
		manifest(1, json::array({plain_route("post", "/post/", "unsafe", "desk", budget_ms, 150)}), {"desk"})
			.dump());
	vm one{"front-a-1", "zone-a", ip, 21000, platform.at(), folder.path(), log};
	one.start();
	if (!one.await_ready(milliseconds{10000}))
	{
		log.line("the machine did not become ready");
		return 2;
	}
	const auto start = steady::now();
	counts seen;
	std::vector<std::thread> threads;
	for (int i = 0; i < callers; ++i)
	{
		threads.emplace_back([&, i] { call_until(ip, one.port(), i, start + length, seen, log); });
	}
	std::this_thread::sleep_until(start + calm);
	is_faulty = has_trouble();
	log.line(is_faulty ? "replica i-2 begins to spoil answers" : "no trouble");
	int kills = 0;
	long highest = 0;
	while (steady::now() < start + length)
	{
		if (is_faulty && steady::now() > start + calm + trouble)
		{
			is_faulty = false;
			log.line("replica i-2 answers well again");
		}
		highest = std::max(highest, peak_kb(one.pid()));
		if (one.has_ended())
		{
			log.line("front-a-1 ended by itself");
			++kills;
			std::this_thread::sleep_for(milliseconds{300});
			one.start();
		}
		else if (peak_kb(one.pid()) > memory_limit_kb)
		{
			log.line("front-a-1 has taken " + std::to_string(highest / 1024) +
					 " MB, over memory_mb = 260: killed, as the platform does");
			++kills;
			one.signal(SIGKILL);
			one.await_end(milliseconds{2000});
			std::this_thread::sleep_for(milliseconds{300});
			one.start();
		}
		std::this_thread::sleep_for(milliseconds{5});
	}
	for (auto& thread : threads)
	{
		thread.join();
	}
	int lost = 0;
	for (const auto& id : seen.lost_candidates)
	{
		lost += sound.runs_of(id) > 0 && faulty.runs_of(id) == 0 ? 1 : 0;
	}
	log.line("sent " + std::to_string(seen.sent) + ", answered " + std::to_string(seen.answered) +
			 ", answers of i-2 " + std::to_string(faulty.runs()) + ", without end " +
			 std::to_string(spoiled));
	log.line("highest memory " + std::to_string(highest / 1024) + " MB, ends of the process " +
			 std::to_string(kills));
	log.line("requests of kept channels that the sound replica ran and that got no answer: " +
			 std::to_string(lost));
	return lost > 3 ? 1 : 0;
}
