// SPDX-License-Identifier: MIT
// Stand-ins of upstreams: a model engine and a plain service. Both remember what they ran.
#include "faults.hpp"
#include "roles.hpp"
#include <atomic>
#include <fstream>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/base/ids.hpp>
#include <map>
#include <set>
#include <sstream>

namespace gingerdyke::standin
{
namespace
{
constexpr std::uint64_t marks = 100'000;

std::set<std::string> split(const std::string& text)
{
	std::set<std::string> parts;
	std::istringstream in{text};
	for (std::string part; std::getline(in, part, ',');)
	{
		parts.insert(part);
	}
	return parts;
}

/// How often each request, and each call by its content, was begun.
struct run_counts
{
	std::map<std::string, unsigned> by_request;
	std::map<std::string, unsigned> by_call;
};

/// One answer of an engine: each token carries a mark of its prompt, so that a caller can tell its own.
struct engine_answer
{
	std::string id;
	std::string version;
	std::string mark;
	std::uint64_t tokens{};

	[[nodiscard]] std::string token(std::uint64_t i) const { return mark + ":" + std::to_string(i) + " "; }

	[[nodiscard]] json usage() const
	{
		return {{"prompt_tokens", 1}, {"completion_tokens", tokens}, {"total_tokens", tokens + 1}};
	}

	[[nodiscard]] json chunk(std::uint64_t offset) const
	{
		json chunk{{"id", id}, {"object", "chat.completion.chunk"}, {"created", 0}, {"model", version},
			{"offset", offset}};
		if (offset > tokens)
		{
			chunk["choices"] = json::array();
			chunk["usage"] = usage();
			return chunk;
		}
		const bool last = offset == tokens;
		json delta = last ? json::object() : json{{"role", "assistant"}, {"content", token(offset)}};
		chunk["choices"] = {{{"index", 0}, {"delta", std::move(delta)},
			{"finish_reason", last ? json("stop") : json(nullptr)}}};
		return chunk;
	}

	[[nodiscard]] json whole() const
	{
		std::string text;
		for (std::uint64_t i = 0; i < tokens; ++i)
		{
			text += token(i);
		}
		return {{"id", id}, {"object", "chat.completion"}, {"created", 0}, {"model", version},
			{"choices", {{{"index", 0}, {"message", {{"role", "assistant"}, {"content", text}}},
							{"finish_reason", "stop"}}}},
			{"usage", usage()}};
	}
};

struct engine
{
	std::set<std::string> versions;
	std::chrono::microseconds token_time{};
	std::uint64_t default_tokens{};
	std::atomic<int> active{};

	/// Outlives the process: what ran is known even where the engine is lost.
	std::ofstream record;
	faults fault;
	std::mutex mutex;
	run_counts runs;

	void refuse(httplib::Response& response, const char* why) const
	{
		response.status = http_status::unavailable;
		response.set_header("Engine-Refusal", why);
	}

	void chat(const httplib::Request& request, httplib::Response& response)
	{
		const auto body = json::parse(request.body, nullptr, false);
		if (!body.is_object() || !body.contains("messages"))
		{
			response.status = http_status::bad_request;
			return;
		}
		const auto mode = fault.next();
		if (mode == "leaving" || mode == "busy")
		{
			refuse(response, mode.c_str());
			return;
		}
		if (mode == "down")
		{
			response.status = http_status::server_error;
			return;
		}
		engine_answer answer;
		answer.version = body.value("model", "");
		if (!versions.contains(answer.version))
		{
			response.status = http_status::not_found;
			return;
		}
		answer.id = request.get_header_value("Engine-Request-Id");
		answer.mark = std::to_string(stable_hash(body["messages"].back().dump()) % marks);
		answer.tokens = body.value("max_tokens", default_tokens);
		{
			const std::lock_guard lock{mutex};
			++runs.by_request[answer.id];
			record << answer.id << std::endl;
		}
		response.set_header("Engine-Request-Id", mode == "crossed" ? "another" : answer.id);
		response.set_header("Engine-Version", mode == "wrong-version" ? "other@v0" : answer.version);
		response.set_header("Engine-Load", std::to_string(active.load()));
		if (body.value("stream", false))
		{
			const auto first =
				std::strtoull(request.get_header_value("Engine-Resume-After").c_str(), nullptr, 10);
			stream(answer, first, mode, response);
			return;
		}
		++active;
		std::this_thread::sleep_for(token_time * answer.tokens);
		--active;
		response.set_header("Engine-Confidence", "0.9");
		response.set_content(answer.whole().dump(), "application/json");
	}

