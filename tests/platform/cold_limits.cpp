// SPDX-License-Identifier: MIT
// The limit for cold replicas in the configuration row.
#include "../support/controlled_vm.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
checked<routing::catalog_ptr> read_catalog_with(json service)
{
	service["name"] = "x";
	const json value{{"version", 1}, {"routes", json::array()}, {"services", json::array({service})}};
	return platform::read_configuration({"op", "config", value.dump(), control::row_version{5}, false});
}
} // namespace

TEST_CASE("a service's limit for cold replicas is decoded, and 0 means no limit", "[platform][slow_start]")
{
	const auto limited = read_catalog_with({{"cold_start_s", 3.0}, {"cold_per_s", 13.0}});
	REQUIRE(limited);
	const auto* service = (*limited)->find_service(service_id{"x"});
	REQUIRE(service->cold);
	CHECK(service->cold->requests_per_s == 13);
	CHECK(service->cold->warmup_time == std::chrono::seconds{3});
	CHECK_FALSE((*read_catalog_with({{"cold_start_s", 0.0}, {"cold_per_s", 0.0}}))
					->find_service(service_id{"x"})
					->cold);
	CHECK_FALSE((*read_catalog_with(json::object()))->find_service(service_id{"x"})->cold);
}
