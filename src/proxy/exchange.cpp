// SPDX-License-Identifier: MIT
// Handling of a request: dispatch and retries. Admission is in exchange_admission.cpp, the choice of a
// replica in exchange_choice.cpp, responses of replicas in exchange_responses.cpp and the wait for them in
// exchange_timeouts.cpp, what they tell about versions in exchange_evidence.cpp, responses that are held in
// exchange_holding.cpp, final outcomes in exchange_endings.cpp.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

constexpr std::string_view any_model = "*";
} // namespace

exchange::exchange(gateway& shared, request incoming, std::shared_ptr<response_sink> output,
	std::optional<forwarding_terms> origin)
	: shared_(shared), origin_(std::move(origin)), request_(std::move(incoming)),
	  body_(std::make_shared<const std::string>(std::exchange(request_.body, {}))), sink_(std::move(output)),
	  arrived_(steady_now()), deadline_timer_(shared.context()), attempt_timer_(shared.context()),
	  slot_timer_(shared.context())
{
}

duration exchange::time_left() const
{
	return deadline_ - steady_now();
}

void exchange::dispatch()
{
	const auto now = steady_now();
	// Later attempts are of a request that was accepted while its key was trusted.
	const bool needs_key = workspace_ != nullptr && !route_->is_public;
	if (needs_key && attempt_count_ == 0 && shared_.trust_in_keys(now) == key_trust::stale)
	{
		is_unavailable_here_ = true;
		fail(unavailable, "configuration too old to trust keys");
		return;
	}
	const auto verdict = shared_.suspects().verdict_on(content_keys_, now);
	is_canary_ = verdict == quarantine::quarantine_verdict::ambiguous && attempt_count_ == 0 &&
				 shared_.start_canary(content_keys_.combination, now);
	if (verdict != quarantine::quarantine_verdict::allowed && !is_canary_)
	{
		refuse_quarantined();
		return;
	}
	if (shared_.suspects().is_undecided(content_keys_, now))
	{
		// Within one round trip it is known whether the replica's process exited, and whether others exited
		// with it.
		shared_.exit_detector().when_resolved(
			[self = shared_from_this(), number = ++wait_number_]
			{
				if (!self->finished_ && number == self->wait_number_)
				{
					self->dispatch();
				}
			});
		return;
	}
	if (time_left() < shared_.tuning().min_attempt_time)
	{
		fail(gateway_timeout, "no time left");
		return;
	}
	if (attempt_count_ == 0)
	{
		model_step_ = routing::size_policy::first(*route_, attempt_limit() > 1 && route_->is_retryable());
	}
	if (shared_.slots().is_slot_reserved(service_id_) && !is_offered_slot_ && await_slot())
	{
		return;
	}
	const auto replica = may_connect() ? choose_replica() : nullptr;
	if (!replica && has_lost_path())
	{
		if (!forward())
		{
			refuse_without_path();
		}
		return;
	}
	if (attempt_count_ > 0 && !shared_.budget(service_id_).take(now))
	{
		fail(unavailable, "retry budget used up");
		return;
	}
	if (!replica && await_slot())
	{
		if (attempt_count_ > 0)
		{
			shared_.budget(service_id_).refund();
		}
		return;
	}
	if (!replica)
	{
		refuse_without_replica();
		return;
	}
	if (const auto wait = time_until_servable(*replica))
	{
		refuse_until(*wait, "engines too busy to answer in time");
		return;
	}
	send_to(replica);
}

/// Dispatches again once a slot of a brittle replica is free, for a bounded time. A request that is being
/// offered a slot keeps its place in the queue.
///
/// \returns Whether the request waits.
bool exchange::await_slot()
{
	const auto now = steady_now();
	const auto limit = arrived_ + scaled(route_->latency_objective, shared_.tuning().slot_wait_share);
	if (!shared_.should_await_slot(service_id_) || now >= limit)
	{
		return false;
	}
	is_awaiting_slot_ = true;
	if (is_offered_slot_)
	{
		return true;
	}
	shared_.slots().add(service_id_,
		[weak = weak_from_this()]
		{
			const auto self = weak.lock();
			return self ? self->on_slot_offered() : slot_outcome::ended;
		});
	slot_timer_.expires_after(limit - now);
	// The timer keeps the request alive while nothing else does.
	slot_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error && !self->finished_ && std::exchange(self->is_awaiting_slot_, false))
			{
				self->dispatch();
			}
		});
	return true;
}

