// SPDX-License-Identifier: MIT
// The bytes that a VM keeps for others stay within a limit, whoever sends them.
#include <catch2/catch.hpp>
#include <gingerdyke/limits/memory_account.hpp>
#include <list>
#include <random>

using namespace gingerdyke::limits;

namespace
{
constexpr std::size_t kib = 1024;

memory_tuning small_tuning()
{
	memory_tuning tuning;
	tuning.limit_bytes = 1000 * kib;
	tuning.small_message_bytes = 10 * kib;
	tuning.min_response_limit_bytes = 100 * kib;
	return tuning;
}

/// A message whose hooks are recorded.
struct message
{
	message(const std::shared_ptr<memory_account>& account, memory_use use, const void* sender)
		: bytes(account, use, sender, {[this] { ++given_up; }, [this] { ++resumed; }})
	{
	}

	unsigned given_up = 0;
	unsigned resumed = 0;
	kept_bytes bytes;
};
} // namespace

TEST_CASE("the sender that takes most loses its largest message past the limit", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	const int faulty = 0;
	const int sound = 0;
	message whole{account, memory_use::response, &sound};
	whole.bytes.resize(400 * kib);
	std::list<message> endless;
	for (std::size_t i = 0; i < 10; ++i)
	{
		endless.emplace_back(account, memory_use::response, &faulty);
		endless.back().bytes.resize((50 + i) * kib);
	}
	CHECK(account->used_bytes() == 945 * kib);
	endless.front().bytes.resize(200 * kib);
	CHECK(endless.front().given_up == 1);
	CHECK(endless.front().bytes.is_given_up());
	CHECK(whole.given_up == 0);
	CHECK(account->given_up_count(memory_use::response) == 1);
	// What is given up already counts no more, so nothing else is.
	endless.front().bytes.resize(300 * kib);
	CHECK(account->given_up_count(memory_use::response) == 1);
	endless.front().bytes.resize(0);
	CHECK_FALSE(endless.front().bytes.is_given_up());
	CHECK(account->used_bytes() == 895 * kib);
}

TEST_CASE("large messages wait for one another while much is kept", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	const int busy = 0;
	const int other = 0;
	message first{account, memory_use::response, &busy};
	message second{account, memory_use::response, &busy};
	message small{account, memory_use::response, &busy};
	message elsewhere{account, memory_use::response, &other};
	first.bytes.resize(500 * kib);
	CHECK_FALSE(first.bytes.must_wait());
	second.bytes.resize(300 * kib);
	small.bytes.resize(10 * kib);
	elsewhere.bytes.resize(100 * kib);
	REQUIRE(account->is_short());
	CHECK_FALSE(first.bytes.must_wait());
	CHECK(second.bytes.must_wait());
	CHECK_FALSE(small.bytes.must_wait());
	CHECK_FALSE(elsewhere.bytes.must_wait());
	first.bytes.resize(0);
	CHECK(second.resumed == 1);
	CHECK_FALSE(second.bytes.must_wait());
}

TEST_CASE("messages that wait go on one after the other until all are whole", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	constexpr std::size_t whole = 100 * kib;
	constexpr std::size_t step = 5 * kib;
	const int sender = 0;
	std::list<message> all;
	for (int i = 0; i < 50; ++i)
	{
		all.emplace_back(account, memory_use::response, &sender);
	}
	std::size_t highest = 0;
	unsigned rounds = 0;
	unsigned completed = 0;
	while (completed < all.size())
	{
		REQUIRE(++rounds < 10000);
		for (auto& one : all)
		{
			const bool is_done = one.resumed > 1000;
			if (is_done || one.bytes.must_wait())
			{
				continue;
			}
			one.bytes.resize(one.bytes.size() + step);
			highest = std::max(highest, account->used_bytes());
			if (one.bytes.size() >= whole)
			{
				one.bytes.resize(0);
				one.resumed = 2000;
				++completed;
			}
		}
	}
	CHECK(highest <= account->limit_bytes());
	CHECK(account->given_up_count(memory_use::response) == 0);
	CHECK(account->used_bytes() == 0);
}

TEST_CASE("large requests wait for those that are running", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	kept_bytes running{account, memory_use::running_request, nullptr, {}};
	running.resize(700 * kib);
	message arriving{account, memory_use::arriving_request, nullptr};
	arriving.bytes.resize(60 * kib);
	CHECK(arriving.bytes.must_wait());
	running.resize(0);
	CHECK(arriving.resumed == 1);
}

TEST_CASE("messages that can't be given up are left alone past the limit", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	kept_bytes running{account, memory_use::running_request, nullptr, {}};
	running.resize(2000 * kib);
	const int sender = 0;
	message response{account, memory_use::response, &sender};
	response.bytes.resize(20 * kib);
	CHECK(response.given_up == 1);
	running.resize(0);
	CHECK(account->used_bytes() == 20 * kib);
}

TEST_CASE("the account is empty after any order of changes", "[limits][memory]")
{
	const auto account = std::make_shared<memory_account>(small_tuning());
	std::mt19937 random{11};
	std::list<message> all;
	const std::vector<int> senders(4);
	for (int i = 0; i < 5000; ++i)
	{
		const auto action = random() % 4;
		if (action == 0 || all.empty())
		{
			const auto use = static_cast<memory_use>(random() % memory_use_count);
			all.emplace_back(account, use, &senders[random() % senders.size()]);
		}
		auto at = all.begin();
		std::advance(at, random() % all.size());
		if (at->bytes.is_given_up() || action == 1)
		{
			all.erase(at);
			continue;
		}
		if (!at->bytes.must_wait())
		{
			at->bytes.resize(random() % (60 * kib));
		}
		std::size_t alive = 0;
		for (const auto& one : all)
		{
			alive += one.bytes.is_given_up() ? 0 : one.bytes.size();
		}
		REQUIRE(alive <= account->limit_bytes());
	}
	all.clear();
	CHECK(account->used_bytes() == 0);
	CHECK_FALSE(account->is_short());
}
