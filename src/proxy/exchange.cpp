// SPDX-License-Identifier: MIT
// One request: admission, attempts and endings. What its replica does is in exchange_answers.cpp.
#include <algorithm>
#include <charconv>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

/// Lowest rank that engines know.
constexpr unsigned lowest_rank = 9;

constexpr std::string_view any_model = "*";

/// The key in an `Authorization` header; none where it is of another scheme.
std::optional<std::string> key_in(const std::string* value, const std::string& scheme)
{
	if (value == nullptr || value->size() <= scheme.size() + 1 || !value->starts_with(scheme) ||
		(*value)[scheme.size()] != ' ')
	{
		return std::nullopt;
	}
	return value->substr(scheme.size() + 1);
}

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

void exchange::start()
{
	if (shared_.ready())
	{
		begin();
		return;
	}
	await_ready();
}

void exchange::await_ready()
{
	shared_.when_ready([self = shared_from_this()] { self->begin(); });
	deadline_timer_.expires_after(shared_.tuning().longest_start);
	deadline_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error)
			{
				self->begin();
			}
		});
}

void exchange::begin()
{
	if (over_ || std::exchange(begun_, true))
	{
		return;
	}
	if (!admit())
	{
		return;
	}
	read_deadline();
	shared_.budget(service_id_).note_request(arrived_);
	deadline_timer_.expires_after(std::max(time_left(), duration{0}));
	deadline_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			if (!error && !self->over_)
			{
				self->on_deadline();
			}
		});
	dispatch();
}

bool exchange::admit()
{
	const auto& names = shared_.names();
	catalog_ = shared_.catalog();
	if (const auto* id = request_.find(names.request_id))
	{
		id_ = *id;
	}
	if (!shared_.ready())
	{
		refuse(unavailable, "no configuration yet");
		return false;
	}
	if (id_.empty())
	{
		refuse(bad_request, "no request id");
		return false;
	}
	const auto* host = request_.find("Host");
	route_ = host == nullptr ? nullptr : catalog_->find_route(*host, request_.path());
	if (route_ == nullptr)
	{
		refuse(not_found, "no route");
		return false;
	}
	if (!shared_.takes_requests(route_->streams, arrived_))
	{
		refuse(unavailable, "stopping");
		return false;
	}
	if (!admit_key())
	{
		return false;
	}
	const auto* session = request_.find(names.session);
	session_point_ =
		mix_hash(stable_hash(session != nullptr ? *session : id_), stable_hash(route_->id.str()));
	service_id_ = routing::pick_service(*route_, session_point_);
	service_ = catalog_->find_service(service_id_);
	prompt_ = read_prompt(request_.find(names.token_counts), request_.find(names.prompt_parts));
	if (const auto* last = request_.find(names.last_event_id))
	{
		std::uint64_t number = 0;
		const auto read = std::from_chars(last->data(), last->data() + last->size(), number);
		events_ = event_stream{read.ec == std::errc{} ? std::optional{number} : std::nullopt};
	}
	return true;
}

bool exchange::admit_key()
{
	if (route_->is_public || !catalog_->needs_keys())
	{
		return true;
	}
	if (shared_.trust_in_keys(arrived_) == key_trust::stale)
	{
		refuse(unavailable, "configuration too old to trust keys");
		return false;
	}
	const auto key = key_in(request_.find("Authorization"), shared_.names().key_scheme);
	workspace_ = key ? catalog_->find_workspace(*key) : nullptr;
	if (workspace_ == nullptr)
	{
		refuse(unauthorized, "unknown key");
		return false;
	}
	return true;
}

void exchange::read_deadline()
{
	auto span = route_->time_limit;
	if (const auto* text = request_.find(shared_.names().deadline_ms))
	{
		std::uint64_t ms = 0;
		if (std::from_chars(text->data(), text->data() + text->size(), ms).ec == std::errc{})
		{
			span = std::min<duration>(span, std::chrono::milliseconds{ms});
		}
	}
	ends_at_ = arrived_ + span;
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
		give_up(unavailable, "no replica");
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
	const auto now = steady_now();
	const bool is_engine = service_ != nullptr && service_->is_engine;
	// An idle engine is always tried: else an estimate that is far too high would never be corrected.
	const bool is_idle = shared_.selector().work_at(at, now) <= 0;
	if (!is_engine || is_idle || trace_ != trace::not_run)
	{
		return std::nullopt;
	}
	const auto expected = shared_.first_tokens(service_id_).expected(work_before_first_token(at), now);
	if (expected < time_left() * shared_.tuning().refusal_margin)
	{
		return std::nullopt;
	}
	return std::max(expected - route_->objective, shared_.tuning().retry_after);
}

routing::replica_ptr exchange::choose_replica() const
{
	const auto now = steady_now();
	auto& versions = shared_.versions();
	std::string version = versions.version_for(service_id_, session_point_, now);
	routing::selection what;
	what.service = service_id_;
	what.affinity = route_->keeps_prefixes ? prompt_.shared_parts : 0;
	what.model_weight = model_weight();
	what.shared_work = prompt_.shared_tokens * what.model_weight;
	what.is_engine = service_ != nullptr && service_->is_engine;
	what.usable = [&](const routing::replica& one)
	{
		const bool was_tried = std::find(tried_.begin(), tried_.end(), one.id) != tried_.end();
		return !was_tried && (version.empty() || one.version == version) && has_room(one);
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
	last_replica_ = to->id.str();
	attempt_.emplace();
	attempt_->to = to;
	attempt_->sent_at = now;
	attempt_->trace_before = trace_;
	attempt_->size = size_;
	// From here on a replica may run it at any moment, whatever is heard of it.
	trace_ = trace::may_have_run;
	attempt_->link = shared_.pool().take(to, route_->may_run_again(), now);
	attempt_->work_ahead = work_before_first_token(*to);
	attempt_->reading_work = prompt_.tokens_in * model_weight();
	attempt_->work = attempt_->reading_work + prompt_.generating_work() * model_weight();
	shared_.selector().note_sent(to->id, attempt_->work);
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
/// looked busier than those with prompts to read: mean credit less prices 0.606 in place of 0.596 (5 days
/// with trouble, 8 seeds each).
void exchange::note_prompt_read()
{
	shared_.selector().note_part_done(attempt_->to->id, attempt_->reading_work);
	attempt_->work -= attempt_->reading_work;
	attempt_->reading_work = 0;
}

void exchange::end_attempt(bool answered_whole)
{
	if (!attempt_)
	{
		return;
	}
	attempt_timer_.cancel();
	shared_.selector().note_over(attempt_->to->id, attempt_->work);
	if (!answered_whole)
	{
		attempt_->link->close();
	}
	shared_.pool().give_back(attempt_->link, steady_now());
	attempt_.reset();
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
	line.route = route_ == nullptr ? "" : route_->id.str();
	line.workspace = workspace_ == nullptr ? "" : workspace_->id.str();
	line.replica = last_replica_;
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
	shared_.log().note(line, now);
}
} // namespace gingerdyke::proxy
