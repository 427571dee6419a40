// SPDX-License-Identifier: MIT
// Handling of a request: events from the replica, and the reaction to them.
#include <algorithm>
#include <charconv>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <gingerdyke/proxy/replica_statements.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int not_modified = 304;
constexpr int misdirected = 421;
constexpr int too_many_requests = 429;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
} // namespace

/// Checks again whether the replica can be sent the request: connecting may have taken hundreds of
/// milliseconds, in which it may have started to drain.
void exchange::on_connected()
{
	shared_.paths().record_connected(*attempt_->target, steady_now());
	shared_.exit_detector().runs().record_connection(*attempt_->target, attempt_->sent_at);
	if (!is_still_sendable())
	{
		undo_attempt();
		dispatch();
		return;
	}
	shared_.cold_replicas().update_sent_time(*attempt_->target, attempt_->sent_at, steady_now());
	if (!attempt_->is_limited)
	{
		shared_.load_limits().record_sent(*attempt_->target, steady_now());
	}
	attempt_->connected = true;
	attempt_->connected_at = steady_now();
	arm_first_byte_timer();
}

bool exchange::is_still_sendable() const
{
	const auto now = steady_now();
	const auto& to = *attempt_->target;
	// If the replica was cold or limited when it was chosen, the attempt has already used its share.
	const bool has_cold_share = attempt_->is_cold || shared_.cold_replicas().allows_request(to, now);
	const bool has_limit_share = attempt_->is_limited || shared_.load_limits().allows_request(to, now);
	const bool is_quarantined = !is_canary_ && shared_.suspects().is_quarantined(content_keys_, now);
	return !is_quarantined && shared_.replicas().accepts_requests(to) &&
		   !shared_.evacuated().contains(to.domain) && !shared_.backoffs().is_backing_off(to, now) &&
		   has_cold_share && has_limit_share;
}

void exchange::on_head(response_head head)
{
	const auto& names = shared_.names();
	attempt_->last_byte_at = steady_now();
	attempt_->first_byte = attempt_->last_byte_at - attempt_->sent_at;
	attempt_->head = std::move(head);
	shared_.paths().record_response(*attempt_->target, steady_now());
	shared_.silences().record_answered(*attempt_->target, steady_now());
	const auto& received = attempt_->head;
	record_statements(received);
	if (received.find(names.not_run) != nullptr || received.status == misdirected)
	{
		on_not_run();
		return;
	}
	if (is_invalid_response(received))
	{
		on_fault(upstream_fault::invalid_response);
		return;
	}
	record_started();
	shared_.exit_detector().runs().record_answer_started(*attempt_->target, attempt_->run, steady_now());
	const bool failed = is_failure(received.status);
	record_response_begin(failed);
	if (!failed)
	{
		record_first_token();
	}
	// Whether a response that is collected can be passed on is known at its end.
	if (failed)
	{
		record_result(routing::replica_result::failed);
	}
	else if (route_->streams)
	{
		record_answered();
	}
	if (failed && may_retry())
	{
		attempt_->run_outcome = quarantine::run_outcome::finished;
		tried_replicas_.push_back(attempt_->target->id);
		end_attempt(false);
		retry_or([this] { fail(bad_gateway, "replica failed"); });
		return;
	}
	if (held_ && !is_success(received.status))
	{
		attempt_->run_outcome = quarantine::run_outcome::finished;
		record_answered();
		use_held_response();
		return;
	}
	if (is_success(received.status) && should_escalate(received))
	{
		hold_response();
		retry_or([this] { fail(bad_gateway, "no larger model"); });
		return;
	}
	record_admitted_response(*attempt_);
	release_prefill_work();
	if (is_refusal_status(received.status))
	{
		attempt_->run_outcome = quarantine::run_outcome::finished;
		replaced_status_ = received.status;
		end_attempt(false);
		fail(bad_gateway, "replica ran the request and sent a refusal status");
		return;
	}
	attempt_->is_stream = route_->streams && is_success(received.status);
	if (!attempt_->is_stream && response_started_)
	{
		// A started stream can't be continued by a response that is not a stream.
		end_attempt(false);
		fail(bad_gateway, "stream refused to go on");
		return;
	}
	const bool has_body = request_.method != "HEAD" && received.status != not_modified;
	const auto limit = shared_.memory().response_limit_bytes();
	if (!attempt_->is_stream && has_body && received.length.value_or(0) > limit)
	{
		on_fault(upstream_fault::too_large);
	}
}

