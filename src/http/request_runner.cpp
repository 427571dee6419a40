// SPDX-License-Identifier: MIT
// Carries out the node's orders for one request.
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/request_runner.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::http
{
namespace
{
using clock = boot_clock;

/// Longest wait for the node's next word: far beyond all its own limits, so reached only where it is gone.
constexpr std::chrono::milliseconds node_limit = std::chrono::minutes{15};

duration since(clock::time_point start)
{
	return std::chrono::duration_cast<duration>(clock::now() - start);
}

node::order node_is_gone()
{
	node::refuse_order order;
	order.status = http_status::unavailable;
	order.message = "this VM is stopping";
	order.facts.ran = node::outcome::unknown;
	order.facts.reason = "stopping";
	return order;
}

const node::request_facts& facts_of(const node::order& order)
{
	return std::visit([](const auto& word) -> const node::request_facts& { return word.facts; }, order);
}
} // namespace

request_end request_runner::run(running_request request, const stream_hooks& hooks)
{
	started_ = clock::now();
	const auto [ref, mailbox] = parts_.node.mailboxes().open();
	request.arrival.ref = ref;
	session::stream_check check{request.arrival.id};
	request_end end;
	parts_.node.post(request.arrival);
	while (true)
	{
		auto order = mailbox->wait(node_limit);
		if (!order)
		{
			end.last_word = node_is_gone();
			break;
		}
		const auto* dispatch = std::get_if<node::dispatch_order>(&*order);
		if (dispatch == nullptr)
		{
			end.last_word = std::move(*order);
			break;
		}
		end.session = dispatch->session;
		auto report = attempt(request, *dispatch, check, hooks, end);
		report.ref = ref;
		parts_.node.post(std::move(report));
	}
	parts_.node.mailboxes().close(ref);
	finish(request, end);
	return end;
}

node::attempt_report request_runner::attempt(const running_request& request,
	const node::dispatch_order& order, session::stream_check& check, const stream_hooks& hooks,
	request_end& end)
{
	const auto& id = request.arrival.id;
	if (request.arrival.kind == node::request_kind::service)
	{
		return run_service(parts_.pool, request.service, order, end.answer);
	}
	const chat_attempt attempt{id, request.chat_body, order, request.unrepeatable};
	if (!request.arrival.streamed)
	{
		auto report = run_whole(parts_.pool, attempt, end.answer);
		if (order.rate && report.end == node::attempt_end::complete && report.confidence >= 0)
		{
			auto subject = *order.rate;
			subject.confidence = report.confidence;
			parts_.rater.submit({std::move(subject), end.answer.body});
		}
		return report;
	}
	chat_hooks chat;
	chat.pass = [&](const std::string& data)
	{
		if (!last_chunk_)
		{
			sample_.first_chunk = since(started_);
			hooks.started(order);
		}
		else
		{
			sample_.chunk_intervals.push_back(since(*last_chunk_));
		}
		last_chunk_ = clock::now();
		return hooks.pass(data);
	};
	chat.progress = [&](tokens used) {
		parts_.node.post(node::progress_report{request.arrival.ref, order.attempt, used});
	};
	auto report = run_streamed(parts_.pool, attempt, check, chat, end.held);
	end.answer.status = report.status;
	return report;
}

void request_runner::finish(const running_request& request, const request_end& end)
{
	const auto& facts = facts_of(end.last_word);
	sample_.workspace = facts.workspace;
	sample_.request_class = facts.request_class;
	sample_.outcome = node::name_of(facts.ran);
	sample_.total = since(started_);
	parts_.metrics.record(sample_);
	const bool ran = facts.ran == node::outcome::ran;
	log::write(ran ? log::level::info : log::level::warn, "request",
		{{"request", request.arrival.id.str()}, {"workspace", facts.workspace.str()},
			{"class", facts.request_class.str()}, {"target", request.arrival.target},
			{"version", facts.version.str()}, {"outcome", node::name_of(facts.ran)}, {"reason", facts.reason},
			{"micros", sample_.total.count()}});
}
} // namespace gingerdyke::http
