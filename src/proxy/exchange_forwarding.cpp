// SPDX-License-Identifier: MIT
// Handling of a request: by way of another VM, if this one has no path to the replicas.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int bad_gateway = 502;
constexpr int first_success = 200;

/// From this many attempts on, one is kept for the case that the other VM is lost on the way; with fewer, the
/// other VM could not even choose a larger model.
constexpr unsigned min_attempts_to_keep_one = 3;

/// The connection's view of another VM; VMs and replicas are kept in different pools.
routing::replica_ptr target_of(const routing::forwarding_peer& peer)
{
	routing::replica target;
	target.id = replica_id{peer.vm.str()};
	target.at = peer.at;
	return std::make_shared<const routing::replica>(std::move(target));
}
} // namespace

unsigned exchange::attempt_limit() const
{
	return origin_ ? std::min(origin_->max_attempts, route_->attempts) : route_->attempts;
}

/// Whether the request could be sent to a replica if this VM had a path to it.
bool exchange::has_lost_path() const
{
	const auto now = steady_now();
	const auto& all = shared_.replicas().of_service(service_id_);
	const auto is_path_missing = [&](const routing::replica_ptr& candidate)
	{
		return shared_.replicas().accepts_requests(*candidate) && shared_.may_send(*candidate, now) &&
			   !shared_.paths().accepts_connections(*candidate);
	};
	return failed_connections_ > 0 || std::any_of(all.begin(), all.end(), is_path_missing);
}

/// The VM to send the request through: like a replica, it has to be in a region that the request may be sent
/// to.
std::optional<routing::forwarding_peer> exchange::choose_peer() const
{
	return shared_.peers().choose(service_id_, asked_vms_, steady_now(),
		[this](const failure_domain_id& domain)
		{ return shared_.is_region_allowed(domain, *route_, workspace_); });
}

/// Sends the request by way of another VM, which sends it to replicas only.
/// \returns Whether there is such a VM.
bool exchange::forward()
{
	if (origin_ || attempt_count_ >= attempt_limit() ||
		asked_vms_.size() >= shared_.tuning().max_forwarding_vms)
	{
		return false;
	}
	const auto to = choose_peer();
	if (to)
	{
		forward_to(*to);
	}
	return to.has_value();
}

void exchange::forward_to(const routing::forwarding_peer& to)
{
	const auto left = attempt_limit() - attempt_count_;
	asked_vms_.push_back(to.vm);
	hop_.emplace();
	hop_->vm = to.vm;
	hop_->max_attempts = attempt_count_ + (left >= min_attempts_to_keep_one ? left - 1 : left);
	hop_->execution_before = execution_;
	execution_ = execution::may_have_run;
	if (attempt_count_ == 0 && !std::exchange(is_budget_moved_, true))
	{
		// The other VM makes the first attempt, so the request counts in its budget.
		shared_.budget(service_id_).withdraw_request();
	}
	shared_.peers().record_sent(to.vm);
	hop_->connection = shared_.peer_pool().acquire(target_of(to), route_->is_retryable(), steady_now());
	hop_->connected = hop_->connection->was_used();
	if (!hop_->connected)
	{
		arm_attempt_timer(shared_.tuning().connect_timeout);
	}
	upstream_request outgoing{write_request_head(request_, body_->size(), forwarding_fields()), body_, id_,
		request_.method == "HEAD"};
	if (route_->is_retryable())
	{
		outgoing.unacknowledged_timeout = shared_.tuning().unacknowledged_timeout;
	}
	hop_->connection->send(std::move(outgoing), hop_callbacks());
}

upstream_callbacks exchange::hop_callbacks()
{
	const auto self = shared_from_this();
	upstream_callbacks callbacks;
	callbacks.connection_opened = [self]
	{
		self->hop_->connected = true;
		self->attempt_timer_.cancel();
	};
	callbacks.head_received = [self](response_head head) { self->on_hop_head(std::move(head)); };
	callbacks.body_received = [self](std::string_view bytes) { self->on_hop_body(bytes); };
	callbacks.response_completed = [self] { self->on_hop_end(); };
	callbacks.request_failed = [self](upstream_fault fault) { self->on_hop_fault(fault); };
	return callbacks;
}

