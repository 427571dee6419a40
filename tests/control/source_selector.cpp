// SPDX-License-Identifier: MIT
// Selection of the source that a VM reads registry tables from.
#include "../support/control_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

TEST_CASE("the VMs of a failure domain agree on one reader, and on its successor if it fails", "[sources]")
{
	const std::vector<peer> all{make_peer("vm1"), make_peer("vm2"), make_peer("vm3"), make_peer("vm4")};
	std::vector<std::pair<std::string, source_selector>> selectors;
	for (const auto& candidate : all)
	{
		selectors.emplace_back(candidate.vm.str(), source_selector{candidate});
		selectors.back().second.set_peers(all);
	}
	const auto reader_of = [&](const source_selector& of, const std::string& self)
	{
		const auto source = of.choose("t", start);
		return source ? source->vm.str() : self;
	};
	const auto reader = reader_of(selectors[0].second, selectors[0].first);
	for (const auto& [name, selector] : selectors)
	{
		CHECK(reader_of(selector, name) == reader);
	}
	for (auto& [name, selector] : selectors)
	{
		selector.record_unusable(make_peer(reader.c_str()), start);
	}
	std::string next;
	for (const auto& [name, selector] : selectors)
	{
		if (name != reader)
		{
			next = next.empty() ? reader_of(selector, name) : next;
			CHECK(reader_of(selector, name) == next);
		}
	}
	CHECK(next != reader);
}

TEST_CASE("a VM that cannot reach the registry falls back to a VM of another failure domain", "[sources]")
{
	source_selector selector{make_peer("vm1")};
	CHECK_FALSE(selector.choose("t", start));
	selector.set_peers({make_peer("far", "b")});
	CHECK_FALSE(selector.choose("t", start));
	selector.record_unusable(std::nullopt, start);
	REQUIRE(selector.choose("t", start));
	CHECK(selector.choose("t", start)->vm.str() == "far");
	CHECK_FALSE(selector.choose("t", start + seconds{3}));
}

TEST_CASE(
	"a VM with a stale copy of one table is retried soon, and remains a source of other tables", "[sources]")
{
	source_selector second{make_peer("vm2")};
	const auto first = make_peer("vm1");
	auto large = first;
	large.link_mbps = 10;
	second.set_peers({large});
	REQUIRE(second.choose("t", start));
	for (int i = 0; i < 10; ++i)
	{
		second.record_stale_copy(large, "t", start);
	}
	CHECK_FALSE(second.choose("t", start));
	CHECK(second.choose("other", start));
	CHECK(second.choose("t", start + milliseconds{500}));
	second.record_registry_loss(large, start + seconds{1});
	CHECK_FALSE(second.choose("other", start + seconds{1}));
	CHECK(second.choose("other", start + seconds{2}));
	for (int i = 0; i < 10; ++i)
	{
		second.record_unusable(large, start + seconds{100 * i});
	}
	CHECK_FALSE(second.choose("other", start + seconds{900} + milliseconds{600}));
}

TEST_CASE("a source marked unusable is backed off exponentially until it succeeds", "[sources]")
{
	source_selector second{make_peer("vm2")};
	auto first = make_peer("vm1");
	first.link_mbps = 10;
	second.set_peers({first});
	second.record_unusable(first, start);
	CHECK_FALSE(second.choose("t", start + milliseconds{400}));
	CHECK(second.choose("t", start + milliseconds{600}));
	second.record_unusable(first, start + milliseconds{600});
	CHECK_FALSE(second.choose("t", start + milliseconds{1500}));
	second.record_usable(first);
	CHECK(second.choose("t", start + milliseconds{1500}));
}

