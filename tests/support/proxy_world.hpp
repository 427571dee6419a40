// SPDX-License-Identifier: MIT
// A gateway between scripted callers and scripted replicas, on one event loop.
#pragma once

#include "event_loop.hpp"
#include "scripted_peer.hpp"
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/proxy/listener.hpp>

namespace gingerdyke::test
{
/// \brief Header names of the tests' deployment: no platform's.
[[nodiscard]] inline proxy::header_names test_names()
{
	proxy::header_names names;
	names.request_id = "Request-Id";
	names.deadline_ms = "Deadline-Ms";
	names.signature = "Signature";
	names.workspace = "Workspace";
	names.target_replica = "Target-Replica";
	names.not_run = "Not-Run";
	names.replica_id = "Replica-Id";
	names.model = "Model";
	names.token_counts = "Tokens";
	names.length_hint = "Length-Hint";
	names.prompt_segments = "Prompt-Parts";
	names.priority = "Priority";
	names.confidence = "Confidence";
	names.load_limit = "Load-Limit";
	names.rejection_limit = "Rejection-Limit";
	names.draining_flag = "Leaving";
	names.session = "Session";
	names.last_event_id = "Last-Event-Id";
	names.key_scheme = "Token";
	names.reserved = {names.workspace, names.target_replica, names.priority, "Hold"};
	return names;
}

/// \brief Gateway, listener and loop of one test.
class proxy_world
{
  public:
	explicit proxy_world(std::optional<duration> revocation_time = {},
		std::optional<duration> change_limit = {}, bool sheds_overload = false,
		limits::memory_tuning memory = {}, proxy::gateway_tuning tuning = {})
		: log_(proxy::steady_now()),
		  gateway_(context, test_names(), bounds(revocation_time, change_limit, sheds_overload, memory),
			  failure_domain_id{"a"}, seeded_random{7}, log_, tuning),
		  callers_(context, host())
	{
		REQUIRE_FALSE(callers_.listen({"127.0.0.1", 0}));
		data.version = routing::config_version{1};
		data.services.push_back({service_id{"plain"}, 0, false, {}, {}});
		data.services.push_back({service_id{"engine"}, 0, true, {}, {}});
		data.routes.push_back(route("unsafe", "/unsafe/", "plain"));
		data.routes.push_back(route("safe", "/safe/", "plain"));
		data.routes.back().repeatable = true;
		data.routes.back().attempts = 2;
		data.routes.push_back(route("stream", "/stream/", "engine"));
		data.routes.back().streams = true;
		data.routes.back().resumable = true;
		data.routes.back().attempts = 3;
		data.routes.back().models = {model_id{"small"}, model_id{"large"}};
		data.limits.header_bytes = 4096;
		data.limits.body_bytes = 10000;
	}

	/// \brief Puts the configuration in force and makes the replicas known.
	void start(const std::vector<std::pair<std::string, const scripted_replica*>>& replicas)
	{
		std::vector<std::pair<std::string, routing::address>> addresses;
		addresses.reserve(replicas.size());
		for (const auto& [service, one] : replicas)
		{
			addresses.emplace_back(service, one->at());
		}
		start_at(addresses);
	}

	/// \brief Starts with replicas at some addresses, by service.
	void start_at(const std::vector<std::pair<std::string, routing::address>>& replicas)
	{
		gateway_.apply_catalog(std::make_shared<const routing::catalog>(data));
		gateway_.confirm_catalog(proxy::steady_now());
		std::vector<routing::replica> entries;
		for (const auto& [service, at] : replicas)
		{
			routing::replica entry;
			entry.id = replica_id{"r" + std::to_string(entries.size())};
			entry.service = service_id{service};
			entry.at = at;
			entry.version = "v1";
			entries.push_back(entry);
		}
		gateway_.set_replicas(std::move(entries), proxy::steady_now());
	}