/// The caller's end-to-end fields: the other VM authenticates the caller again.
header_fields exchange::forwarding_fields() const
{
	const auto& names = shared_.names();
	header_fields fields;
	for (auto& field : without_hop_by_hop_fields(request_.fields))
	{
		const bool is_replaced = equals_ignore_case(field.name, names.deadline_ms) ||
								 equals_ignore_case(field.name, forwarding_header) ||
								 (equals_ignore_case(field.name, names.last_event_id) && events_.last_id());
		if (!is_replaced)
		{
			fields.push_back(std::move(field));
		}
	}
	const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(time_left());
	fields.push_back({names.deadline_ms, std::to_string(std::max<std::int64_t>(1, left.count()))});
	if (events_.last_id())
	{
		fields.push_back({names.last_event_id, std::to_string(*events_.last_id())});
	}
	const forwarding_terms terms{
		shared_.vm(), attempt_count_, hop_->max_attempts, model_step_, catalog_->version().value()};
	fields.push_back({forwarding_header, write_terms(terms)});
	return fields;
}

void exchange::on_hop_head(response_head head)
{
	const auto* value = head.find(forwarding_result_header);
	const auto result = value == nullptr ? std::nullopt : read_result(*value);
	if (!result)
	{
		on_hop_fault(upstream_fault::invalid_response);
		return;
	}
	hop_->result = *result;
	std::erase_if(head.fields,
		[](const header_field& field) { return equals_ignore_case(field.name, forwarding_result_header); });
	hop_->head = std::move(head);
	if (result->outcome == forwarding_outcome::unavailable)
	{
		return;
	}
	attempt_count_ = std::max(attempt_count_, result->attempts_made);
	if (result->outcome == forwarding_outcome::answered)
	{
		shared_.peers().record_served(hop_->vm, service_id_, steady_now());
	}
	const bool is_answered = result->outcome == forwarding_outcome::answered && is_success(hop_->head.status);
	hop_->is_stream = route_->streams && is_answered;
	if (response_started_ && !hop_->is_stream)
	{
		end_hop(false);
		fail(bad_gateway, "stream refused to go on");
	}
}

void exchange::on_hop_body(std::string_view bytes)
{
	if (!hop_)
	{
		return;
	}
	if (!hop_->is_stream)
	{
		hop_->body.append(bytes);
		if (!keep(hop_->connection, hop_->body.size()))
		{
			on_hop_fault(upstream_fault::too_large);
		}
		return;
	}
	const auto batch = events_.feed(bytes);
	write_events(hop_->head, batch.events);
	if (batch.is_broken)
	{
		on_hop_fault(upstream_fault::invalid_response);
		return;
	}
	hop_->connection->set_collected(events_.partial_size());
	if (!batch.events.empty())
	{
		arm_event_timer();
		await_caller();
	}
}

void exchange::on_hop_end()
{
	if (!hop_)
	{
		return;
	}
	if (hop_->is_stream)
	{
		if (!events_.at_event_boundary() || !response_started_)
		{
			on_hop_fault(upstream_fault::truncated_response);
			return;
		}
		end_hop(true);
		sink_->end_stream();
		finish(request_outcome::served, first_success, {});
		return;
	}
	if (hop_->result.outcome == forwarding_outcome::unavailable)
	{
		const auto vm = hop_->vm;
		const auto body = hop_->body.take();
		const auto reason = body.substr(0, body.find('\n'));
		shared_.record_unavailable_peer(vm, service_id_, id_, reason);
		return_from_hop(true);
		return;
	}
	pass_on_hop_response();
}

/// The other VM did not run the request: another one may, or this one if its path is back.
void exchange::return_from_hop(bool is_complete)
{
	execution_ = hop_->execution_before;
	end_hop(is_complete);
	if (!forward())
	{
		refuse_without_path();
	}
}

