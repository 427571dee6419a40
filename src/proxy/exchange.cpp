// SPDX-License-Identifier: MIT
// One request: attempts and endings. Its admission is in exchange_admission.cpp, what its replica does in
// exchange_answers.cpp.
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

/// Lowest rank that engines know.
constexpr unsigned lowest_rank = 9;

constexpr std::string_view any_model = "*";

std::string seconds_text(duration span)
{
	constexpr duration::rep thousandth = 1000;
	const auto thousandths = span.count() / thousandth;
	const auto fraction = std::to_string(thousandth + thousandths % thousandth).substr(1);
	return std::to_string(thousandths / thousandth) + "." + fraction;
}
} // namespace

exchange::exchange(gateway& shared, request what, std::shared_ptr<answer_sink> to)
	: shared_(shared), request_(std::move(what)), to_(std::move(to)), arrived_(steady_now()),
	  deadline_timer_(shared.context()), attempt_timer_(shared.context())
{
}

duration exchange::time_left() const
{
	return ends_at_ - steady_now();
}

void exchange::dispatch()
{
	const auto now = steady_now();
	if (workspace_ != nullptr && shared_.trust_in_keys(now) == key_trust::stale)
	{
		give_up(unavailable, "configuration too old to trust keys");
		return;
	}
	if (shared_.suspects().is_held(key_, now))
	{
		refuse_held();
		return;
	}
	if (shared_.suspects().is_open(key_, now))
	{
		// A round trip later it is known whether the replica ended, and whether others did with it.
		shared_.ends().when_settled(
			[self = shared_from_this()]
			{
				if (!self->over_)
				{
					self->dispatch();
				}
			});
		return;
	}
	if (time_left() < shared_.tuning().least_time)
	{
		give_up(gateway_timeout, "no time left");
		return;
	}
	if (attempts_ > 0 && !shared_.budget(service_id_).take(now))
	{
		give_up(unavailable, "retry budget used up");
		return;
	}
	if (attempts_ == 0)
	{
		size_ = routing::size_policy::first(*route_, route_->attempts > 1 && route_->may_run_again());
	}
	const auto replica = choose_replica();
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

/// None where the request may be served if it is sent now. One that could only end at its time limit would
/// keep its caller waiting for nothing, and its prompt would delay those that can still be served.
std::optional<duration> exchange::time_until_servable(const routing::replica& at) const
{
	if (!is_for_engines() || trace_ != trace::not_run)
	{
		return std::nullopt;
	}
	// An idle engine is always tried: else an estimate that is far too high would never be corrected.
	if (shared_.selector().work_at(at, steady_now()) <= 0)
	{
		return std::nullopt;
	}
	const auto expected = time_to_first_token(at);
	if (expected < time_left() * shared_.tuning().refusal_margin)
	{
		return std::nullopt;
	}
	return std::max(expected - route_->objective, shared_.tuning().retry_after);
}

routing::replica_ptr exchange::choose_replica() const
{
	const auto now = steady_now();
	if (shared_.suspects().is_nearly_held(key_, now))
	{
		// Both would be blamed for the end of a replica that they share: a request that only stood beside the
		// cause twice would be held back with it.
		const auto alone = choose_among(
			[&](const routing::replica& one) { return !shared_.runs_other_suspect(one, key_, now); });
		if (alone)
		{
			return alone;
		}
	}
	return choose_among([](const routing::replica&) { return true; });
}

routing::replica_ptr exchange::choose_among(const replica_filter& allowed) const
{
	const auto now = steady_now();
	auto& versions = shared_.versions();
	std::string version = versions.version_for(service_id_, session_point_, now);
	routing::selection what;
	what.service = service_id_;
	what.affinity = route_->keeps_prefixes ? prompt_.shared_parts : 0;
	what.model_weight = model_weight();
	what.shared_work = prompt_.shared_tokens * what.model_weight;
	what.is_engine = is_for_engines();
	what.usable = [&](const routing::replica& one)
	{
		const bool was_tried = std::find(tried_.begin(), tried_.end(), one.id) != tried_.end();
		return !was_tried && (version.empty() || one.version == version) && versions.is_in_use(one, now) &&
			   has_room(one) && shared_.may_send(one, now) && allowed(one);
	};
	auto chosen = shared_.selector().choose(what, now);
	if (!chosen)
	{
		version = versions.fallback_for(service_id_, session_point_, now);
		chosen = version.empty() ? nullptr : shared_.selector().choose(what, now);
	}
	return chosen;
}

bool exchange::has_room(const routing::replica& one) const
{
	const auto limit = service_ == nullptr ? 0 : service_->connections_per_replica;
	if (limit == 0 || shared_.pool().idle(one.id) > 0)
	{
		return true;
	}
	// Replicas reset connections beyond their limit, which counts those of all VMs.
	const auto share = limit / shared_.vm_count();
	return shared_.pool().open(one.id) < std::max(shared_.tuning().least_connections, share);
}

bool exchange::is_for_engines() const
{
	return service_ != nullptr && service_->is_engine;
}

/// A smaller model does the same work in less of an engine's time.
double exchange::model_weight() const
{
	if (service_ == nullptr)
	{
		return 1;
	}
	if (!route_->models.empty())
	{
		return service_->relative_cost(route_->models[size_.index]);
	}
	const auto* named = request_.find(shared_.names().model);
	return named == nullptr ? 1 : service_->relative_cost(model_id{*named});
}

double exchange::work_before_first_token(const routing::replica& at) const
{
	const auto own = prompt_.expected_reading() * model_weight();
	return shared_.selector().work_at(at, steady_now()) + own;
}

/// If the request were sent there now.
duration exchange::time_to_first_token(const routing::replica& at) const
{
	return shared_.first_tokens(service_id_).expected(work_before_first_token(at), steady_now());
}

header_fields exchange::fields_for(const routing::replica& to) const
{
	const auto& names = shared_.names();
	const bool chooses_model = !route_->models.empty();
	header_fields fields;
	for (auto& one : end_to_end(request_.fields))
	{
		const bool is_reserved = std::any_of(names.reserved.begin(), names.reserved.end(),
			[&](const std::string& name) { return same_name(name, one.name); });
		const bool is_replaced = same_name(one.name, names.deadline_ms) ||
								 (same_name(one.name, names.last_event_id) && events_.last_id());
		if (is_reserved || is_replaced || (workspace_ != nullptr && same_name(one.name, "Authorization")))
		{
			continue;
		}
		if (chooses_model && same_name(one.name, names.model) && one.value == any_model)
		{
			one.value = route_->models[size_.index].str();
		}
		fields.push_back(std::move(one));
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
		const auto own_rank = workspace_ == nullptr ? std::nullopt : workspace_->priority;
		const auto rank = std::min(lowest_rank, own_rank.value_or(route_->priority));
		fields.push_back({names.priority, std::to_string(rank)});
		if (events_.last_id())
		{
			fields.push_back({names.last_event_id, std::to_string(*events_.last_id())});
		}
	}
	return fields;
}

bool exchange::may_try_again() const
{
	return attempts_ < route_->attempts && time_left() >= shared_.tuning().least_time &&
		   (trace_ == trace::not_run || route_->may_run_again()) &&
		   shared_.budget(service_id_).left(steady_now()) >= 1;
}

void exchange::send_to(const routing::replica_ptr& to)
{
	const auto now = steady_now();
	++attempts_;
	last_replica_ = to;
	last_was_suspected_ = shared_.replicas().is_suspected(to->id);
	attempt_.emplace();
	attempt_->to = to;
	attempt_->sent_at = now;
	attempt_->trace_before = trace_;
	attempt_->size = size_;
	attempt_->run = shared_.ends().runs().begin(*to, key_, now);
	// From here on a replica may run it at any moment, whatever is heard of it.
	trace_ = trace::may_have_run;
	attempt_->is_cold = shared_.cold_replicas().is_cold(*to, now);
	attempt_->is_limited = shared_.announced().is_limited(*to);
	shared_.note_sent(*to, now);
	attempt_->link = shared_.pool().take(to, route_->may_run_again(), now);
	attempt_->work_ahead = work_before_first_token(*to);
	const auto weight = model_weight();
	attempt_->work = prompt_.tokens_in * weight + prompt_.generating_work() * weight;
	shared_.selector().note_sent(*to, attempt_->work);
	attempt_->connected = attempt_->link->was_used();
	arm_attempt_timer(attempt_->connected ? first_byte_limit() : shared_.tuning().connect_limit);

	const auto self = shared_from_this();
	upstream_hooks hooks;
	hooks.connected = [self] { self->on_connected(); };
	hooks.began = [self](answer_head head) { self->on_head(std::move(head)); };
	hooks.brought = [self](std::string_view bytes) { self->on_body(bytes); };
	hooks.ended = [self] { self->on_end(); };
	hooks.failed = [self](upstream_fault fault) { self->on_fault(fault); };
	upstream_request what{write_request(request_, fields_for(*to)), id_, request_.method == "HEAD"};
	if (route_->may_run_again())
	{
		what.unacknowledged_limit = shared_.tuning().unacknowledged_limit;
	}
	attempt_->link->send(std::move(what), hooks);
}

void exchange::try_again_or(const std::function<void()>& otherwise)
{
	if (!may_try_again())
	{
		otherwise();
		return;
	}
	events_.drop_partial();
	dispatch();
}

/// What an engine has read delays nobody else. Counted until the answer's end, engines with long answers
/// looked busier than those with prompts to read, and callers were sent to these.
void exchange::note_prompt_read()
{
	const auto read = prompt_.tokens_in * model_weight();
	shared_.selector().note_part_done(*attempt_->to, read);
	attempt_->work -= read;
}

void exchange::end_attempt(bool answered_whole)
{
	if (!attempt_)
	{
		return;
	}
	attempt_timer_.cancel();
	shared_.selector().note_over(*attempt_->to, attempt_->work);
	note_run_end();
	if (!answered_whole)
	{
		attempt_->link->close();
	}
	shared_.pool().give_back(attempt_->link, steady_now());
	attempt_.reset();
}

void exchange::note_run_end()
{
	const auto now = steady_now();
	auto& runs = shared_.ends().runs();
	if (attempt_->run_ends == quarantine::run_end::survived)
	{
		shared_.suspects().note_survived(key_, runs.life_of(*attempt_->to), now);
	}
	runs.end(*attempt_->to, attempt_->run, attempt_->run_ends, now);
}

void exchange::note_result(routing::replica_result result)
{
	shared_.selector().note_result(*attempt_->to, result, attempt_->first_byte, steady_now());
}

void exchange::cancel()
{
	if (over_)
	{
		return;
	}
	finish(request_outcome::abandoned, 0, "caller left");
}

void exchange::on_deadline()
{
	if (answer_begun_)
	{
		to_->break_off();
		finish(request_outcome::broken_off, 0, "time limit");
		return;
	}
	give_up(gateway_timeout, "time limit");
}

void exchange::refuse(int status, std::string reason)
{
	if (status == unavailable)
	{
		refuse_until(shared_.tuning().retry_after, std::move(reason));
		return;
	}
	answer_here(status, std::move(reason), {});
}

/// 502: a 503 would ask the caller to come back and end the next replica, and a 4xx would say that the
/// request is wrong, which is likely and not known.
void exchange::refuse_held()
{
	const std::string reason = "replicas end under this request";
	if (answer_begun_)
	{
		give_up(bad_gateway, reason);
		return;
	}
	answer_here(bad_gateway, reason, {});
}

/// Those who are told to wait for the same replicas come back one after the other.
void exchange::refuse_without_replica()
{
	const auto now = steady_now();
	auto [reason, wait] = shared_.why_unavailable(service_id_, now);
	if (trace_ != trace::not_run || answer_begun_)
	{
		give_up(unavailable, std::move(reason));
		return;
	}
	const auto spread = 1 + shared_.tuning().retry_spread * to_unit_interval(stable_hash(id_));
	refuse_until(scaled(wait, spread), std::move(reason));
}

void exchange::refuse_until(duration wait, std::string reason)
{
	answer_here(unavailable, std::move(reason), {{"Retry-After", seconds_text(wait)}});
}

void exchange::give_up(int status, std::string reason)
{
	if (answer_begun_)
	{
		to_->break_off();
		finish(request_outcome::broken_off, 0, std::move(reason));
		return;
	}
	// A refusal promises that nothing ran; where something may have, the caller must not be told so.
	if (trace_ == trace::not_run)
	{
		refuse(unavailable, std::move(reason));
		return;
	}
	answer_here(status == gateway_timeout ? gateway_timeout : bad_gateway, std::move(reason), {});
}

void exchange::answer_here(int status, std::string reason, header_fields fields)
{
	if (!id_.empty())
	{
		fields.push_back({shared_.names().request_id, id_});
	}
	fields.push_back({"Content-Type", "text/plain"});
	const auto outcome = trace_ == trace::not_run ? request_outcome::refused : request_outcome::failed;
	const auto sink = to_;
	auto body = reason + "\n";
	finish(outcome, status, std::move(reason));
	sink->send({status, {}, std::move(fields), std::move(body)});
}

void exchange::finish(request_outcome outcome, int status, std::string reason)
{
	over_ = true;
	end_attempt(false);
	deadline_timer_.cancel();
	const auto now = steady_now();
	request_line line;
	line.id = id_;
	line.content = key_.str();
	line.route = route_ == nullptr ? "" : route_->id.str();
	line.workspace = workspace_ == nullptr ? "" : workspace_->id.str();
	line.replica = last_replica_ ? last_replica_->id.str() : "";
	line.version = last_replica_ ? last_replica_->version : "";
	line.model = route_ == nullptr || route_->models.empty() ? "" : route_->models[size_.index].str();
	line.outcome = outcome;
	line.status = status;
	line.reason = std::move(reason);
	line.attempts = attempts_;
	line.took = now - arrived_;
	line.first_byte = first_byte_;
	line.choice = size_choice_;
	line.config = catalog_ ? catalog_->version().value() : 0;
	line.config_age = shared_.confirmed_age(now).value_or(duration{0});
	line.replicas_age = shared_.replicas_age(now).value_or(duration{0});
	line.replica_is_suspected = last_was_suspected_;
	shared_.log().note(line, now);
}
} // namespace gingerdyke::proxy
