// SPDX-License-Identifier: MIT
// Ends of attempts: retried where that can do no harm, else answered at once with what is known.
#include <algorithm>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/node/request_desk.hpp>

namespace gingerdyke::node
{
namespace
{
} // namespace

desk_step request_desk::on_report(const attempt_report& report, instant now)
{
	desk_step step;
	const auto found = records_.find(report.ref);
	const bool expected = found != records_.end() && found->second->at == stage::running &&
						  found->second->attempt == report.attempt;
	if (!expected)
	{
		return step;
	}
	auto& record = *found->second;
	record.delivered = report.delivered;
	settle_attempt(record, report, now);
	switch (report.end)
	{
	case attempt_end::complete:
		on_complete(record, report, now, step);
		break;
	case attempt_end::not_sent:
	case attempt_end::busy:
	case attempt_end::leaving:
		on_not_run(record, report, now, step);
		break;
	case attempt_end::failed:
	case attempt_end::lost:
	case attempt_end::mismatched:
		on_broken(record, report, now, step);
		break;
	case attempt_end::caller_left:
		record.may_have_run = true;
		add_line(record, report.used);
		close(record,
			refuse_order{
				0, "the caller left", std::nullopt, facts_of(record, outcome::unknown, "caller-left")},
			now, step);
		break;
	}
	return step;
}

void request_desk::settle_attempt(record& record, const attempt_report& report, instant now)
{
	const auto& upstream = record.replica->id;
	parts_.board.note_end(upstream);
	if (report.load >= 0)
	{
		parts_.board.note_load(upstream, report.load, now);
	}
	switch (report.end)
	{
	case attempt_end::complete:
		parts_.board.note_success(upstream);
		budget_.earn();
		break;
	case attempt_end::leaving:
	case attempt_end::mismatched:
		parts_.board.note_leaving(upstream, now);
		break;
	case attempt_end::not_sent:
	case attempt_end::failed:
	case attempt_end::lost:
		parts_.board.note_failure(upstream, now);
		break;
	case attempt_end::busy:
	case attempt_end::caller_left:
		break;
	}
	const auto* version = record.table->version(record.version);
	const bool judged = report.end == attempt_end::complete || report.end == attempt_end::failed;
	if (version != nullptr && judged)
	{
		parts_.gate.record_response(*version, report.end == attempt_end::failed);
		record.on_permit = false;
	}
}

void request_desk::add_line(record& record, tokens used)
{
	if (record.in.kind == request_kind::service)
	{
		record.bill.lines.push_back(
			{{model_id{record.in.target}, "service"}, tokens{0}, record.service->cost_per_call});
		return;
	}
	const auto* version = record.table->version(record.version);
	const auto rate = version == nullptr ? micro_cost{0} : version->cost_per_thousand;
	record.bill.lines.push_back({record.version, used, token_cost(used, rate)});
}

bool request_desk::escalates(const record& record, const attempt_report& report)
{
	const bool has_stronger = record.step + 1 < record.steps.size();
	return has_stronger && !record.session_version && record.repeatable && !record.in.streamed &&
		   report.confidence >= 0 && report.confidence < record.plan.escalate_below;
}

void request_desk::on_complete(record& record, const attempt_report& report, instant now, desk_step& step)
{
	record.may_have_run = true;
	add_line(record, report.used);
	if (record.cascade != nullptr && report.confidence >= 0)
	{
		parts_.cascades.note_confidence({record.workspace->id, record.request_class, record.cascade->id},
			record.version.model, report.confidence);
	}
	if (escalates(record, report))
	{
		record.held_answer = record.version;
		record.step = record.steps.size() - 1;
		record.version = {};
		record.tried.clear();
		decide(record, now, step);
		return;
	}
	record.recorded = report.recorded;
	close(record, finish_order{facts_of(record, outcome::ran, "complete")}, now, step);
}

void request_desk::on_not_run(record& record, const attempt_report& report, instant now, desk_step& step)
{
	if (record.delivered > 0)
	{
		// What the caller has can't be joined to another replica's answer.
		break_off(record, report, now, step);
		return;
	}
	if (record.attempt >= limits_.attempts || (record.attempt > 1 && !budget_.spend()))
	{
		refuse(record,
			{http_status::unavailable, "upstream-refused", "no replica took the request",
				limits_.default_retry_after},
			now, step);
		return;
	}
	retry(record, now, step);
}

void request_desk::on_broken(record& record, const attempt_report& report, instant now, desk_step& step)
{
	record.may_have_run = true;
	const bool attempts_left = record.attempt < limits_.attempts;
	const bool may_repeat = record.repeatable && record.delivered == 0;
	const bool may_resume =
		record.repeatable && report.end == attempt_end::lost && record.delivered > 0 && !record.resumed;
	if (attempts_left && may_resume && budget_.spend())
	{
		record.resumed = true;
		record.used_before += report.used;
		// The stream goes on where it was begun, on its own version: work in progress, not new work.
		send_to_replica(record, step);
		return;
	}
	if (attempts_left && may_repeat && budget_.spend())
	{
		retry(record, now, step);
		return;
	}
	break_off(record, report, now, step);
}

void request_desk::break_off(record& record, const attempt_report& report, instant now, desk_step& step)
{
	if (record.held_answer)
	{
		fall_back(record, now, step);
		return;
	}
	if (record.delivered > 0)
	{
		add_line(record, record.used_before + report.used);
	}
	close(record,
		refuse_order{http_status::bad_gateway,
			"the upstream's answer broke off; whether the request ran is not known", std::nullopt,
			facts_of(record, outcome::unknown,
				report.end == attempt_end::failed ? "upstream-failed" : "upstream-lost")},
		now, step);
}

void request_desk::fall_back(record& record, instant now, desk_step& step)
{
	record.version = *record.held_answer;
	close(record, finish_order{facts_of(record, outcome::ran, "not-escalated")}, now, step);
}

void request_desk::retry(record& record, instant now, desk_step& step)
{
	record.tried.push_back(record.replica->id);
	decide(record, now, step);
}

void request_desk::refuse(record& record, const refusal& why, instant now, desk_step& step)
{
	// A request that may have run in an earlier attempt is never said not to have run.
	const auto ran = record.may_have_run ? outcome::unknown : outcome::not_run;
	refuse_order word{why.status, why.message, why.retry_after, facts_of(record, ran, why.code)};
	if (record.on_permit)
	{
		parts_.gate.return_permit(record.version);
	}
	if (record.held_answer)
	{
		fall_back(record, now, step);
		return;
	}
	if (record.may_have_run)
	{
		close(record, std::move(word), now, step);
		return;
	}
	if (record.intent_open)
	{
		auto cancelled = parts_.outbox.cancel(record.in.id);
		std::move(cancelled.out.begin(), cancelled.out.end(), std::back_inserter(step.out));
	}
	if (record.claimed)
	{
		auto released = parts_.claims.release(record.in.ref, now);
		std::move(released.out.begin(), released.out.end(), std::back_inserter(step.out));
	}
	end(record.in.ref, std::move(word), step);
}

void request_desk::close(record& record, order last_word, instant now, desk_step& step)
{
	record.at = stage::closing;
	record.last_word = std::move(last_word);
	if (record.claimed && record.recorded)
	{
		auto kept = parts_.claims.record(record.in.ref, *record.recorded, now);
		std::move(kept.out.begin(), kept.out.end(), std::back_inserter(step.out));
	}
	else if (record.claimed)
	{
		parts_.claims.leave_unknown(record.in.ref);
	}
	record.bill.state = ledger::bill_state::final_amount;
	auto closed = parts_.outbox.close(record.bill, now);
	std::move(closed.out.begin(), closed.out.end(), std::back_inserter(step.out));
	if (!closed.ready.empty())
	{
		end(record.in.ref, *record.last_word, step);
	}
}

void request_desk::end(request_ref ref, order last_word, desk_step& step)
{
	const auto found = records_.find(ref);
	auto& record = *found->second;
	record.trace.facts = std::visit([](const auto& word) { return word.facts; }, last_word);
	ended_.push_back(std::move(record.trace));
	if (ended_.size() > limits_.explained)
	{
		ended_.pop_front();
	}
	queue_.erase({record.rank, ref});
	refs_.erase(record.in.id);
	records_.erase(found);
	step.orders.push_back({ref, std::move(last_word)});
}

request_facts request_desk::facts_of(const record& record, outcome ran, std::string reason)
{
	request_facts facts;
	facts.workspace = record.workspace == nullptr ? record.bill.workspace : record.workspace->id;
	facts.request_class = record.request_class;
	facts.version = record.version;
	facts.ran = ran;
	facts.reason = std::move(reason);
	return facts;
}

void request_desk::on_progress(const progress_report& report)
{
	const auto found = records_.find(report.ref);
	if (found == records_.end() || found->second->at != stage::running ||
		found->second->attempt != report.attempt)
	{
		return;
	}
	auto& record = *found->second;
	auto lines = record.bill.lines;
	const auto* version = record.table->version(record.version);
	const auto rate = version == nullptr ? micro_cost{0} : version->cost_per_thousand;
	lines.push_back({record.version, report.used, token_cost(report.used, rate)});
	parts_.outbox.note_progress(record.in.id, lines);
}

const request_trace* request_desk::explain(const request_id& id) const
{
	if (const auto open = refs_.find(id); open != refs_.end())
	{
		return &records_.at(open->second)->trace;
	}
	const auto ended =
		std::find_if(ended_.rbegin(), ended_.rend(), [&](const auto& one) { return one.id == id; });
	return ended == ended_.rend() ? nullptr : &*ended;
}
} // namespace gingerdyke::node