/// Records a response that is passed on. A request counts once, however many responses it takes.
void exchange::record_admitted_response(const attempt& from)
{
	if (std::exchange(is_response_recorded_, true))
	{
		return;
	}
	const auto now = steady_now();
	const bool is_in_time = !is_failure(from.head.status) && now - arrived_ <= route_->latency_objective;
	shared_.admission().record_response(service_id_, work_unit(), from.first_byte, is_in_time, now);
}

/// A request counts once, however many replicas run it.
void exchange::record_started()
{
	if (workspace_ != nullptr && !std::exchange(is_counted_, true))
	{
		shared_.record_started(workspace_->id);
	}
}

/// Ignores statements of another process that now has the replica's address.
void exchange::record_statements(const response_head& head)
{
	if (head.status == misdirected || is_invalid_response(head))
	{
		return;
	}
	const auto& from = *attempt_->target;
	const auto now = steady_now();
	const auto statements = read_statements(head, shared_.names(), std::chrono::system_clock::now());
	for (const auto& name : statements.unknown)
	{
		shared_.unknown_names().record(statement_source::response_header, name, from.id.str());
	}
	if (statements.is_draining)
	{
		shared_.record_draining(from, id_);
	}
	if (statements.backoff)
	{
		shared_.backoffs().record_backoff(from, *statements.backoff, id_, now);
	}
	else
	{
		shared_.backoffs().record_response(from, attempt_->sent_at);
	}
	shared_.concurrency().record_response(from, statements.rejection_limit, attempt_->sent_at, now);
	if (!statements.malformed_value.empty())
	{
		shared_.record_malformed_statement(from, statements.malformed_value);
	}
	if (!statements.has_malformed_limit)
	{
		shared_.load_limits().record_response(from, {statements.load_limit, attempt_->sent_at, id_}, now);
	}
}

/// The replica did not run the request, so another may, within the allowed number of attempts.
void exchange::on_not_run()
{
	const auto to = attempt_->target;
	const bool is_misdirected = attempt_->head.status == misdirected;
	execution_ = attempt_->execution_before;
	attempt_->run_outcome = quarantine::run_outcome::finished;
	record_result(routing::replica_result::refused);
	if (is_rejection_by_full_replica())
	{
		shared_.admission().record_rejection(service_id_, work_unit(), steady_now());
		shared_.full_replicas().record_rejection(*to, request_priority(), steady_now());
	}
	if (!is_misdirected && shared_.concurrency().is_limited(*to))
	{
		shared_.backoffs().record_backoff(
			*to, shared_.concurrency().rejection_backoff(*to), id_, steady_now());
	}
	tried_replicas_.push_back(to->id);
	end_attempt(false);
	if (is_misdirected)
	{
		shared_.replicas().forget(to->id);
	}
	// A caller that is told at once that nothing ran can come back; a further full engine would only delay
	// that.
	if (!is_misdirected && execution_ == execution::not_run && !response_started_ && are_engines_full())
	{
		const auto spread = 1 + shared_.tuning().retry_after_jitter * to_unit_interval(stable_hash(id_));
		refuse_until(scaled(shared_.tuning().retry_after, spread), "engines are full");
		return;
	}
	retry_or([this] { fail_refused(); });
}

/// Replicas that are about to leave, or find fault with the request, say nothing about room.
bool exchange::is_rejection_by_full_replica() const
{
	const auto& head = attempt_->head;
	const auto* leaving = head.find(shared_.names().draining_flag);
	const bool is_leaving = leaving != nullptr && *leaving == "1";
	return (head.status == unavailable || head.status == too_many_requests) && !is_leaving;
}

/// If all replicas have asked to back off, the caller is told when the first of them is available again.
void exchange::fail_refused()
{
	if (shared_.backoffs().time_until_resumed(service_id_, steady_now()) && !choose_replica())
	{
		refuse_without_replica();
		return;
	}
	fail(bad_gateway, "replica refused");
}

bool exchange::is_invalid_response(const response_head& head) const
{
	const auto& names = shared_.names();
	if (head.find(names.request_id) == nullptr || head.find("Content-Encoding") != nullptr)
	{
		return true;
	}
	return is_success(head.status) && head.find(names.signature) == nullptr;
}