slot_outcome exchange::on_slot_offered()
{
	if (finished_ || !std::exchange(is_awaiting_slot_, false))
	{
		return slot_outcome::ended;
	}
	is_offered_slot_ = true;
	const auto earlier_attempts = attempt_count_;
	dispatch();
	is_offered_slot_ = false;
	if (is_awaiting_slot_)
	{
		return slot_outcome::waiting;
	}
	slot_timer_.cancel();
	return attempt_count_ > earlier_attempts ? slot_outcome::sent : slot_outcome::ended;
}

/// None if the request may be sent now. A request that can only time out would make its caller wait for
/// nothing, and its prompt would delay requests that can still be served.
std::optional<duration> exchange::time_until_servable(const routing::replica& engine) const
{
	if (!targets_engine() || execution_ != execution::not_run)
	{
		return std::nullopt;
	}
	// An idle engine is always tried: otherwise an estimate that is far too high would never be corrected.
	if (shared_.selector().work_at(engine, steady_now()) <= 0)
	{
		return std::nullopt;
	}
	const auto expected = time_to_first_token(engine);
	if (expected < time_left() * shared_.tuning().refusal_factor)
	{
		return std::nullopt;
	}
	return std::max(expected - route_->latency_objective, shared_.tuning().retry_after);
}

/// Place in the order of all priorities of the configuration.
unsigned exchange::request_priority() const
{
	return catalog_->priorities().priority_of(*route_, workspace_);
}

/// Whether a field holds a key of this deployment, which replicas must not see.
bool exchange::is_api_key(const header_field& field) const
{
	if (!catalog_->needs_keys() || !equals_ignore_case(field.name, "Authorization"))
	{
		return false;
	}
	return !route_->is_public || field.value.starts_with(shared_.names().key_scheme + " ");
}

header_fields exchange::upstream_fields(const routing::replica& to) const
{
	const auto& names = shared_.names();
	const bool chooses_model = !route_->models.empty();
	header_fields fields;
	for (auto& field : without_hop_by_hop_fields(request_.fields))
	{
		const bool is_reserved = std::any_of(names.reserved.begin(), names.reserved.end(),
			[&](const std::string& name) { return equals_ignore_case(name, field.name); });
		const bool is_replaced = equals_ignore_case(field.name, names.deadline_ms) ||
								 (equals_ignore_case(field.name, names.last_event_id) && events_.last_id());
		if (is_reserved || is_replaced || is_api_key(field))
		{
			continue;
		}
		if (chooses_model && equals_ignore_case(field.name, names.model) && field.value == any_model)
		{
			field.value = route_->models[model_step_.index].str();
		}
		fields.push_back(std::move(field));
	}
	const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left());
	fields.push_back({names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count()))});
	fields.push_back({names.target_replica, to.id.str()});
	if (workspace_ != nullptr)
	{
		fields.push_back({names.workspace, workspace_->id.str()});
	}
	if (route_->streams)
	{
		fields.push_back({names.priority, std::to_string(request_priority())});
		if (events_.last_id())
		{
			fields.push_back({names.last_event_id, std::to_string(*events_.last_id())});
		}
	}
	return fields;
}

bool exchange::may_retry() const
{
	// A stream that another VM forwards is resumed by that VM, which knows all of its attempts.
	const bool resumes_here = !origin_ || !response_started_;
	return resumes_here && attempt_count_ < attempt_limit() &&
		   time_left() >= shared_.tuning().min_attempt_time &&
		   (execution_ == execution::not_run || route_->is_retryable()) &&
		   shared_.budget(service_id_).available(steady_now()) >= 1;
}

void exchange::send_to(const routing::replica_ptr& to)
{
	const auto now = steady_now();
	++attempt_count_;
	last_replica_ = to;
	last_was_missing_ = shared_.replicas().is_suspected(to->id);
	attempt_.emplace();
	attempt_->target = to;
	attempt_->sent_at = now;
	attempt_->connected_at = now;
	attempt_->last_byte_at = now;
	attempt_->execution_before = execution_;
	attempt_->model_step = model_step_;
	attempt_->run = shared_.exit_detector().runs().begin(*to, content_keys_, now);
	// From here on the replica may run the request, whether or not anything is received from it.
	execution_ = execution::may_have_run;
	attempt_->is_cold = shared_.cold_replicas().is_cold(*to, now);
	attempt_->is_limited = shared_.load_limits().is_limited(*to);
	shared_.record_sent(*to, now);
	attempt_->connection = shared_.pool().acquire(to, route_->is_retryable(), now);
	attempt_->queued_work = work_before_first_token(*to);
	const auto weight = model_weight();
	attempt_->prefill_work = prompt_.input_tokens * weight;
	attempt_->work = attempt_->prefill_work + prompt_.decode_work() * weight;
	shared_.selector().record_sent(*to, attempt_->work);
	attempt_->connected = attempt_->connection->was_used();
	attempt_->connected ? arm_first_byte_timer() : arm_attempt_timer(shared_.tuning().connect_timeout);

	upstream_request outgoing{write_request_head(request_, body_->size(), upstream_fields(*to)), body_, id_,
		request_.method == "HEAD"};
	if (route_->is_retryable())
	{
		outgoing.unacknowledged_timeout = shared_.tuning().unacknowledged_timeout;
	}
	attempt_->connection->send(std::move(outgoing), attempt_callbacks());
}