	[[nodiscard]] proxy::gateway& gateway() noexcept { return gateway_; }
	[[nodiscard]] proxy::request_log& log() noexcept { return log_; }
	[[nodiscard]] std::uint16_t port() const { return callers_.port(); }

	/// \brief Listens for requests that other VMs forward.
	/// \returns The port.
	[[nodiscard]] std::uint16_t listen_for_vms()
	{
		auto made = std::make_shared<proxy::caller_connection_callbacks>(*host());
		made->handle = [this](proxy::request what, std::shared_ptr<proxy::response_sink> to)
		{ return gateway_.handle_forwarded(std::move(what), std::move(to)); };
		vms_.emplace(context, std::move(made));
		REQUIRE_FALSE(vms_->listen({"127.0.0.1", 0}));
		return vms_->port();
	}

	void run_until(const std::function<bool()>& holds) { test::run_until(context, holds); }

	/// \brief Sends a request and waits for its answer.
	[[nodiscard]] std::string ask(const std::string& request)
	{
		scripted_caller caller{context, port()};
		caller.send(request);
		run_until([&] { return caller.has_answer() || caller.ended(); });
		return caller.received();
	}

	proxy::asio::io_context context{1};
	routing::catalog_data data;

  private:
	static routing::route route(const char* id, const char* prefix, const char* service)
	{
		routing::route made;
		made.id = routing::route_id{id};
		made.host = "example";
		made.path_prefix = prefix;
		made.services.push_back({service_id{service}, 1});
		made.time_limit = std::chrono::seconds{30};
		made.latency_objective = std::chrono::seconds{20};
		return made;
	}

	static proxy::fleet_bounds bounds(std::optional<duration> revocation_time,
		std::optional<duration> change_limit, bool sheds_overload, limits::memory_tuning memory)
	{
		proxy::fleet_bounds made;
		made.attempts.ratio = 1;
		made.attempts.slack = 500;
		made.revocation_time = revocation_time;
		made.change_limit = change_limit;
		made.sheds_overload = sheds_overload;
		made.memory = memory;
		made.exposure_slack = 30;
		return made;
	}

	std::shared_ptr<proxy::caller_connection_callbacks> host()
	{
		auto made = std::make_shared<proxy::caller_connection_callbacks>();
		made->handle = [this](proxy::request what, std::shared_ptr<proxy::response_sink> to)
		{ return gateway_.handle(std::move(what), std::move(to)); };
		made->limits = [this] { return data.limits; };
		made->stopping = [] { return false; };
		made->memory = gateway_.memory_ptr();
		made->request_id_field = gateway_.names().request_id;
		return made;
	}

	proxy::request_log log_;
	proxy::gateway gateway_;
	proxy::listener callers_;
	std::optional<proxy::listener> vms_;
};

/// \brief A request with an id.
[[nodiscard]] inline std::string request_to(const std::string& method, const std::string& path,
	const std::string& body = {}, const std::string& more = {})
{
	auto text = method + " " + path + " HTTP/1.1\r\nHost: example\r\nRequest-Id: q1\r\n" + more;
	if (method != "GET")
	{
		text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
	}
	return text + "\r\n" + body;
}

/// \brief An answer to `request_to` with a length.
[[nodiscard]] inline std::string answer_with(
	const std::string& status, const std::string& body, const std::string& more = {})
{
	return "HTTP/1.1 " + status + "\r\nRequest-Id: q1\r\nSignature: s\r\n" + more +
		   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// \brief Head of a stream in chunks.
[[nodiscard]] inline std::string stream_head(const std::string& more = {})
{
	return "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" + more +
		   "Transfer-Encoding: chunked\r\n\r\n";
}

/// \brief One event in a chunk of its own.
[[nodiscard]] inline std::string event_chunk(int id)
{
	return proxy::write_chunk("id: " + std::to_string(id) + "\ndata: x\n\n");
}
} // namespace gingerdyke::test
