// SPDX-License-Identifier: MIT
// Replicas that answer an upload without a length while it is still being written. Guards against a part of
// an answer that is passed on as complete, as the write of the upload takes the error of the reset and the
// read that follows sees an orderly end.
#include "../support/captured_log.hpp"
#include "../support/own_failure.hpp"
#include "../support/upload_server.hpp"

using namespace gingerdyke;
using namespace gingerdyke::test;

namespace
{
/// More than the buffers of a connection take.
constexpr std::size_t upload_bytes = std::size_t{16} << 20U;

std::string head_of(const std::string& status, const std::string& more = {})
{
	return "HTTP/1.1 " + status + "\r\nRequest-Id: q1\r\nSignature: s\r\n" + more + "\r\n";
}

const std::string stream_type = "Content-Type: text/event-stream\r\n";

std::string event(int id)
{
	return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// A caller whose upload is answered early by all replicas of a service.
struct uploading_caller
{
	uploading_caller(const upload_server::script& answer, upload_ending ending)
		: replica(world.context, answer, ending, upload_bytes)
	{
		world.data.limits.body_bytes = upload_bytes;
	}

	uploading_caller(const std::string& answer, upload_ending ending)
		: uploading_caller([answer](const std::string&) { return answer; }, ending)
	{
	}

	/// \param sound_answer What a second replica answers to whole requests; empty: there is none.
	/// \returns What the caller received.
	std::string upload_to(const std::string& path, const std::string& sound_answer = {})
	{
		const auto service = path.starts_with("/stream/") ? "engine" : "plain";
		sound.emplace(
			world.context, [sound_answer](const std::string&) { return scripted_answer{sound_answer}; });
		std::vector<std::pair<std::string, routing::address>> replicas{{service, replica.at()}};
		if (!sound_answer.empty())
		{
			// With the world's random numbers the first entry of "engine" and the last of "plain" is chosen.
			const bool is_last = service == std::string{"engine"};
			replicas.insert(is_last ? replicas.end() : replicas.begin(), {service, sound->at()});
		}
		world.start_at(replicas);
		return upload(world.port(), path);
	}

	/// \param more Further header lines of the request.
	std::string upload(std::uint16_t port, const std::string& path, const std::string& more = {})
	{
		caller.emplace(world.context, port);
		caller->send_while_running(request_to("POST", path, std::string(upload_bytes, 'u'), more));
		world.run_until([this] { return is_answered(); });
		REQUIRE(replica.answered() > 0);
		return caller->received();
	}

	[[nodiscard]] bool is_answered() const
	{
		const bool is_stream = contains(caller->received(), "Transfer-Encoding: chunked");
		const bool is_whole =
			is_stream ? caller->received().ends_with("\r\n0\r\n\r\n") : caller->has_answer();
		return is_whole || caller->ended();
	}

	static limits::memory_tuning memory()
	{
		limits::memory_tuning tuning;
		tuning.limit_bytes = 16 * upload_bytes;
		return tuning;
	}

	proxy_world world{{}, {}, false, memory()};
	upload_server replica;
	std::optional<scripted_replica> sound;
	std::optional<scripted_caller> caller;
};
} // namespace

TEST_CASE("an answer that is reset during the upload is not passed on as complete", "[exchange][upload]")
{
	const auto status = GENERATE(as<std::string>{}, "200 OK", "404 Not Found", "500 Internal Server Error");
	const auto body = GENERATE(as<std::string>{}, "part", "");
	const auto ending = GENERATE(upload_ending::reset, upload_ending::close_unread);
	CAPTURE(status, body, static_cast<int>(ending));
	uploading_caller world{head_of(status) + body, ending};
	check_is_own_failure(world.upload_to("/unsafe/a"), "part");
}

TEST_CASE("an answer that is reset during the upload is logged as cut", "[exchange][upload]")
{
	std::string lines;
	{
		const captured_log log;
		uploading_caller world{head_of("200 OK") + "part", upload_ending::reset};
		static_cast<void>(world.upload_to("/unsafe/a"));
		lines = log.text();
	}
	CHECK(contains(lines, proxy::name_of(proxy::upstream_fault::truncated_response)));
}

TEST_CASE("an answer by HTTP/1.0 that is reset during the upload is not passed on as complete",
	"[exchange][upload]")
{
	uploading_caller world{
		"HTTP/1.0 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\n\r\npart", upload_ending::reset};
	check_is_own_failure(world.upload_to("/unsafe/a"), "part");
}

TEST_CASE("a repeatable upload whose answer is reset goes on elsewhere", "[exchange][upload]")
{
	uploading_caller world{head_of("200 OK") + "part", upload_ending::reset};
	const auto response = world.upload_to("/safe/a", answer_with("200 OK", "well"));
	CHECK(response.starts_with("HTTP/1.1 200 "));
	CHECK(response.ends_with("\r\n\r\nwell"));
}

TEST_CASE("an answer that ends in order is passed on whole while the upload is read", "[exchange][upload]")
{
	const auto ending = GENERATE(upload_ending::shut_down_and_read, upload_ending::read_and_close);
	CAPTURE(static_cast<int>(ending));
	uploading_caller world{head_of("200 OK") + "whole", ending};
	const auto response = world.upload_to("/unsafe/a");
	CHECK(response.starts_with("HTTP/1.1 200 "));
	CHECK(contains(response, "Content-Length: 5\r\n"));
	CHECK(response.ends_with("\r\n\r\nwhole"));
}

TEST_CASE("a stream without chunks that is reset during the upload is broken off", "[exchange][upload]")
{
	uploading_caller world{head_of("200 OK", stream_type) + event(1), upload_ending::reset};
	world.world.data.routes.back().resumable = false;
	world.world.data.routes.back().attempts = 1;
	const auto response = world.upload_to("/stream/a");
	CAPTURE(response);
	CHECK(world.caller->ended());
	CHECK_FALSE(response.ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream without chunks that is reset during the upload is resumed", "[exchange][upload]")
{
	const auto answer = [](const std::string& request)
	{
		const bool is_resumed = contains(request, "Last-Event-Id: 1\r\n");
		return is_resumed ? head_of("200 OK", stream_type + "Transfer-Encoding: chunked\r\n") +
								event_chunk(2) + "0\r\n\r\n"
						  : head_of("200 OK", stream_type) + event(1);
	};
	uploading_caller world{answer, upload_ending::reset};
	const auto response = world.upload_to("/stream/a", stream_head() + event_chunk(2) + "0\r\n\r\n");
	CAPTURE(response);
	CHECK(contains(response, event(1)));
	CHECK(contains(response, event(2)));
	CHECK(response.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("an answer that is reset during the upload is not passed on by way of another VM",
	"[exchange][upload][forwarding]")
{
	SECTION("seen by the VM that took the request")
	{
		const auto result = forwarding_result_line(proxy::forwarding_outcome::answered);
		uploading_caller world{head_of("200 OK", result) + "part", upload_ending::reset};
		start_without_path(world.world, "plain", world.replica.at());
		check_is_own_failure(world.upload(world.world.port(), "/unsafe/a"), "part");
	}
	SECTION("seen by the VM that forwards it")
	{
		uploading_caller world{head_of("200 OK") + "part", upload_ending::reset};
		world.world.start_at({{"plain", world.replica.at()}});
		const auto response =
			world.upload(world.world.listen_for_vms(), "/unsafe/a", forwarding_terms_line());
		check_is_own_failure(response, "part");
		const proxy::forwarding_result failed{proxy::forwarding_outcome::failed, 1, replica_id{"r0"}};
		CHECK(contains(response, proxy::write_result(failed)));
	}
}

TEST_CASE("a response that is reset during the upload while it is held is not used", "[held][upload]")
{
	const auto answer = [](const std::string& request)
	{
		const bool is_small = contains(request, "Model: small");
		return is_small ? head_of("200 OK", stream_type + "Confidence: 12\r\n") + event(1)
						: answer_with("503 Full", "", "Not-Run: 1\r\n");
	};
	uploading_caller world{answer, upload_ending::reset};
	world.world.start_at({{"engine", world.replica.at()}});
	const auto response = world.upload(world.world.port(), "/stream/a", "Model: *\r\n");
	CAPTURE(response);
	CHECK(response.starts_with("HTTP/1.1 502 "));
	CHECK_FALSE(contains(response, event(1)));
}
