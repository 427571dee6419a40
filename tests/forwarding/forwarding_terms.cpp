// SPDX-License-Identifier: MIT
// The headers of forwarded requests are read back as written, and malformed ones are rejected.
#include <catch2/catch.hpp>
#include <gingerdyke/proxy/forwarding_terms.hpp>

using namespace gingerdyke;
using namespace gingerdyke::proxy;

TEST_CASE("terms of a forwarded request are read back as written", "[forwarding]")
{
	const forwarding_terms terms{vm_id{"vm;1"}, 1, 3, {2, true}, 56};
	const auto read = read_terms(write_terms(terms));
	REQUIRE(read);
	CHECK(read->origin == terms.origin);
	CHECK(read->attempts_made == 1);
	CHECK(read->max_attempts == 3);
	CHECK(read->model_step.index == 2);
	CHECK(read->model_step.may_escalate);
	CHECK(read->config_version == 56);
}

TEST_CASE("malformed terms of a forwarded request are rejected", "[forwarding]")
{
	for (const auto* value : {"", "1;3;0;0;5", "1;3;0;0;5;", "x;3;0;0;5;vm", "3;3;0;0;5;vm", "1; 3;0;0;5;vm",
			 "-1;3;0;0;5;vm", "1;3;0;0;5x;vm"})
	{
		CHECK_FALSE(read_terms(value));
	}
}

TEST_CASE("results of a forwarded request are read back as written", "[forwarding]")
{
	for (const auto outcome : {forwarding_outcome::answered, forwarding_outcome::refused,
			 forwarding_outcome::unavailable, forwarding_outcome::failed})
	{
		const auto read = read_result(write_result({outcome, 2, replica_id{"i-1"}}));
		REQUIRE(read);
		CHECK(read->outcome == outcome);
		CHECK(read->attempts_made == 2);
		CHECK(read->replica == replica_id{"i-1"});
	}
	CHECK_FALSE(read_result("done;1;i-1"));
	CHECK_FALSE(read_result("answered"));
	CHECK_FALSE(read_result("answered;x;i-1"));
}
