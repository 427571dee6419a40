// SPDX-License-Identifier: MIT
// Handling of a request: final outcomes. Each responds to the caller once.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

std::string seconds_text(duration span)
{
	constexpr duration::rep thousand = 1000;
	const auto total_ms = span.count() / thousand;
	const auto fraction = std::to_string(thousand + total_ms % thousand).substr(1);
	return std::to_string(total_ms / thousand) + "." + fraction;
}
} // namespace

void exchange::cancel()
{
	if (finished_)
	{
		return;
	}
	finish(request_outcome::abandoned, 0, "caller left");
}

void exchange::on_deadline()
{
	record_silent_end();
	if (response_started_)
	{
		sink_->abort_stream();
		finish(request_outcome::broken_off, 0, "time limit");
		return;
	}
	if (held_ && !held_->is_whole())
	{
		drop_held_response();
	}
	fail(gateway_timeout, "time limit");
}

void exchange::refuse(int status, std::string reason)
{
	if (status == unavailable)
	{
		refuse_until(shared_.tuning().retry_after, std::move(reason));
		return;
	}
	send_local_reply(status, std::move(reason), {});
}

/// Responds with 502: a 503 would ask the caller to retry and crash another replica, and a 4xx would state
/// that the request is at fault, which is likely but not known.
void exchange::refuse_quarantined()
{
	const std::string reason = "replicas end under this request";
	if (response_started_)
	{
		fail(bad_gateway, reason);
		return;
	}
	send_local_reply(bad_gateway, reason, {});
}

/// `Retry-After` is spread by a hash of the request id, so that callers that wait for the same replicas do
/// not return all at once.
void exchange::refuse_without_replica()
{
	const auto now = steady_now();
	auto [reason, wait] = shared_.why_unavailable(service_id_, now);
	if (execution_ != execution::not_run || response_started_)
	{
		fail(unavailable, std::move(reason));
		return;
	}
	const auto spread = 1 + shared_.tuning().retry_after_jitter * to_unit_interval(stable_hash(id_));
	refuse_until(scaled(wait, spread), std::move(reason));
}

void exchange::refuse_until(duration wait, std::string reason)
{
	send_local_reply(unavailable, std::move(reason), {{"Retry-After", seconds_text(wait)}});
}

void exchange::fail(int status, std::string reason)
{
	if (response_started_)
	{
		sink_->abort_stream();
		finish(request_outcome::broken_off, 0, std::move(reason));
		return;
	}
	// A refusal states that no replica ran the request; the caller must not be told so if one may have.
	if (execution_ == execution::not_run)
	{
		refuse(unavailable, std::move(reason));
		return;
	}
	send_local_reply(status == gateway_timeout ? gateway_timeout : bad_gateway, std::move(reason), {});
}

forwarding_result exchange::result_of_local_reply() const
{
	const bool was_run = execution_ != execution::not_run;
	const auto refusal = is_unavailable_here_ ? forwarding_outcome::unavailable : forwarding_outcome::refused;
	return {was_run ? forwarding_outcome::failed : refusal, attempt_count_,
		last_replica_ ? last_replica_->id : replica_id{}};
}

void exchange::send_local_reply(int status, std::string reason, header_fields fields)
{
	if (use_held_response())
	{
		return;
	}
	if (!id_.empty())
	{
		fields.push_back({shared_.names().request_id, id_});
	}
	fields.push_back({"Content-Type", "text/plain"});
	if (origin_)
	{
		fields.push_back({forwarding_result_header, write_result(result_of_local_reply())});
	}
	const auto outcome =
		execution_ == execution::not_run ? request_outcome::refused : request_outcome::failed;
	const auto sink = sink_;
	auto body = reason + "\n";
	finish(outcome, status, std::move(reason));
	sink->send({status, {}, std::move(fields), std::move(body)});
}

void exchange::finish(request_outcome outcome, int status, std::string reason)
{
	finished_ = true;
	end_attempt(false);
	end_hop(false);
	drop_held_response();
	deadline_timer_.cancel();
	const auto now = steady_now();
	request_record record;
	record.id = id_;
	record.content_key = content_keys_.request.str();
	for (const auto& part : content_keys_.parts)
	{
		record.parts.push_back(part.str());
	}
	record.route = route_ == nullptr ? "" : route_->id.str();
	record.workspace = workspace_ == nullptr ? "" : workspace_->id.str();
	record.replica =
		last_replica_ && last_replica_id_.empty() ? last_replica_->id.str() : last_replica_id_.str();
	record.forwarded_to = asked_vms_.empty() ? "" : asked_vms_.back().str();
	record.forwarded_by = origin_ ? origin_->origin.str() : "";
	record.version = last_replica_ ? last_replica_->version : "";
	record.model = route_ == nullptr || route_->models.empty() ? "" : route_->models[model_step_.index].str();
	record.outcome = outcome;
	record.status = status;
	record.reason = std::move(reason);
	record.replaced_status = replaced_status_;
	record.attempts = attempt_count_;
	record.failed_connections = failed_connections_;
	record.refused_connections = refused_connections_;
	record.elapsed = now - arrived_;
	record.first_byte = first_byte_time_;
	record.escalation = escalation_choice_;
	record.priority = route_ == nullptr ? 0 : request_priority();
	record.is_held_used = is_held_used_;
	record.config_version = catalog_ ? catalog_->version().value() : 0;
	record.config_age = shared_.catalog_age(now).value_or(duration{0});
	record.replicas_age = shared_.replicas_age(now).value_or(duration{0});
	record.replica_is_suspected = last_was_missing_;
	shared_.log().record_request(record, now);
	if (origin_ && started_)
	{
		shared_.end_forwarded();
	}
}
} // namespace gingerdyke::proxy