/// After the response head the attempt may be held, and another one be the current one.
upstream_callbacks exchange::attempt_callbacks()
{
	const auto self = shared_from_this();
	const auto* by = attempt_->connection.get();
	upstream_callbacks callbacks;
	callbacks.connection_opened = [self] { self->on_connected(); };
	callbacks.head_received = [self](response_head head) { self->on_head(std::move(head)); };
	callbacks.body_received = [self, by](std::string_view bytes)
	{ self->is_held(by) ? self->on_held_body(bytes) : self->on_body(bytes); };
	callbacks.response_completed = [self, by] { self->is_held(by) ? self->on_held_end() : self->on_end(); };
	callbacks.request_failed = [self, by](upstream_fault fault)
	{ self->is_held(by) ? self->on_held_fault(fault) : self->on_fault(fault); };
	return callbacks;
}

void exchange::retry_or(const std::function<void()>& otherwise)
{
	if (!may_retry())
	{
		otherwise();
		return;
	}
	events_.drop_partial();
	dispatch();
}

/// A prompt that has been prefilled delays no other request. When it counted until the end of the response,
/// engines with long responses looked busier than those with prompts to prefill, and requests were sent to
/// the latter.
void exchange::release_prefill_work()
{
	shared_.selector().record_progress(*attempt_->target, attempt_->prefill_work);
	attempt_->work -= attempt_->prefill_work;
}

void exchange::end_attempt(bool is_complete)
{
	if (!attempt_)
	{
		return;
	}
	attempt_timer_.cancel();
	conclude(*attempt_, is_complete);
	attempt_.reset();
}

/// Records the end of an attempt and gives its connection back.
void exchange::conclude(attempt& ended, bool is_complete)
{
	shared_.selector().record_completion(*ended.target, ended.work);
	shared_.slots().record_free(ended.target->service);
	record_run_end(ended);
	if (!is_complete)
	{
		ended.connection->close();
	}
	shared_.pool().release(std::exchange(ended.connection, nullptr), steady_now());
}

void exchange::record_run_end(const attempt& ended)
{
	const auto now = steady_now();
	if (ended.run_outcome == quarantine::run_outcome::completed)
	{
		record_completion(ended, now);
	}
	shared_.exit_detector().runs().end(*ended.target, ended.run, ended.run_outcome, now);
}

void exchange::record_completion(const attempt& ended, instant now)
{
	const auto process = shared_.exit_detector().runs().instance_of(*ended.target);
	shared_.suspects().add_completion(content_keys_.request, process, now);
	if (!ended.head.ends_with_connection)
	{
		record_part_completion(ended, now);
	}
}

/// A part that makes replicas exit does so as soon as they write an answer on it.
void exchange::record_long_answer(attempt& current)
{
	const auto now = steady_now();
	const auto written_for = now - (current.sent_at + current.first_byte);
	const auto sound_after = shared_.exit_detector().runs().tuning().sound_answer_time;
	if (!current.is_part_completion_recorded && written_for > sound_after)
	{
		current.is_part_completion_recorded = true;
		record_part_completion(current, now);
	}
}

void exchange::record_part_completion(const attempt& completed, instant now)
{
	if (!is_success(completed.head.status))
	{
		return;
	}
	const auto process = shared_.exit_detector().runs().instance_of(*completed.target);
	const auto hash = mix_hash(static_cast<std::uint64_t>(process.value()), stable_hash(id_));
	const quarantine::recent_completions::completion completion{
		quarantine::process_instance{static_cast<std::int64_t>(hash)},
		completed.sent_at + completed.first_byte};
	for (const auto& part : content_keys_.parts)
	{
		shared_.suspects().add_part_completion(part, completion, now);
	}
	if (!content_keys_.combination.empty())
	{
		shared_.suspects().add_part_completion(content_keys_.combination, completion, now);
	}
}

void exchange::record_result(routing::replica_result result)
{
	attempt_->is_result_recorded = true;
	shared_.selector().record_result(*attempt_->target, result, attempt_->first_byte, steady_now());
}

void exchange::record_answered()
{
	if (!attempt_->is_result_recorded)
	{
		record_result(routing::replica_result::answered);
	}
}

} // namespace gingerdyke::proxy
