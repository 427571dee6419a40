// SPDX-License-Identifier: MIT
// Properties over drawn cases, the same cases in each run.
#pragma once

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>

namespace gingerdyke::test
{
/// \brief Checks a property for cases that are drawn from a seed.
template <typename Property>
void check_drawn_cases(std::uint64_t seed, int cases, const Property& property)
{
	constexpr int largest_case = 100;
	rc::detail::TestParams params;
	params.seed = seed;
	params.maxSuccess = cases;
	params.maxSize = largest_case;
	const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
	std::ostringstream text;
	rc::detail::printResultMessage(result, text);
	INFO(text.str());
	CHECK(result.template is<rc::detail::SuccessResult>());
}
} // namespace gingerdyke::test
