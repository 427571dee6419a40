// SPDX-License-Identifier: MIT
// Guards against reading past a route's models where a forwarding VM names one of an older configuration.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// The request that the replica of a VM gets, where another VM forwards it with a model.
std::string request_forwarded_with(std::size_t model_index)
{
	proxy_world world;
	scripted_replica replica{world.context,
		[](const std::string&) { return scripted_answer{stream_head() + event_chunk(1) + "0\r\n\r\n"}; }};
	world.start({{"engine", &replica}});
	const proxy::forwarding_terms terms{vm_id{"other"}, 1, 3, {model_index, true}, 1};
	scripted_caller other_vm{world.context, world.listen_for_vms()};
	other_vm.send(request_to("POST", "/stream/a", "p",
		"Model: *\r\n" + std::string{proxy::forwarding_header} + ": " + proxy::write_terms(terms) + "\r\n"));
	world.run_until([&] { return other_vm.received().ends_with("0\r\n\r\n") || other_vm.ended(); });
	REQUIRE(replica.requests().size() == 1);
	return replica.requests().front();
}
} // namespace

TEST_CASE("a forwarded request goes to the model that the forwarding VM names", "[forwarding]")
{
	CHECK(request_forwarded_with(0).find("Model: small\r\n") != std::string::npos);
	CHECK(request_forwarded_with(1).find("Model: large\r\n") != std::string::npos);
}

TEST_CASE("a forwarded request for a model beyond the route's goes to the largest one", "[forwarding]")
{
	for (const std::size_t index : {std::size_t{2}, std::size_t{1000}, ~std::size_t{0}})
	{
		CAPTURE(index);
		CHECK(request_forwarded_with(index).find("Model: large\r\n") != std::string::npos);
	}
}