void exchange::pass_on_hop_response()
{
	auto& head = hop_->head;
	const auto status = head.status;
	const bool is_answered = hop_->result.outcome == forwarding_outcome::answered;
	if (held_ && !(is_answered && is_success(status)))
	{
		end_hop(true);
		use_held_response();
		return;
	}
	// Older builds pass on a replica's refusal status although the request ran.
	if (is_refusal_status(status) && hop_->result.outcome != forwarding_outcome::refused)
	{
		replaced_status_ = status;
		end_hop(true);
		fail(bad_gateway, "refusal status by way of another VM, where the request may have run");
		return;
	}
	auto outcome = request_outcome::failed;
	std::string reason = "by way of another VM";
	if (is_answered)
	{
		const bool failed = is_failure(status);
		outcome = failed ? request_outcome::failed_by_replica : request_outcome::served;
		reason = failed ? "replica failed" : "";
	}
	else if (hop_->result.outcome == forwarding_outcome::refused)
	{
		// An attempt that was made here before may have run the request.
		execution_ = hop_->execution_before;
		if (execution_ != execution::not_run)
		{
			end_hop(true);
			fail(bad_gateway, "refused by way of another VM");
			return;
		}
		outcome = request_outcome::refused;
	}
	response outgoing{status, head.reason, without_hop_by_hop_fields(head.fields), hop_->body.take()};
	first_byte_time_ = steady_now() - arrived_;
	end_hop(true);
	const auto sink = sink_;
	finish(outcome, status, std::move(reason));
	sink->send(std::move(outgoing));
}

void exchange::on_hop_fault(upstream_fault fault)
{
	if (!hop_)
	{
		return;
	}
	const bool was_sent = hop_->connected;
	record_given_up(*hop_->connection, fault);
	// The size of a response is its replica's, and the memory is this VM's.
	if (fault != upstream_fault::too_large && fault != upstream_fault::out_of_memory)
	{
		shared_.record_unreachable_peer(hop_->vm, id_, name_of(fault));
	}
	if (!was_sent)
	{
		return_from_hop(false);
		return;
	}
	// Before its response the other VM may have made all of its attempts.
	attempt_count_ = hop_->result.attempts_made > 0 ? attempt_count_ : hop_->max_attempts;
	end_hop(false);
	retry_or([this, fault] { fail(bad_gateway, name_of(fault)); });
}

void exchange::on_hop_timer()
{
	if (hop_->connection->is_held_up())
	{
		arm_attempt_timer(shared_.tuning().path_check_interval);
		return;
	}
	on_hop_fault(hop_->connected ? upstream_fault::truncated_response : upstream_fault::not_connected);
}

void exchange::end_hop(bool is_complete)
{
	if (!hop_)
	{
		return;
	}
	attempt_timer_.cancel();
	shared_.peers().record_ended(hop_->vm);
	last_replica_id_ = hop_->result.replica;
	if (!is_complete)
	{
		hop_->connection->close();
	}
	shared_.peer_pool().release(hop_->connection, steady_now());
	hop_.reset();
}

/// No VM is known to reach a replica. Callers that return at the same time would meet the same state.
void exchange::refuse_without_path()
{
	const std::string reason = "no path to the replicas";
	is_unavailable_here_ = true;
	if (origin_ && attempt_count_ == 0)
	{
		// The VM that makes the first attempt counts the request.
		shared_.budget(service_id_).withdraw_request();
	}
	if (execution_ != execution::not_run || response_started_)
	{
		fail(bad_gateway, reason);
		return;
	}
	const auto wait = std::max(
		shared_.peers().time_until_available(service_id_, steady_now()), shared_.tuning().retry_after);
	const auto spread = 1 + shared_.tuning().retry_after_jitter * to_unit_interval(stable_hash(id_));
	refuse_until(scaled(wait, spread), reason);
}
} // namespace gingerdyke::proxy
