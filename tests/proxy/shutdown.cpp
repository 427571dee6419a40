// SPDX-License-Identifier: MIT
// Requests that arrive while a VM shuts down: taken only if they end before the process does.
#include "../support/proxy_world.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;

namespace
{
constexpr duration shutdown_length = milliseconds{7700};

/// A VM some time after the start of its shutdown, with a replica that answers at once.
struct stopping_vm
{
	explicit stopping_vm(duration since_start)
	{
		world.start({{"plain", &replica}, {"engine", &engine}});
		const auto started_at = proxy::steady_now() - since_start;
		world.gateway().record_shutdown({started_at, started_at + shutdown_length});
	}

	/// \param deadline Time budget that the caller states; 30 s is the routes' own.
	[[nodiscard]] std::string ask(
		const std::string& method, const std::string& path, duration deadline = std::chrono::seconds{30})
	{
		const auto ms = std::chrono::duration_cast<milliseconds>(deadline).count();
		const auto body = method == "GET" ? "" : "p";
		return world.ask(
			request_to(method, path, body, "Model: *\r\nDeadline-Ms: " + std::to_string(ms) + "\r\n"));
	}

	static scripted_answer answer(const std::string&) { return {answer_with("200 OK", "x")}; }

	static scripted_answer stream(const std::string&)
	{
		return {stream_head() + event_chunk(1) + "0\r\n\r\n"};
	}

	proxy_world world;
	scripted_replica replica{world.context, answer};
	scripted_replica engine{world.context, stream};
};

void check_refused(stopping_vm& vm, const std::string& method, const std::string& path, duration deadline)
{
	const auto response = vm.ask(method, path, deadline);
	CHECK(response.starts_with("HTTP/1.1 503 "));
	CHECK(response.find("Retry-After: ") != std::string::npos);
	CHECK(vm.replica.requests().empty());
	CHECK(vm.engine.requests().empty());
}
} // namespace

// Requests were sent to a replica with more time than the process had left; it ran them, and their
// connections closed without an answer.
TEST_CASE("a request that may outlast the shutdown is refused as not run", "[shutdown]")
{
	const auto [method, path] = GENERATE(
		table<std::string, std::string>({{"POST", "/unsafe/a"}, {"GET", "/safe/a"}, {"POST", "/stream/a"}}));
	CAPTURE(path);
	stopping_vm vm{milliseconds{4600}};
	check_refused(vm, method, path, milliseconds{4000});
}

TEST_CASE("a request that can't be repeated is refused from the start of a shutdown if it may outlast it",
	"[shutdown]")
{
	stopping_vm vm{milliseconds{100}};
	check_refused(vm, "POST", "/unsafe/a", milliseconds{8000});
}

TEST_CASE("a request that ends before the process does is served at any time of a shutdown", "[shutdown]")
{
	const auto since_start = GENERATE(milliseconds{100}, milliseconds{4600}, milliseconds{6200});
	CAPTURE(to_milliseconds(since_start));
	stopping_vm vm{since_start};
	CHECK(vm.ask("POST", "/unsafe/a", milliseconds{1000}).starts_with("HTTP/1.1 200 "));
	CHECK(vm.ask("GET", "/safe/a", milliseconds{1000}).starts_with("HTTP/1.1 200 "));
}

// Callers are sent to the VM until its failed readiness has been noticed.
TEST_CASE(
	"requests that can be repeated are served early in a shutdown whatever their deadline", "[shutdown]")
{
	stopping_vm vm{milliseconds{2000}};
	CHECK(vm.ask("GET", "/safe/a").starts_with("HTTP/1.1 200 "));
	CHECK(vm.ask("POST", "/stream/a").starts_with("HTTP/1.1 200 "));
}
