// SPDX-License-Identifier: MIT
// Admission in the data path: what callers and replicas see while a service is short of room.
#include "../support/captured_log.hpp"
#include "../support/crashing_deployment.hpp"
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;

namespace
{
/// A VM with one replica that rejects all but one of several requests while it is full.
struct full_replica_world
{
	explicit full_replica_world(bool sheds = true, std::string rejection = "503 Full")
		: world({}, {}, sheds),
		  replica(world.context,
			  [this, rejection = std::move(rejection)](const std::string&) -> scripted_answer
			  {
				  constexpr int answered_of = 3;
				  if (is_full && ++asked % answered_of != 0)
				  {
					  return {answer_with(rejection, "", "Not-Run: 1\r\n")};
				  }
				  return {answer_with("200 OK", "x")};
			  })
	{
		world.data.routes.push_back(world.data.routes.front());
		auto& urgent = world.data.routes.back();
		urgent.id = routing::route_id{"urgent"};
		urgent.path_prefix = "/urgent/";
		urgent.priority = 0;
		world.data.routes.front().priority = 3;
		world.start({{"plain", &replica}});
	}

	[[nodiscard]] std::string ask(const std::string& path = "/unsafe/a")
	{
		return world.ask(request_to("POST", path, "p"));
	}

	/// Asks until a request is refused that did not reach the replica.
	[[nodiscard]] std::string first_refused()
	{
		for (int i = 0; i < 80; ++i)
		{
			const auto before = replica.requests().size();
			auto response = ask();
			if (replica.requests().size() == before)
			{
				return response;
			}
			wait(milliseconds{10});
		}
		return {};
	}

	void wait(duration span)
	{
		const auto end = proxy::steady_now() + span;
		world.run_until([&] { return proxy::steady_now() >= end; });
	}

	bool is_full = true;
	int asked = 0;
	proxy_world world;
	scripted_replica replica;
};
} // namespace

TEST_CASE("a VM refuses at once what a full service has no room for", "[admission][exchange]")
{
	full_replica_world full;
	std::string refused;
	std::string logged;
	{
		const captured_log log;
		refused = full.first_refused();
		logged = log.text();
	}
	CHECK(refused.starts_with("HTTP/1.1 503 "));
	CHECK(refused.find("Retry-After: ") != std::string::npos);
	CHECK(logged.find("service short of room") != std::string::npos);
	CHECK(logged.find("\"priority\":1,") != std::string::npos);
	const auto metrics = metrics_of(full.world);
	CHECK(metrics.find("gingerdyke_service_room{service=\"plain\"}") != std::string::npos);
	CHECK(metrics.find("gingerdyke_requests_shed_total{service=\"plain\"} 1\n") != std::string::npos);
}

TEST_CASE("while room is short the urgent come first, and when it is back nobody is refused",
	"[admission][exchange]")
{
	full_replica_world full;
	REQUIRE_FALSE(full.first_refused().empty());
	std::size_t urgent_reached = 0;
	std::size_t patient_reached = 0;
	constexpr std::size_t rounds = 60;
	for (std::size_t i = 0; i < rounds; ++i)
	{
		auto before = full.replica.requests().size();
		static_cast<void>(full.ask("/urgent/a"));
		urgent_reached += full.replica.requests().size() - before;
		before = full.replica.requests().size();
		static_cast<void>(full.ask());
		patient_reached += full.replica.requests().size() - before;
		full.wait(milliseconds{10});
	}
	CHECK(urgent_reached > 2 * patient_reached);

	full.is_full = false;
	const auto has_room = [&]
	{
		full.wait(milliseconds{20});
		static_cast<void>(full.ask());
		return metrics_of(full.world).find("gingerdyke_service_room{") == std::string::npos;
	};
	full.world.run_until(has_room);
	for (std::size_t i = 0; i < rounds; ++i)
	{
		CHECK(full.ask().starts_with("HTTP/1.1 200 "));
	}
}

TEST_CASE("without the feature each request is sent to a replica", "[admission][exchange]")
{
	full_replica_world full{false};
	CHECK(full.first_refused().empty());
}

// A replica that leaves, or finds fault with requests, is not full: refusals would cost callers their
// answers.
TEST_CASE("a replica that leaves is no shortage", "[admission][exchange]")
{
	full_replica_world staying;
	staying.is_full = false;
	scripted_replica leaving{staying.world.context, [](const std::string&)
		{ return scripted_answer{answer_with("503 Leaving", "", "Not-Run: 1\r\nLeaving: 1\r\n")}; }};
	staying.world.start({{"plain", &staying.replica}, {"plain", &leaving}});
	for (int i = 0; i < 30; ++i)
	{
		static_cast<void>(staying.ask());
	}
	staying.wait(milliseconds{300});
	static_cast<void>(staying.ask());
	REQUIRE_FALSE(leaving.requests().empty());
	CHECK(metrics_of(staying.world).find("gingerdyke_service_room{") == std::string::npos);
}

TEST_CASE("requests that a replica finds invalid are no shortage", "[admission][exchange]")
{
	full_replica_world full{true, "400 Bad Request"};
	CHECK(full.first_refused().empty());
}

TEST_CASE("what hung before a path was lost is not reported as silence of replicas", "[silence][exchange]")
{
	proxy_world world;
	const auto respond = [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; };
	scripted_replica first{world.context, respond};
	scripted_replica second{world.context, respond};
	scripted_replica third{world.context, respond};
	world.start({{"plain", &first}, {"plain", &second}, {"plain", &third}});
	auto& gateway = world.gateway();
	const auto now = proxy::steady_now();
	const auto all = gateway.replicas().of_service(service_id{"plain"});
	REQUIRE(all.size() == 3);
	gateway.record_path_failure(*all[0], routing::path_failure::unanswered, now);
	CHECK(gateway.silences().own(now).size() == 1);
	gateway.record_path_failure(*all[1], routing::path_failure::unanswered, now);
	REQUIRE_FALSE(gateway.paths().accepts_connections(*all[0]));
	gateway.paths().record_connected(*all[2], now);
	REQUIRE(gateway.paths().accepts_connections(*all[0]));
	CHECK(gateway.silences().own(now).empty());
}