TEST_CASE("a few VMs retry a lost registry every 0.5 s, the others every 1.25 s", "[sources]")
{
	std::vector<peer> all;
	for (unsigned i = 0; i < 6; ++i)
	{
		all.push_back(make_peer(("vm" + std::to_string(i)).c_str()));
		all.back().link_mbps = 100 - i;
	}
	const auto is_backing_off_after = [&](std::size_t rank, duration span)
	{
		source_selector selector{all[rank]};
		selector.set_peers(all);
		instant now = start;
		for (int i = 0; i < 8; ++i)
		{
			now += seconds{10};
			selector.record_unusable(std::nullopt, now);
		}
		return selector.registry_backoff_until(now + span).has_value();
	};
	CHECK(is_backing_off_after(1, milliseconds{499}));
	CHECK_FALSE(is_backing_off_after(1, milliseconds{500}));
	CHECK(is_backing_off_after(2, milliseconds{1249}));
	CHECK_FALSE(is_backing_off_after(2, milliseconds{1250}));
	CHECK_FALSE(is_backing_off_after(5, milliseconds{1250}));
}

TEST_CASE("the VM with the largest link reads the registry for its failure domain", "[sources]")
{
	auto large = make_peer("vm3");
	large.link_mbps = 200;
	const std::vector<peer> all{make_peer("vm1"), make_peer("vm2"), large, make_peer("vm4")};
	for (const auto& candidate : all)
	{
		source_selector selector{candidate};
		selector.set_peers(all);
		const auto source = selector.choose("t", start);
		CHECK((source ? source->vm : candidate.vm) == large.vm);
	}
}

namespace
{
/// VMs of one failure domain with equal links, and one VM of another failure domain.
std::vector<peer> large_domain(std::size_t count)
{
	std::vector<peer> peers;
	for (std::size_t i = 0; i < count; ++i)
	{
		peers.push_back(make_peer(("vm" + std::to_string(i)).c_str()));
	}
	peers.push_back(make_peer("far", "b"));
	return peers;
}
} // namespace

TEST_CASE(
	"a few VMs of a failure domain read full tables and the others are distributed over them", "[sources]")
{
	constexpr std::size_t count = 60;
	const auto peers = large_domain(count);
	std::map<std::string, unsigned> asked;
	unsigned readers = 0;
	for (std::size_t i = 0; i < count; ++i)
	{
		source_selector selector{peers[i]};
		selector.set_peers(peers);
		const auto source = selector.choose_for_full_read("t", start);
		if (!source)
		{
			++readers;
			continue;
		}
		CHECK(source->domain.str() == "a");
		++asked[source->vm.str()];
	}
	CHECK(readers == 8);
	CHECK(asked.size() == 8);
	for (const auto& [vm, times] : asked)
	{
		CAPTURE(vm);
		CHECK(times <= 14);
	}
}

TEST_CASE("VMs with large links read full tables for the others", "[sources]")
{
	auto peers = large_domain(60);
	peers[7].link_mbps = 200;
	peers[31].link_mbps = 200;
	for (const auto& self : peers)
	{
		if (self.domain.str() != "a")
		{
			continue;
		}
		source_selector selector{self};
		selector.set_peers(peers);
		const auto source = selector.choose_for_full_read("t", start);
		CHECK(source.has_value() == (self.link_mbps == 0));
		CHECK((!source || source->link_mbps == 200));
	}
}

TEST_CASE("choose_for_full_read skips unusable readers and a registry in back-off", "[sources]")
{
	const auto peers = large_domain(16);
	std::optional<peer> last;
	for (const auto& self : peers)
	{
		source_selector selector{self};
		selector.set_peers(peers);
		const auto first = selector.choose_for_full_read("t", start);
		if (!first || self.domain.str() != "a")
		{
			continue;
		}
		last = self;
		selector.record_unusable(first, start);
		const auto second = selector.choose_for_full_read("t", start);
		REQUIRE(second);
		CHECK(second->vm != first->vm);
	}
	REQUIRE(last);
	source_selector without_registry{*last};
	without_registry.set_peers(peers);
	without_registry.record_unusable(std::nullopt, start);
	CHECK(without_registry.choose_for_full_read("t", start));
}
