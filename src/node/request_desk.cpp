// SPDX-License-Identifier: MIT
// Decision and dispatch. The version is checked again at every dispatch, on the newest table.
#include <algorithm>
#include <array>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/node/request_desk.hpp>
#include <gingerdyke/session/handle.hpp>

namespace gingerdyke::node
{
namespace
{

/// Pause before a queued request that found no room is tried again.
constexpr duration queue_pause = std::chrono::milliseconds{5};
} // namespace

const char* name_of(outcome outcome) noexcept
{
	constexpr std::array names{"ran", "not-run", "unknown"};
	return names.at(static_cast<std::size_t>(outcome));
}

request_desk::request_desk(desk_parts parts, desk_limits limits) : parts_(parts), limits_(limits) {}

void request_desk::proceed(record& record, instant now, desk_step& step)
{
	if (record.in.key.empty() || record.claimed)
	{
		decide(record, now, step);
		return;
	}
	record.at = stage::claiming;
	auto claim = parts_.claims.start(
		{record.in.ref, record.workspace->id, record.in.key, record.in.id, record.in.fingerprint}, now);
	std::move(claim.out.begin(), claim.out.end(), std::back_inserter(step.out));
}

desk_step request_desk::on_claims(const std::vector<claims::claim_answer>& answers, instant now)
{
	desk_step step;
	for (const auto& answer : answers)
	{
		const auto found = records_.find(answer.ref);
		if (found == records_.end() || found->second->at != stage::claiming)
		{
			continue;
		}
		auto& record = *found->second;
		if (std::holds_alternative<claims::claim_won>(answer.verdict))
		{
			record.claimed = true;
			decide(record, now, step);
		}
		else if (const auto* replayed = std::get_if<claims::claim_replayed>(&answer.verdict))
		{
			end(answer.ref, replay_order{replayed->outcome, facts_of(record, outcome::ran, "replayed")},
				step);
		}
		else if (std::holds_alternative<claims::claim_held>(answer.verdict))
		{
			end(answer.ref,
				refuse_order{http_status::conflict,
					"another attempt with this Idempotency-Key was made and its outcome is not known",
					std::nullopt, facts_of(record, outcome::unknown, "claim-held")},
				step);
		}
		else if (std::holds_alternative<claims::claim_mismatch>(answer.verdict))
		{
			refuse(record,
				{http_status::unprocessable, "key-reused", "the Idempotency-Key was used for another request",
					std::nullopt},
				now, step);
		}
		else
		{
			refuse(record,
				{http_status::unavailable, "claim-unavailable",
					"whether this request ran before can't be found out now", limits_.default_retry_after},
				now, step);
		}
	}
	return step;
}

void request_desk::refresh_table(record& record)
{
	const auto& newest = parts_.spread.current();
	if (newest == record.table)
	{
		return;
	}
	record.table = newest;
	record.workspace = newest->workspace(record.bill.workspace);
	record.service = record.service == nullptr ? nullptr : newest->service(service_id{record.in.target});
	record.cascade = record.cascade == nullptr ? nullptr : newest->cascade(cascade_id{record.in.target});
	record.replica = nullptr;
}

decision::version_question request_desk::question_of(const record& record, instant now) const
{
	return {*record.workspace, record.session_version.has_value(), parts_.spread.confirmed_age(now)};
}

void request_desk::on_resumed(instant now)
{
	resumed_at_ = now;
}

bool request_desk::must_wait(instant now) const
{
	if (!resumed_at_ || now >= *resumed_at_ + limits_.resume_wait)
	{
		return false;
	}
	const auto age = parts_.spread.confirmed_age(now);
	return !age || now - *age < *resumed_at_;
}

void request_desk::decide(record& record, instant now, desk_step& step)
{
	if (must_wait(now))
	{
		enqueue(record, now + queue_pause);
		return;
	}
	refresh_table(record);
	const bool service_gone = record.in.kind == request_kind::service && record.service == nullptr;
	if (record.workspace == nullptr || service_gone)
	{
		refuse(record,
			{http_status::gone, "row-removed", "the workspace or service was removed from the table",
				std::nullopt},
			now, step);
		return;
	}
	if (record.in.kind == request_kind::chat && !pick_version(record, now, step))
	{
		return;
	}
	if (!pick_replica(record, now, step))
	{
		return;
	}
	if (record.intent_open)
	{
		dispatch(record, now, step);
		return;
	}
	open_intent(record, now, step);
}

std::optional<model_id> request_desk::model_of(record& record)
{
	if (record.cascade == nullptr)
	{
		return version_ref::parse(record.in.target).model;
	}
	if (!record.planned)
	{
		record.planned = true;
		for (const auto& model : record.cascade->steps)
		{
			for (const auto* version : record.table->versions_of(model))
			{
				const bool usable = version->state == table::version_state::stable &&
									record.table->allows(*record.workspace, version->ref);
				if (usable)
				{
					record.steps.push_back({model, version->cost_per_thousand, version->quality_prior});
					break;
				}
			}
		}
		if (!record.steps.empty())
		{
			const bool may_escalate = record.repeatable && !record.in.streamed;
			const decision::cascade_scope scope{
				record.workspace->id, record.request_class, record.cascade->id};
			record.plan =
				parts_.cascades.plan(scope, record.steps, record.workspace->quality_target, may_escalate);
			record.step = record.plan.first;
		}
	}
	if (record.steps.empty())
	{
		return std::nullopt;
	}
	return record.steps[record.step].model;
}

bool request_desk::pick_version(record& record, instant now, desk_step& step)
{
	const auto question = question_of(record, now);
	const auto named = version_ref::parse(record.in.target);
	decision::picked_version picked;
	if (record.session_version)
	{
		picked = parts_.versions.pick_named(*record.table, *record.session_version, question, now);
	}
	else if (record.cascade == nullptr && !named.version.empty())
	{
		picked = parts_.versions.pick_named(*record.table, named, question, now);
	}
	else if (!record.version.empty() &&
			 parts_.versions.use_of(*record.table, record.version, question) == decision::version_use::open)
	{
		// A retry stays on the version that was picked first, and on its permit.
		picked = {record.version, record.on_permit, decision::version_use::open};
	}
	else if (const auto model = model_of(record))
	{
		picked = parts_.versions.pick_of_model(*record.table, *model, question, now);
	}
	if (picked.version)
	{
		record.version = *picked.version;
		record.on_permit = picked.on_permit;
		record.trace.decisions.push_back(
			{record.attempt + 1, record.version, name_of(picked.why), {}, false, {}});
		return true;
	}
	const bool session_over =
		record.session_version && (picked.why == decision::version_use::withdrawn ||
									  picked.why == decision::version_use::unknown_version ||
									  picked.why == decision::version_use::suspended);
	if (session_over)
	{
		refuse(record,
			{http_status::gone, "session-ended",
				"the session's version " + record.session_version->str() +
					" takes no work any more: open a new session",
				std::nullopt},
			now, step);
		return false;
	}
	refuse(record,
		{http_status::unavailable, std::string{"no-version-"} + name_of(picked.why),
			"no version of " + record.in.target + " may take this request now", limits_.default_retry_after},
		now, step);
	return false;
}

bool request_desk::pick_replica(record& record, instant now, desk_step& step)
{
	const auto& candidates = record.in.kind == request_kind::service
								 ? record.table->endpoints_of(record.service->id)
								 : record.table->replicas_of(record.version);
	const auto leaves = [&](const replica_id& id)
	{ return parts_.live.is_upstream_draining(vm_id{id.str()}); };
	auto choice = parts_.board.choose(
		candidates, parts_.live.self().failure_domain, record.in.prefix, record.tried, leaves, now);
	if (record.trace.decisions.empty())
	{
		record.trace.decisions.emplace_back();
	}
	auto& trace = record.trace.decisions.back();
	trace.attempt = record.attempt + 1;
	trace.chosen = choice.chosen == nullptr ? replica_id{} : choice.chosen->id;
	trace.by_affinity = choice.by_affinity;
	trace.weighed = choice.weighed;
	trace.weighed.resize(std::min(trace.weighed.size(), limits_.explained_replicas));
	if (choice.chosen == nullptr)
	{
		wait_or_refuse(record, choice, now, step);
		return false;
	}
	record.replica = choice.chosen;
	return true;
}

void request_desk::wait_or_refuse(
	record& record, const decision::replica_choice& choice, instant now, desk_step& step)
{
	if (record.on_permit)
	{
		parts_.gate.return_permit(record.version);
		record.on_permit = false;
	}
	record.version = {};
	if (now < record.queue_until)
	{
		enqueue(record, now + queue_pause);
		return;
	}
	const bool full = std::any_of(choice.weighed.begin(), choice.weighed.end(),
		[](const auto& one) { return one.why == decision::standing::full; });
	refuse(record,
		{http_status::unavailable, full ? "no-room" : "no-upstream",
			full ? "all replicas are full" : "no replica can be reached", limits_.default_retry_after},
		now, step);
}

void request_desk::enqueue(record& record, instant not_before)
{
	record.at = stage::queued;
	record.not_before = not_before;
	queue_[{record.rank, record.in.ref}] = &record;
}

void request_desk::open_intent(record& record, instant now, desk_step& step)
{
	record.at = stage::opening;
	record.intent_open = true;
	auto opened = parts_.outbox.open(record.bill, now);
	std::move(opened.out.begin(), opened.out.end(), std::back_inserter(step.out));
	if (!opened.ready.empty())
	{
		dispatch(record, now, step);
	}
}

desk_step request_desk::on_journalled(const std::vector<ledger::journalled>& entries, instant now)
{
	desk_step step;
	for (const auto& entry : entries)
	{
		const auto ref = refs_.find(entry.request);
		if (ref == refs_.end())
		{
			continue;
		}
		auto& record = *records_.at(ref->second);
		if (record.at == stage::opening && entry.state == ledger::bill_state::intent)
		{
			dispatch(record, now, step);
		}
		else if (record.at == stage::closing && entry.state == ledger::bill_state::final_amount)
		{
			end(record.in.ref, *record.last_word, step);
		}
	}
	return step;
}

void request_desk::dispatch(record& record, instant now, desk_step& step)
{
	if (must_wait(now))
	{
		enqueue(record, now + queue_pause);
		return;
	}
	refresh_table(record);
	const bool is_chat = record.in.kind == request_kind::chat;
	const bool still_right = record.replica != nullptr &&
							 (!is_chat || parts_.versions.use_of(*record.table, record.version,
											  question_of(record, now)) == decision::version_use::open);
	if (!still_right)
	{
		decide(record, now, step);
		return;
	}
	send_to_replica(record, step);
}

void request_desk::send_to_replica(record& record, desk_step& step)
{
	const bool is_chat = record.in.kind == request_kind::chat;
	record.at = stage::running;
	++record.attempt;
	parts_.board.note_dispatch(record.replica->id);
	dispatch_order order;
	order.attempt = record.attempt;
	order.upstream = record.replica->id.str();
	order.address = record.replica->address;
	order.version = record.version;
	order.priority = record.rank;
	order.resume_after = record.delivered;
	if (is_chat)
	{
		const session::handle handle{record.workspace->id, record.version, record.in.id.str()};
		order.session = record.in.session.empty()
							? session::mint(handle, record.table->settings().session_key)
							: record.in.session;
		order.rate = rating_of(record);
	}
	order.facts = facts_of(record, outcome::unknown, "dispatched");
	step.orders.push_back({record.in.ref, std::move(order)});
}

void request_desk::pass_rate(record& record, instant now, desk_step& step)
{
	refresh_table(record);
	const auto why = record.workspace == nullptr ? std::nullopt : check_rate(record, now);
	if (why && now < record.queue_until)
	{
		enqueue(record, std::min(record.queue_until, now + *why->retry_after));
		return;
	}
	if (why)
	{
		refuse(record, *why, now, step);
		return;
	}
	record.rate_pending = false;
	proceed(record, now, step);
}

std::optional<rating_subject> request_desk::rating_of(const record& record)
{
	const bool in_cascade =
		record.cascade != nullptr && record.step < record.steps.size() && !record.in.streamed;
	if (!in_cascade)
	{
		return std::nullopt;
	}
	const bool asked_for = record.plan.rate_first && record.step == record.plan.first;
	if (!asked_for && !parts_.cascades.samples_rating())
	{
		return std::nullopt;
	}
	return rating_subject{
		record.workspace->id, record.request_class, record.cascade->id, record.version.model, 0};
}

void request_desk::on_rating(const rating_report& rating)
{
	const auto& subject = rating.subject;
	parts_.cascades.note_rating({subject.workspace, subject.request_class, subject.cascade}, subject.model,
		subject.confidence, rating.good);
}

desk_step request_desk::on_tick(instant now)
{
	desk_step step;
	std::vector<record*> due;
	for (const auto& [key, record] : queue_)
	{
		if (now >= record->not_before || now >= record->queue_until)
		{
			due.push_back(record);
		}
	}
	for (auto* record : due)
	{
		queue_.erase({record->rank, record->in.ref});
		if (record->rate_pending)
		{
			pass_rate(*record, now, step);
		}
		else
		{
			decide(*record, now, step);
		}
	}
	return step;
}
} // namespace gingerdyke::node
