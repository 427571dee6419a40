// SPDX-License-Identifier: MIT
// Calls to upstreams. What an engine's answers mean is in docs/API.md, "Towards engines".
#include <chrono>
#include <gingerdyke/base/boot_clock.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/response_check.hpp>
#include <gingerdyke/http/sse_reader.hpp>
#include <gingerdyke/http/upstream.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::http
{
namespace
{
constexpr time_t connect_seconds = 1;
constexpr std::size_t idle_per_address = 64;
constexpr auto progress_interval = std::chrono::seconds{1};
constexpr const char* done_mark = "[DONE]";

using node::attempt_end;
using node::attempt_report;

double number_in(const httplib::Response& response, const char* header)
{
	if (!response.has_header(header))
	{
		return -1;
	}
	return std::strtod(response.get_header_value(header).c_str(), nullptr);
}

/// What can be told from an attempt that brought no answer.
attempt_end end_of(httplib::Error error)
{
	const bool unsent = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
	return unsent ? attempt_end::not_sent : attempt_end::lost;
}

/// Whether a response may be an answer to the request; logs what is wrong if it may not.
bool is_valid(const httplib::Response& response, const request_id& id, const node::dispatch_order& order)
{
	const auto* fault = find_response_fault(response);
	if (fault != nullptr)
	{
		log::write(log::level::warn, "invalid response of an upstream",
			{{"request", id.str()}, {"upstream", order.upstream}, {"address", order.address},
				{"status", response.status}, {"fault", fault}});
	}
	return fault == nullptr;
}

/// What can be told from an engine's status; complete where its body counts.
attempt_end end_of(const httplib::Response& response, const chat_attempt& attempt)
{
	if (response.status == http_status::unavailable && response.has_header("Engine-Refusal"))
	{
		const bool leaving = response.get_header_value("Engine-Refusal") == "leaving";
		return leaving ? attempt_end::leaving : attempt_end::busy;
	}
	if (response.status >= http_status::lowest_server_error)
	{
		return attempt_end::failed;
	}
	const bool ours = response.get_header_value("Engine-Request-Id") == attempt.id.str();
	const bool right = response.get_header_value("Engine-Version") == attempt.order.version.str();
	return ours && right ? attempt_end::complete : attempt_end::mismatched;
}

httplib::Request request_of(const chat_attempt& attempt, bool streamed)
{
	auto body = attempt.body;
	body["model"] = attempt.order.version.str();
	if (streamed)
	{
		body["stream_options"] = {{"include_usage", true}};
	}
	httplib::Request request;
	request.method = "POST";
	request.path = "/v1/chat/completions";
	request.set_header("Content-Type", "application/json");
	request.set_header("Engine-Request-Id", attempt.id.str());
	request.set_header("Engine-Version", attempt.order.version.str());
	request.set_header("Engine-Priority", std::to_string(attempt.order.priority));
	if (attempt.order.resume_after > 0)
	{
		request.set_header("Engine-Resume-After", std::to_string(attempt.order.resume_after));
	}
	request.body = body.dump();
	return request;
}

attempt_report report_of(const node::dispatch_order& order)
{
	attempt_report report;
	report.attempt = order.attempt;
	return report;
}

/// Takes a streamed answer apart, chunk by chunk.
class stream_taker
{
  public:
	stream_taker(session::stream_check& check, const chat_hooks& hooks, std::vector<std::string>& held)
		: check_(check), hooks_(hooks), held_(held), finished_(!held.empty())
	{
	}

	/// Takes bytes; false: read no further.
	bool take(std::string_view bytes)
	{
		if (!reader_.feed(bytes))
		{
			return stop(attempt_end::mismatched);
		}
		while (auto data = reader_.next())
		{
			if (!take_event(*data))
			{
				return false;
			}
		}
		return true;
	}

	/// How the stream ended, where it was not stopped from here.
	[[nodiscard]] attempt_end end() const
	{
		if (stopped_)
		{
			return *stopped_;
		}
		return done_ && finished_ ? attempt_end::complete : attempt_end::lost;
	}

	[[nodiscard]] tokens used() const { return used_; }

  private:
	bool stop(attempt_end why)
	{
		stopped_ = why;
		return false;
	}

	bool take_event(const std::string& data)
	{
		if (data == done_mark)
		{
			done_ = true;
			return true;
		}
		const auto chunk = json::parse(data, nullptr, false);
		if (!chunk.is_object() || !chunk.contains("id") || !chunk["id"].is_string())
		{
			return stop(attempt_end::mismatched);
		}
		const auto verdict = check_.on_chunk(
			chunk["id"].get_ref<const std::string&>(), chunk.value("offset", std::uint64_t{0}));
		switch (verdict)
		{
		case session::chunk_verdict::foreign:
		case session::chunk_verdict::repeated:
			return true;
		case session::chunk_verdict::gap:
			return stop(attempt_end::lost);
		case session::chunk_verdict::pass:
			break;
		}
		return pass(chunk, data);
	}

	bool pass(const json& chunk, const std::string& data)
	{
		const auto& choices = chunk.value("choices", json::array());
		const bool has_finish = !choices.empty() && choices[0].contains("finish_reason") &&
								!choices[0]["finish_reason"].is_null();
		const bool has_usage = chunk.contains("usage") && chunk["usage"].is_object();
		if (has_usage)
		{
			used_ = tokens{chunk["usage"].value("completion_tokens", used_.value())};
		}
		else if (!has_finish)
		{
			used_ += tokens{1};
		}
		finished_ = finished_ || has_finish;
		if (finished_)
		{
			held_.push_back(data);
			return true;
		}
		if (!hooks_.pass(data))
		{
			return stop(attempt_end::caller_left);
		}
		const auto now = boot_clock::now();
		if (now - told_ >= progress_interval)
		{
			told_ = now;
			hooks_.progress(used_);
		}
		return true;
	}

	session::stream_check& check_;
	const chat_hooks& hooks_;
	std::vector<std::string>& held_;
	sse_reader reader_;
	tokens used_;
	/// The finishing chunk came, in this attempt or in the one that it resumes.
	bool finished_;
	bool done_ = false;
	std::optional<attempt_end> stopped_;
	boot_clock::time_point told_ = boot_clock::now();
};
} // namespace

client_pool::client_ptr client_pool::take(const std::string& address, bool fresh)
{
	if (!fresh)
	{
		const std::lock_guard lock{mutex_};
		auto& idle = idle_[address];
		if (!idle.empty())
		{
			auto client = std::move(idle.back());
			idle.pop_back();
			return client;
		}
	}
	const auto colon = address.rfind(':');
	auto client =
		std::make_unique<httplib::Client>(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
	client->set_tcp_nodelay(true);
	client->set_keep_alive(true);
	client->set_connection_timeout(connect_seconds);
	client->set_read_timeout(silence_);
	client->set_write_timeout(silence_);
	return client;
}

void client_pool::give_back(const std::string& address, client_ptr client)
{
	const std::lock_guard lock{mutex_};
	auto& idle = idle_[address];
	if (idle.size() < idle_per_address)
	{
		idle.push_back(std::move(client));
	}
}

attempt_report run_streamed(client_pool& pool, const chat_attempt& attempt, session::stream_check& check,
	const chat_hooks& hooks, std::vector<std::string>& held)
{
	auto client = pool.take(attempt.order.address, attempt.unrepeatable);
	auto request = request_of(attempt, true);
	stream_taker taker{check, hooks, held};
	std::optional<attempt_end> refused;
	auto report = report_of(attempt.order);
	request.response_handler = [&](const httplib::Response& response)
	{
		report.status = response.status;
		report.load = number_in(response, "Engine-Load");
		const auto end =
			is_valid(response, attempt.id, attempt.order) ? end_of(response, attempt) : attempt_end::failed;
		if (end != attempt_end::complete || response.status >= http_status::lowest_error)
		{
			refused = end;
		}
		return end == attempt_end::complete || end == attempt_end::busy || end == attempt_end::leaving;
	};
	std::string error_body;
	request.content_receiver =
		[&](const char* bytes, std::size_t size, std::uint64_t /*offset*/, std::uint64_t /*total*/)
	{
		if (refused)
		{
			error_body.append(bytes, size);
			return true;
		}
		return taker.take({bytes, size});
	};
	const auto result = client->send(request);
	report.used = taker.used();
	report.delivered = check.passed();
	if (refused)
	{
		report.end = *refused;
		if (report.end == attempt_end::complete)
		{
			held.push_back(error_body);
		}
	}
	else if (!result && report.status == 0)
	{
		report.end = end_of(result.error());
	}
	else
	{
		report.end = taker.end();
	}
	if (result)
	{
		pool.give_back(attempt.order.address, std::move(client));
	}
	return report;
}

attempt_report run_whole(client_pool& pool, const chat_attempt& attempt, whole_answer& answer)
{
	auto client = pool.take(attempt.order.address, attempt.unrepeatable);
	const auto request = request_of(attempt, false);
	auto report = report_of(attempt.order);
	const auto result = client->send(request);
	if (!result)
	{
		report.end = end_of(result.error());
		return report;
	}
	report.status = result->status;
	if (!is_valid(*result, attempt.id, attempt.order))
	{
		report.end = attempt_end::failed;
		return report;
	}
	report.load = number_in(*result, "Engine-Load");
	report.confidence = number_in(*result, "Engine-Confidence");
	report.end = end_of(*result, attempt);
	const auto body = json::parse(result->body, nullptr, false);
	if (report.end == attempt_end::complete && result->status < http_status::lowest_error)
	{
		const bool whole =
			body.is_object() && body.value("id", "") == attempt.id.str() && body.contains("usage");
		report.end = whole ? attempt_end::complete : attempt_end::mismatched;
		report.used = tokens{whole ? body["usage"].value("completion_tokens", std::int64_t{0}) : 0};
	}
	if (report.end == attempt_end::complete)
	{
		answer = {result->status, result->get_header_value("Content-Type"), result->body};
		report.recorded = claims::recorded_outcome{answer.status, answer.content_type, answer.body, true};
	}
	pool.give_back(attempt.order.address, std::move(client));
	return report;
}

attempt_report run_service(
	client_pool& pool, const service_call& call, const node::dispatch_order& order, whole_answer& answer)
{
	auto client = pool.take(order.address, call.unrepeatable);
	httplib::Request request;
	request.method = call.method;
	request.path = call.path;
	request.body = call.body;
	request.set_header("Service-Request-Id", call.id.str());
	if (!call.content_type.empty())
	{
		request.set_header("Content-Type", call.content_type);
	}
	auto report = report_of(order);
	const auto result = client->send(request);
	if (!result)
	{
		report.end = end_of(result.error());
		return report;
	}
	report.status = result->status;
	if (!is_valid(*result, call.id, order))
	{
		report.end = attempt_end::failed;
		return report;
	}
	const bool echoes = result->has_header("Service-Request-Id");
	if (echoes && result->get_header_value("Service-Request-Id") != call.id.str())
	{
		report.end = attempt_end::mismatched;
	}
	else if (result->status == http_status::unavailable && result->has_header("Service-Refusal"))
	{
		report.end = result->get_header_value("Service-Refusal") == "leaving" ? attempt_end::leaving
																			  : attempt_end::busy;
	}
	else if (result->status >= http_status::lowest_server_error)
	{
		report.end = attempt_end::failed;
	}
	answer = {result->status, result->get_header_value("Content-Type"), result->body};
	report.recorded = claims::recorded_outcome{answer.status, answer.content_type, answer.body, true};
	pool.give_back(order.address, std::move(client));
	return report;
}
} // namespace gingerdyke::http