	void stream(const engine_answer& answer, std::uint64_t first, const std::string& mode,
		httplib::Response& response)
	{
		++active;
		const auto next = std::make_shared<std::uint64_t>(first);
		const auto write = [this, answer, next, mode](std::size_t /*offset*/, httplib::DataSink& sink)
		{
			if (mode == "cut" && *next == answer.tokens / 2)
			{
				return false;
			}
			std::this_thread::sleep_for(token_time);
			if (mode == "crossed-chunk" && *next == answer.tokens / 2)
			{
				auto foreign = answer;
				foreign.id = "another";
				const auto text = "data: " + foreign.chunk(*next).dump() + "\n\n";
				sink.write(text.data(), text.size());
			}
			const auto text = "data: " + answer.chunk(*next).dump() + "\n\n";
			if (!sink.write(text.data(), text.size()))
			{
				return false;
			}
			if (++*next > answer.tokens + 1)
			{
				constexpr std::string_view done = "data: [DONE]\n\n";
				sink.write(done.data(), done.size());
				sink.done();
			}
			return true;
		};
		response.set_chunked_content_provider(
			"text/event-stream", write, [this](bool /*success*/) { --active; });
	}
};

struct plain_service
{
	faults fault;
	std::mutex mutex;
	run_counts runs;

	void call(const httplib::Request& request, httplib::Response& response)
	{
		const auto mode = fault.next();
		const auto id = request.get_header_value("Service-Request-Id");
		if (mode == "leaving" || mode == "busy")
		{
			response.status = http_status::unavailable;
			response.set_header("Service-Refusal", mode);
			return;
		}
		{
			const std::lock_guard lock{mutex};
			++runs.by_request[id];
			++runs.by_call[request.method + " " + request.path + " " + request.body];
		}
		if (mode == "lost-answer")
		{
			// The effect stands; the connection breaks before any answer.
			response.set_chunked_content_provider(
				"text/plain", [](std::size_t, httplib::DataSink&) { return false; });
			return;
		}
		response.set_header("Service-Request-Id", mode == "crossed" ? "another" : id);
		const json body{{"did", request.method + " " + request.path}, {"body", request.body}};
		response.set_content(body.dump(), "application/json");
	}
};

template <typename State>
void add_runs(httplib::Server& server, const std::shared_ptr<State>& state)
{
	server.Get("/runs",
		[state](const httplib::Request& /*request*/, httplib::Response& response)
		{
			const std::lock_guard lock{state->mutex};
			const json counts{{"by_request", state->runs.by_request}, {"by_call", state->runs.by_call}};
			response.set_content(counts.dump(), "application/json");
		});
}
} // namespace

void add_engine(httplib::Server& server, const cli::parsed_options& options)
{
	const auto state = std::make_shared<engine>();
	state->versions = split(options.value("versions"));
	state->token_time =
		std::chrono::microseconds{std::strtoll(options.value("token-us", "2000").c_str(), nullptr, 10)};
	state->default_tokens = std::strtoull(options.value("tokens", "20").c_str(), nullptr, 10);
	if (options.has("record"))
	{
		state->record.open(options.value("record"), std::ios::app);
	}
	state->fault.attach(server);
	add_runs(server, state);
	server.Post("/v1/chat/completions",
		[state](const auto& request, auto& response) { state->chat(request, response); });
}

void add_service(httplib::Server& server, const cli::parsed_options& /*options*/)
{
	const auto state = std::make_shared<plain_service>();
	state->fault.attach(server);
	add_runs(server, state);
	const auto call = [state](const httplib::Request& request, httplib::Response& response)
	{ state->call(request, response); };
	server.Get("/.*", call);
	server.Post("/.*", call);
	server.Put("/.*", call);
	server.Patch("/.*", call);
	server.Delete("/.*", call);
}
} // namespace gingerdyke::standin
