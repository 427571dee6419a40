// SPDX-License-Identifier: MIT
// Regions in which requests may be served.
#include <catch2/catch.hpp>
#include <gingerdyke/routing/region_map.hpp>

using namespace gingerdyke;
using namespace gingerdyke::routing;

TEST_CASE(
	"a failure domain is allowed if its region is, and an unknown one only if all are", "[routing][regions]")
{
	const region_map regions{
		{{failure_domain_id{"a"}, region_id{"north"}}, {failure_domain_id{"b"}, region_id{"south"}}}};
	const allowed_regions north{region_id{"north"}};
	CHECK(regions.allows(failure_domain_id{"a"}, north));
	CHECK_FALSE(regions.allows(failure_domain_id{"b"}, north));
	CHECK_FALSE(regions.allows(failure_domain_id{"new"}, north));
	CHECK(regions.allows(failure_domain_id{"new"}, {}));
}
