// SPDX-License-Identifier: MIT
// Sends one request and checks the answer against it.
#include "caller.hpp"
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/sse_reader.hpp>

namespace gingerdyke::load
{
namespace
{
constexpr auto silence = std::chrono::seconds{60};
constexpr unsigned most_tries = 3;
constexpr std::uint64_t marks = 100'000;

bool is_chat(request_kind kind)
{
	return kind == request_kind::chat || kind == request_kind::stream || kind == request_kind::session;
}

/// The text that an engine must answer a prompt with.
std::string expected_text(const json& message, std::uint64_t tokens)
{
	const auto mark = std::to_string(stable_hash(message.dump()) % marks);
	std::string text;
	for (std::uint64_t i = 0; i < tokens; ++i)
	{
		text += mark + ":" + std::to_string(i) + " ";
	}
	return text;
}

/// The text of a streamed answer; `whole` tells whether it ended as whole answers do.
std::string text_of_stream(const std::string& body, bool& whole, bool& failed)
{
	http::sse_reader reader{body.size() + 1};
	std::string text;
	whole = false;
	failed = !reader.feed(body);
	while (auto data = reader.next())
	{
		if (*data == "[DONE]")
		{
			whole = true;
			continue;
		}
		const auto chunk = json::parse(*data, nullptr, false);
		failed = failed || !chunk.is_object() || chunk.contains("error");
		if (!failed && !chunk["choices"].empty())
		{
			text += chunk["choices"][0]["delta"].value("content", "");
		}
	}
	return text;
}

std::string header(const httplib::Headers& headers, const std::string& name)
{
	const auto found = headers.find(name);
	return found == headers.end() ? std::string{} : found->second;
}
} // namespace

caller::caller(std::vector<std::string> nodes, std::uint64_t seed)
	: nodes_(std::move(nodes)), seed_(seed), pool_(silence)
{
}

httplib::Request caller::request_of(const scheduled& what, std::string& expected)
{
	const auto& stream = *what.stream;
	const auto nonce = std::to_string(seed_) + "/" + stream.workspace + "/" + stream.target + "/" +
					   std::to_string(static_cast<int>(stream.kind)) + "/" + std::to_string(what.number);
	httplib::Request request;
	request.method = "POST";
	request.set_header("Authorization", "Bearer " + stream.key);
	request.set_header("Content-Type", "application/json");
	if (!stream.request_class.empty())
	{
		request.set_header("Gingerdyke-Class", stream.request_class);
	}
	if (!is_chat(stream.kind))
	{
		request.path = "/services/" + stream.target + stream.path;
		request.body = json{{"order", nonce}}.dump();
		expected = request.body;
		if (stream.kind == request_kind::keyed)
		{
			request.set_header("Idempotency-Key", sha256_hex(nonce));
		}
		return request;
	}
	request.path = "/v1/chat/completions";
	const json system{{"role", "system"}, {"content", "You help " + stream.workspace + "."}};
	const json user{{"role", "user"}, {"content", "Summarise report " + nonce}};
	json body{{"model", stream.target}, {"messages", {system, user}}, {"max_tokens", stream.tokens}};
	if (stream.kind == request_kind::stream)
	{
		body["stream"] = true;
	}
	if (stream.kind == request_kind::session)
	{
		const std::lock_guard lock{mutex_};
		if (const auto& handle = sessions_[what.stream]; !handle.empty())
		{
			request.set_header("Gingerdyke-Session", handle);
		}
	}
	request.body = body.dump();
	expected = expected_text(user, stream.tokens);
	return request;
}

caller::raw_answer caller::call(const httplib::Request& request, std::chrono::steady_clock::time_point began,
	std::chrono::microseconds& first_chunk)
{
	raw_answer answer;
	for (std::size_t i = 0; i < nodes_.size() && !answer.connected; ++i)
	{
		const auto& node = nodes_[next_++ % nodes_.size()];
		auto client = pool_.take(node, true);
		auto copy = request;
		copy.response_handler = [&](const httplib::Response& response)
		{
			answer.status = response.status;
			answer.headers = response.headers;
			return true;
		};
		copy.content_receiver =
			[&](const char* bytes, std::size_t size, std::uint64_t /*offset*/, std::uint64_t /*total*/)
		{
			if (answer.body.empty())
			{
				first_chunk = std::chrono::duration_cast<std::chrono::microseconds>(
					std::chrono::steady_clock::now() - began);
			}
			answer.body.append(bytes, size);
			return true;
		};
		const auto result = client->send(copy);
		answer.connected = result || (result.error() != httplib::Error::Connection &&
										 result.error() != httplib::Error::ConnectionTimeout);
		answer.complete = static_cast<bool>(result);
	}
	return answer;
}

result_kind caller::judge(const scheduled& what, const raw_answer& answer, const std::string& expected)
{
	if (!answer.complete)
	{
		return result_kind::broken;
	}
	const auto outcome = header(answer.headers, "Gingerdyke-Outcome");
	if (answer.status >= http_status::lowest_error)
	{
		return outcome == "not-run" ? result_kind::refused : result_kind::unknown;
	}
	if (what.stream->kind == request_kind::stream)
	{
		bool whole = false;
		bool failed = false;
		const auto text = text_of_stream(answer.body, whole, failed);
		if (failed || !whole)
		{
			return whole ? result_kind::wrong : result_kind::unknown;
		}
		return text == expected ? result_kind::whole : result_kind::wrong;
	}
	const auto body = json::parse(answer.body, nullptr, false);
	if (!body.is_object())
	{
		return result_kind::wrong;
	}
	const auto text = is_chat(what.stream->kind) ? body["choices"][0]["message"].value("content", "")
												 : body.value("body", "");
	return text == expected ? result_kind::whole : result_kind::wrong;
}

sent_request caller::send(const scheduled& what, std::chrono::steady_clock::time_point start)
{
	sent_request sent;
	sent.stream = what.stream;
	std::string expected;
	const auto request = request_of(what, expected);
	const auto due = start + what.at;
	while (true)
	{
		const auto answer = call(request, due, sent.first_chunk);
		sent.status = answer.status;
		sent.id = header(answer.headers, "Gingerdyke-Request-Id");
		sent.kind = judge(what, answer, expected);
		if (sent.kind == result_kind::whole && what.stream->kind == request_kind::session)
		{
			const std::lock_guard lock{mutex_};
			sessions_[what.stream] = header(answer.headers, "Gingerdyke-Session");
		}
		const bool may_repeat = what.stream->kind == request_kind::keyed && sent.kind == result_kind::broken;
		if (!may_repeat || sent.tries >= most_tries)
		{
			break;
		}
		++sent.tries;
	}
	sent.latency =
		std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - due);
	if (what.stream->kind == request_kind::keyed)
	{
		sent.call = request.method + " " + what.stream->path + " " + request.body;
	}
	return sent;
}
} // namespace gingerdyke::load