/// First tokens of smaller models mostly wait for other prompts. Their times show the load, so they don't
/// count for the service's speed; they do for the engine's own, where a base time is expected beside that of
/// the work.
void exchange::record_first_token()
{
	if (!targets_engine())
	{
		return;
	}
	constexpr double min_weight = 0.5;
	const auto now = steady_now();
	if (model_weight() >= min_weight)
	{
		shared_.first_token_times(service_id_).record(attempt_->queued_work, attempt_->first_byte, now);
	}
	if (is_success(attempt_->head.status))
	{
		shared_.paces().record(*attempt_->target, attempt_->queued_work, attempt_->first_byte, now);
	}
}

bool exchange::should_escalate(const response_head& head)
{
	const auto* text = head.find(shared_.names().confidence);
	if (text == nullptr || response_started_ || !attempt_->model_step.may_escalate || !may_retry())
	{
		return false;
	}
	double confidence = 0;
	const auto read = std::from_chars(text->data(), text->data() + text->size(), confidence);
	return read.ec == std::errc{} && escalate(confidence);
}

/// Selects the larger model for the next attempt if its expected delay is acceptable for the confidence of
/// the smaller model's answer.
bool exchange::escalate(double confidence)
{
	const auto larger = routing::size_policy::after(*route_, attempt_->model_step);
	if (!larger)
	{
		return false;
	}
	const auto room = cascade_room();
	if (shared_.sizes().room_factor(room) == 0)
	{
		escalation_choice_ = escalation_choice{confidence, 0, route_->time_limit, room.slots_in_use};
		return false;
	}
	model_step_ = *larger;
	const auto expected = expected_first_token();
	const auto threshold = shared_.sizes().threshold(*route_, expected, room);
	escalation_choice_ = escalation_choice{confidence, threshold, expected, room.slots_in_use};
	if (confidence >= threshold)
	{
		model_step_ = attempt_->model_step;
		return false;
	}
	return true;
}

/// Expected time from the request's arrival to the first token if it were sent now.
duration exchange::expected_first_token() const
{
	const auto to = choose_replica();
	if (!to || is_full(*to))
	{
		return route_->time_limit;
	}
	return steady_now() - arrived_ + time_to_first_token(*to);
}

void exchange::on_body(std::string_view bytes)
{
	if (!attempt_)
	{
		return;
	}
	attempt_->last_byte_at = steady_now();
	if (attempt_->is_stream)
	{
		shared_.paths().record_response(*attempt_->target, steady_now());
		record_long_answer(*attempt_);
		on_events(bytes);
		return;
	}
	attempt_->body.append(bytes);
	if (!keep(attempt_->connection, attempt_->body.size()))
	{
		on_fault(upstream_fault::too_large);
	}
}

void exchange::on_events(std::string_view bytes)
{
	const auto batch = events_.feed(bytes);
	record_event_interval(attempt_->pace.record_events(batch.events.size(), steady_now()));
	write_events(attempt_->head, batch.events);
	if (batch.is_broken)
	{
		on_fault(upstream_fault::invalid_response);
		return;
	}
	attempt_->connection->set_collected(events_.partial_size());
	if (!batch.events.empty())
	{
		arm_event_timer();
		await_caller();
	}
}

void exchange::write_events(const response_head& head, const std::vector<std::string>& events)
{
	for (const auto& event : events)
	{
		write_event(head, event);
	}
}

/// Writes an event to the caller, after the head of the first response of the stream.
void exchange::write_event(const response_head& head, const std::string& event)
{
	if (!response_started_)
	{
		response_started_ = true;
		drop_held_response();
		first_byte_time_ = steady_now() - arrived_;
		sink_->send_head(head.status, head.reason, response_fields(head.fields));
	}
	sink_->write_body(event);
}

/// Fields of a replica's response as they go to the caller or to the VM that forwards the request.
header_fields exchange::response_fields(const header_fields& fields) const
{
	auto outgoing = without_hop_by_hop_fields(fields);
	std::erase_if(outgoing,
		[](const header_field& field) { return equals_ignore_case(field.name, forwarding_result_header); });
	if (origin_)
	{
		const forwarding_result result{forwarding_outcome::answered, attempt_count_, last_replica_->id};
		outgoing.push_back({forwarding_result_header, write_result(result)});
	}
	return outgoing;
}

