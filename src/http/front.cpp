// SPDX-License-Identifier: MIT
// What callers reach over HTTP.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/answers.hpp>
#include <gingerdyke/http/chat_request.hpp>
#include <gingerdyke/http/chunk_queue.hpp>
#include <gingerdyke/http/front.hpp>
#include <gingerdyke/http/operator_routes.hpp>

namespace gingerdyke::http
{
namespace
{
constexpr std::size_t request_id_bytes = 12;
constexpr std::size_t longest_key = 256;

/// An event of the stream towards the caller.
std::string event_of(const std::string& data)
{
	return "data: " + data + "\n\n";
}

/// The events that end a stream: the held chunks, or an error in their place. An answer that broke off ends
/// without the mark of the end.
std::string ending_of(const request_end& end)
{
	if (const auto* refusal = std::get_if<node::refuse_order>(&end.last_word))
	{
		return event_of(error_body(refusal->status, refusal->facts.reason, refusal->message).dump());
	}
	std::string events;
	for (const auto& data : end.held)
	{
		events += event_of(data);
	}
	return events + event_of("[DONE]");
}

void set_end(httplib::Response& response, const request_id& id, const request_end& end)
{
	std::visit([&](const auto& word) { set_facts(response, id, word.facts); }, end.last_word);
	if (!end.session.empty())
	{
		response.set_header("Gingerdyke-Session", end.session);
	}
	if (const auto* refusal = std::get_if<node::refuse_order>(&end.last_word))
	{
		set_refusal(response, *refusal);
		return;
	}
	if (const auto* replay = std::get_if<node::replay_order>(&end.last_word))
	{
		response.set_header("Gingerdyke-Replayed", replay->recorded.body_kept ? "whole" : "outcome-only");
		response.status = replay->recorded.status;
		response.set_content(replay->recorded.body, replay->recorded.content_type);
		return;
	}
	response.status = end.answer.status;
	response.set_content(end.answer.body, end.answer.content_type);
}

/// The caller may take an unclear request for safe to repeat only where it says so.
bool says_unrepeatable(const httplib::Request& request)
{
	return request.get_header_value("Gingerdyke-Repeatable") == "no";
}
} // namespace

front::front(node::host& node, const node::settings& settings)
	: node_(node), settings_(settings), listener_({settings.connections, settings.body_bytes, 30}),
	  pool_(settings.upstream_silence),
	  rater_(settings.rating_service, [&node](const node::rating_report& rating) { node.post(rating); }),
	  parts_{node, pool_, metrics_, rater_}, streams_(settings.connections)
{
	add_caller_routes();
	add_operator_routes(listener_.server(), node_, settings_, metrics_);
	listener_.server().set_error_handler(
		[](const httplib::Request& /*request*/, httplib::Response& response)
		{
			if (response.body.empty())
			{
				response.set_header("Gingerdyke-Outcome", node::name_of(node::outcome::not_run));
				set_error(response, response.status, "http-error",
					"the request can't be read or names nothing here");
			}
		});
}

front::~front()
{
	streams_.shutdown();
}

int front::bind()
{
	return listener_.bind(settings_.http.host, settings_.http.port);
}

void front::run()
{
	listener_.run();
}

void front::fail_ready()
{
	ready_ = false;
}

void front::refuse_new()
{
	refusing_ = true;
}

void front::stop()
{
	listener_.stop();
}

void front::add_caller_routes()
{
	auto& server = listener_.server();
	server.Post("/v1/chat/completions",
		[this](const auto& request, auto& response) { handle_chat(request, response); });
	server.Get(
		"/v1/models", [this](const auto& request, auto& response) { handle_models(request, response); });
	server.Get("/ready", [this](const auto& /*request*/, auto& response) { handle_ready(response); });
	const auto service = [this](const httplib::Request& request, httplib::Response& response)
	{ handle_service(request, response); };
	constexpr const char* path = R"(/services/([^/]+)(/.*)?)";
	server.Get(path, service);
	server.Post(path, service);
	server.Put(path, service);
	server.Patch(path, service);
	server.Delete(path, service);
}

bool front::refuse_if_closed(httplib::Response& response) const
{
	if (!refusing_)
	{
		return false;
	}
	response.set_header("Retry-After", "1");
	response.set_header("Gingerdyke-Outcome", node::name_of(node::outcome::not_run));
	set_error(response, http_status::unavailable, "stopping",
		"this VM is stopping: ask again, another one will answer");
	return true;
}

node::arrival front::arrival_of(const httplib::Request& request) const
{
	node::arrival result;
	result.id = request_id{"gd-" + random_hex(request_id_bytes)};
	result.key_digest = bearer_digest(request);
	result.wanted_class = class_id{request.get_header_value("Gingerdyke-Class")};
	result.session = request.get_header_value("Gingerdyke-Session");
	result.key = idempotency_key{request.get_header_value("Idempotency-Key")};
	result.declared_unrepeatable = says_unrepeatable(request);
	result.method = request.method;
	return result;
}

void front::handle_chat(const httplib::Request& request, httplib::Response& response)
{
	if (refuse_if_closed(response))
	{
		return;
	}
	auto chat = read_chat_request(request.body);
	if (!chat)
	{
		set_findings(response, http_status::bad_request, "invalid-request", chat.error());
		return;
	}
	running_request running;
	running.arrival = arrival_of(request);
	if (running.arrival.key.str().size() > longest_key)
	{
		set_error(response, http_status::bad_request, "invalid-request",
			"the Idempotency-Key is longer than 256 bytes");
		return;
	}
	running.arrival.kind = node::request_kind::chat;
	running.arrival.target = chat->model;
	running.arrival.streamed = chat->streamed;
	running.arrival.prefix = chat->prefix;
	running.arrival.fingerprint = sha256_hex(request.body);
	running.unrepeatable = running.arrival.declared_unrepeatable || !running.arrival.key.empty();
	running.chat_body = std::move(chat->body);
	if (chat->streamed)
	{
		answer_streamed(std::move(running), response);
	}
	else
	{
		answer_whole(std::move(running), response);
	}
}

void front::handle_service(const httplib::Request& request, httplib::Response& response)
{
	if (refuse_if_closed(response))
	{
		return;
	}
	running_request running;
	running.arrival = arrival_of(request);
	running.arrival.kind = node::request_kind::service;
	running.arrival.target = request.matches[1];
	running.arrival.path = request.matches[2].matched ? request.matches[2].str() : "/";
	const auto content = request.method + " " + request.target + "\n" + request.body;
	running.arrival.fingerprint = sha256_hex(content);
	const auto prefix = std::string{"/services/"}.size() + running.arrival.target.size();
	const auto path = request.target.size() > prefix ? request.target.substr(prefix) : "/";
	running.service = {running.arrival.id, request.method, path, request.get_header_value("Content-Type"),
		request.body, true};
	// A kept connection may turn out closed after the call was sent; only calls that are safe to repeat use
	// one.
	const auto table = node_.table();
	const auto* row = table ? table->service(service_id{running.arrival.target}) : nullptr;
	const auto ruled = [&](const auto& rule)
	{ return rule.method == request.method && running.arrival.path.starts_with(rule.path_prefix); };
	const bool unrepeatable = row == nullptr || running.arrival.declared_unrepeatable ||
							  !running.arrival.key.empty() ||
							  std::any_of(row->not_repeatable.begin(), row->not_repeatable.end(), ruled);
	running.service.unrepeatable = unrepeatable;
	answer_whole(std::move(running), response);
}

void front::answer_whole(running_request request, httplib::Response& response)
{
	const auto id = request.arrival.id;
	request_runner runner{parts_};
	set_end(response, id, runner.run(std::move(request), {}));
}

void front::answer_streamed(running_request request, httplib::Response& response)
{
	const auto id = request.arrival.id;
	auto queue = std::make_shared<chunk_queue>();
	streams_.enqueue(
		[this, queue, request = std::move(request)]() mutable
		{
			stream_hooks hooks;
			hooks.started = [queue](const node::dispatch_order& order) { queue->put(stream_started{order}); };
			hooks.pass = [queue](const std::string& data) { return queue->put(data); };
			request_runner runner{parts_};
			queue->put(runner.run(std::move(request), hooks));
		});
	auto first = queue->take();
	if (auto* end = std::get_if<request_end>(&first))
	{
		const bool has_chunks = std::holds_alternative<node::finish_order>(end->last_word) &&
								end->answer.status == http_status::ok;
		if (!has_chunks)
		{
			if (end->answer.body.empty() && !end->held.empty())
			{
				end->answer = {end->answer.status, "application/json", end->held.front()};
			}
			set_end(response, id, *end);
			return;
		}
		std::visit([&](const auto& word) { set_facts(response, id, word.facts); }, end->last_word);
		response.set_header("Gingerdyke-Session", end->session);
		response.set_content(ending_of(*end), "text/event-stream");
		return;
	}
	const auto& order = std::get<stream_started>(first).order;
	set_facts(response, id, order.facts);
	response.set_header("Gingerdyke-Session", order.session);
	response.set_header("Cache-Control", "no-cache");
	const auto write = [queue](std::size_t /*offset*/, httplib::DataSink& sink)
	{
		const auto item = queue->take();
		const auto* end = std::get_if<request_end>(&item);
		const auto text = end != nullptr ? ending_of(*end) : event_of(std::get<std::string>(item));
		if (!sink.write(text.data(), text.size()))
		{
			return false;
		}
		if (end != nullptr)
		{
			sink.done();
		}
		return true;
	};
	response.set_chunked_content_provider(
		"text/event-stream", write, [queue](bool /*success*/) { queue->close(); });
}

void front::handle_models(const httplib::Request& request, httplib::Response& response)
{
	const auto table = node_.table();
	if (!table)
	{
		set_error(response, http_status::unavailable, "no-table", "this VM has not read the table yet");
		return;
	}
	const auto* workspace = table->workspace_by_key(bearer_digest(request));
	if (workspace == nullptr)
	{
		set_error(response, http_status::unauthorized, "invalid-key", "no workspace has this API key");
		return;
	}
	auto list = json::array();
	const auto add = [&](const std::string& id) {
		list.push_back({{"id", id}, {"object", "model"}, {"created", 0}, {"owned_by", "gingerdyke"}});
	};
	std::string last_model;
	for (const auto& [ref, version] : table->versions())
	{
		const bool usable =
			table->allows(*workspace, ref) && version.state != table::version_state::withdrawn;
		if (usable && ref.model.str() != last_model)
		{
			last_model = ref.model.str();
			add(last_model);
		}
		if (usable)
		{
			add(ref.str());
		}
	}
	for (const auto& [id, cascade] : table->cascades())
	{
		add(id.str());
	}
	set_json(response, http_status::ok, {{"object", "list"}, {"data", list}});
}

void front::handle_ready(httplib::Response& response)
{
	const bool ready = ready_ && node_.table() != nullptr;
	set_json(response, ready ? http_status::ok : http_status::unavailable, {{"ready", ready}});
}
} // namespace gingerdyke::http
