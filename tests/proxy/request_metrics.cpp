// SPDX-License-Identifier: MIT
// Counters and histograms of requests.
#include <catch2/catch.hpp>
#include <gingerdyke/proxy/request_log.hpp>
#include <sstream>

using namespace gingerdyke;
using namespace gingerdyke::proxy;
using std::chrono::milliseconds;

namespace
{
request_record make_record(request_outcome outcome, const char* reason = "")
{
	request_record record;
	record.route = "r\"1";
	record.workspace = "w1";
	record.outcome = outcome;
	record.reason = reason;
	record.elapsed = milliseconds{200};
	record.first_byte = milliseconds{20};
	return record;
}

std::string text_of(const request_metrics& metrics)
{
	std::ostringstream out;
	metrics.write(out);
	return out.str();
}

bool contains(const std::string& text, const std::string& part)
{
	return text.find(part) != std::string::npos;
}
} // namespace

TEST_CASE(
	"requests are counted by outcome and reason, with latency histograms by workspace and route", "[metrics]")
{
	request_metrics metrics;
	metrics.record_request(make_record(request_outcome::served));
	metrics.record_request(make_record(request_outcome::served));
	metrics.record_request(make_record(request_outcome::refused, "no replica"));
	const auto text = text_of(metrics);
	CHECK(contains(text, "gingerdyke_requests_total{outcome=\"served\"} 2\n"));
	CHECK(contains(text, "gingerdyke_request_failures_total{reason=\"no replica\"} 1\n"));
	CHECK(contains(text, "gingerdyke_workspace_request_seconds_count{workspace=\"w1\"} 2\n"));
	CHECK(contains(text, "gingerdyke_route_first_byte_seconds_sum{route=\"r\\\"1\"} 0.04\n"));
	CHECK(contains(text, "# TYPE gingerdyke_route_request_seconds histogram\n"));
	CHECK(contains(text, "# HELP gingerdyke_route_request_seconds "));
}

TEST_CASE("without requests, histograms have headers but no values", "[metrics]")
{
	CHECK_FALSE(contains(text_of(request_metrics{}), "_count"));
}