void exchange::on_end()
{
	if (!attempt_)
	{
		return;
	}
	if (!attempt_->is_stream)
	{
		forward_buffered_response();
		return;
	}
	if (!events_.at_event_boundary() || !response_started_)
	{
		on_fault(upstream_fault::truncated_response);
		return;
	}
	attempt_->run_outcome = quarantine::run_outcome::completed;
	end_attempt(true);
	sink_->end_stream();
	finish(request_outcome::served, 200, {});
}

void exchange::forward_buffered_response()
{
	const bool failed = is_failure(attempt_->head.status);
	record_answered();
	attempt_->run_outcome = failed ? quarantine::run_outcome::finished : quarantine::run_outcome::completed;
	const auto head = attempt_->head;
	auto body = attempt_->body.take();
	end_attempt(true);
	send_buffered_response(head, std::move(body));
}

void exchange::send_buffered_response(const response_head& head, std::string body)
{
	const auto status = head.status;
	const bool failed = is_failure(status);
	response outgoing{status, head.reason, response_fields(head.fields), std::move(body)};
	first_byte_time_ = steady_now() - arrived_;
	const auto sink = sink_;
	finish(failed ? request_outcome::failed_by_replica : request_outcome::served, status,
		failed ? "replica failed" : "");
	sink->send(std::move(outgoing));
}

void exchange::on_fault(upstream_fault fault)
{
	if (!attempt_)
	{
		return;
	}
	if (fault == upstream_fault::not_connected || fault == upstream_fault::connect_refused)
	{
		on_not_connected(fault);
		return;
	}
	if (fault == upstream_fault::timed_out)
	{
		record_path_failure(*attempt_->target, fault);
	}
	record_given_up(*attempt_->connection, fault);
	if (fault != upstream_fault::out_of_memory && !is_response_content_fault(fault))
	{
		shared_.exit_detector().record_broken_response(attempt_->target, steady_now());
	}
	record_broken_off(*attempt_, fault);
	// The replica closed a reused idle connection: that is no failure of the replica.
	const bool is_stale_connection = fault == upstream_fault::no_response && attempt_->connection->was_used();
	if (!is_stale_connection)
	{
		tried_replicas_.push_back(attempt_->target->id);
	}
	if (!is_stale_connection && fault != upstream_fault::out_of_memory)
	{
		record_result(routing::replica_result::no_response);
	}
	end_attempt(false);
	retry_or([this, fault] { fail(bad_gateway, name_of(fault)); });
}

/// Reverts an attempt for which nothing was sent: it counts neither as an attempt nor against the retry
/// budget.
void exchange::undo_attempt()
{
	execution_ = attempt_->execution_before;
	attempt_->run_outcome = quarantine::run_outcome::finished;
	tried_replicas_.push_back(attempt_->target->id);
	end_attempt(false);
	--attempt_count_;
	if (attempt_count_ > 0)
	{
		shared_.budget(service_id_).refund();
	}
}

void exchange::on_not_connected(upstream_fault fault)
{
	record_result(routing::replica_result::not_connected);
	record_path_failure(*attempt_->target, fault);
	const auto to = attempt_->target;
	const bool is_isolated = shared_.paths().is_isolated();
	if (!is_isolated)
	{
		shared_.cold_replicas().assume_cold(*to, routing::cold_reason::unreachable, steady_now());
	}
	undo_attempt();
	++failed_connections_;
	if (fault == upstream_fault::connect_refused)
	{
		++refused_connections_;
		// A process that has exited also closes its open connections.
		if (!is_isolated && shared_.pool().idle_count(to->id) == 0)
		{
			shared_.exit_detector().record_refused_connection(to, steady_now());
		}
	}
	dispatch();
}

void exchange::record_path_failure(const routing::replica& to, upstream_fault fault)
{
	const auto failure = fault == upstream_fault::connect_refused ? routing::path_failure::refused
						 : fault == upstream_fault::timed_out     ? routing::path_failure::silent
																  : routing::path_failure::unanswered;
	shared_.record_path_failure(to, failure, steady_now());
}
} // namespace gingerdyke::proxy
