// SPDX-License-Identifier: MIT
// Requests are spread over the VMs that forward them, and not sent to VMs that recently could not serve.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/peer_selector.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const service_id service{"engine"};
const instant start{seconds{100}};

std::vector<forwarding_peer> make_peers(std::size_t count, const char* domain, unsigned link_mbps)
{
	std::vector<forwarding_peer> peers;
	for (std::size_t i = 0; i < count; ++i)
	{
		peers.push_back(
			{vm_id{domain + std::to_string(i)}, failure_domain_id{domain}, {"127.0.0.1", 1}, link_mbps});
	}
	return peers;
}

/// Sends requests that do not end.
std::map<vm_id, unsigned> spread(peer_selector& selector, std::size_t requests)
{
	std::map<vm_id, unsigned> sent;
	for (std::size_t i = 0; i < requests; ++i)
	{
		const auto chosen = selector.choose(service, {}, start);
		REQUIRE(chosen);
		selector.record_sent(chosen->vm);
		++sent[chosen->vm];
	}
	return sent;
}
} // namespace

TEST_CASE("forwarded requests are spread evenly over VMs", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	selector.set_peers(make_peers(6, "a", 1000));
	for (const auto& [vm, count] : spread(selector, 600))
	{
		CHECK(count >= 80);
		CHECK(count <= 120);
	}
}

TEST_CASE("a VM with a small link gets fewer forwarded requests", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	auto peers = make_peers(2, "a", 1000);
	peers.front().link_mbps = 10;
	selector.set_peers(peers);
	const auto sent = spread(selector, 110);
	CHECK(sent.at(peers.front().vm) <= 11);
}

TEST_CASE("VMs of other failure domains are used when those of the own one can't serve", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	auto peers = make_peers(2, "a", 0);
	for (const auto& peer : make_peers(3, "b", 0))
	{
		peers.push_back(peer);
	}
	selector.set_peers(peers);
	selector.record_unavailable(peers[0].vm, service, start);
	selector.record_unavailable(peers[1].vm, service, start);
	const auto chosen = selector.choose(service, {}, start);
	REQUIRE(chosen);
	CHECK(chosen->domain == failure_domain_id{"b"});
	CHECK(selector.choose(service_id{"other"}, {}, start));
}

// A VM was chosen without regard to the regions that a request may be sent to.
TEST_CASE("a request is not sent through a VM of a failure domain that it may not be sent to", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	auto peers = make_peers(1, "b", 0);
	peers.push_back(make_peers(1, "c", 0).front());
	selector.set_peers(peers);
	const auto allows = [](const char* name)
	{ return [name](const failure_domain_id& domain) { return domain == failure_domain_id{name}; }; };
	for (const auto* domain : {"b", "c"})
	{
		const auto chosen = selector.choose(service, {}, start, allows(domain));
		REQUIRE(chosen);
		CHECK(chosen->domain == failure_domain_id{domain});
	}
	CHECK_FALSE(selector.choose(service, {}, start, allows("d")));
}

TEST_CASE("a request is not sent through a VM twice", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	const auto peers = make_peers(2, "a", 0);
	selector.set_peers(peers);
	CHECK(selector.choose(service, {peers[0].vm}, start)->vm == peers[1].vm);
	CHECK_FALSE(selector.choose(service, {peers[0].vm, peers[1].vm}, start));
}

TEST_CASE("no VM is asked for a while after several in a row could not serve a service", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	const auto peers = make_peers(340, "a", 0);
	selector.set_peers(peers);
	for (std::size_t i = 0; i < 8; ++i)
	{
		CHECK(selector.choose(service, {}, start));
		selector.record_unavailable(peers[i].vm, service, start);
	}
	CHECK_FALSE(selector.choose(service, {}, start));
	CHECK(selector.time_until_available(service, start) == milliseconds{500});
	CHECK(selector.choose(service, {}, start + milliseconds{500}));
	selector.record_served(peers[9].vm, service, start);
	CHECK(selector.choose(service, {}, start));
}

TEST_CASE("the back-off of a VM that stays unreachable grows up to its maximum", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	const auto peers = make_peers(1, "a", 0);
	selector.set_peers(peers);
	auto now = start;
	duration last{};
	for (int i = 0; i < 6; ++i)
	{
		selector.record_unreachable(peers[0].vm, now);
		last = selector.time_until_available(service, now);
		now += last;
	}
	CHECK(last == seconds{4});
}

TEST_CASE("a fleet of one VM has nobody to forward through", "[forwarding]")
{
	const peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	CHECK_FALSE(selector.choose(service, {}, start));
	CHECK(selector.time_until_available(service, start) == duration{0});
}

TEST_CASE("a VM that reports a service as unreachable is not asked for it", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	const auto peers = make_peers(3, "a", 0);
	selector.set_peers(peers);
	selector.set_unreachable({{service, {}, {peers[0].vm, peers[1].vm}}}, start);
	CHECK(selector.choose(service, {}, start)->vm == peers[2].vm);
	CHECK(selector.choose(service_id{"other"}, {peers[2].vm}, start));
	CHECK_FALSE(selector.choose(service, {peers[2].vm}, start));
	// The reports hold for VMs that become known later, and no longer than they are confirmed.
	selector.set_peers(peers);
	CHECK_FALSE(selector.choose(service, {peers[2].vm}, start + seconds{3}));
	selector.confirm_unreachable(start + seconds{3});
	CHECK_FALSE(selector.choose(service, {peers[2].vm}, start + seconds{6}));
	CHECK(selector.choose(service, {peers[2].vm}, start + seconds{8}));
	selector.set_unreachable({}, start + seconds{6});
	CHECK(selector.choose(service, {peers[2].vm}, start + seconds{6}));
}

TEST_CASE(
	"if a failure domain is reported as cut, its exceptions and other domains are asked", "[forwarding]")
{
	peer_selector selector{failure_domain_id{"a"}, seeded_random{1}};
	auto peers = make_peers(4, "a", 0);
	selector.set_peers(peers);
	selector.set_unreachable({{service, failure_domain_id{"a"}, {peers[3].vm}}}, start);
	CHECK(selector.choose(service, {}, start)->vm == peers[3].vm);
	CHECK_FALSE(selector.choose(service, {peers[3].vm}, start));
	CHECK(selector.time_until_available(service, start) == duration{0});
	peers.pop_back();
	peers.push_back(make_peers(1, "b", 0).front());
	selector.set_peers(peers);
	CHECK(selector.choose(service, {}, start)->domain == failure_domain_id{"b"});
}
