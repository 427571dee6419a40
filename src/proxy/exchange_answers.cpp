// SPDX-License-Identifier: MIT
// One request: what its replica does, and what is made of it.
#include <algorithm>
#include <charconv>
#include <gingerdyke/proxy/exchange.hpp>
#include <gingerdyke/proxy/replica_statements.hpp>

namespace gingerdyke::proxy
{
namespace
{
constexpr int misdirected = 421;
constexpr int first_failure = 500;
constexpr int bad_gateway = 502;
constexpr int gateway_timeout = 504;

bool is_success(int status) noexcept
{
	constexpr int first = 200;
	constexpr int after = 300;
	return status >= first && status < after;
}
} // namespace

/// The connection may have taken hundreds of milliseconds to come up: the replica may have left meanwhile.
void exchange::on_connected()
{
	shared_.ends().runs().note_connected(*attempt_->to, attempt_->sent_at);
	if (!may_still_send())
	{
		take_back_attempt();
		dispatch();
		return;
	}
	shared_.cold_replicas().note_left(*attempt_->to, attempt_->sent_at, steady_now());
	if (!attempt_->is_limited)
	{
		shared_.announced().note_sent(*attempt_->to, steady_now());
	}
	attempt_->connected = true;
	arm_attempt_timer(first_byte_limit());
}

bool exchange::may_still_send() const
{
	const auto now = steady_now();
	const auto& to = *attempt_->to;
	// What counted as cold, or as limited, when it was chosen has its share already.
	const bool has_cold_share = attempt_->is_cold || shared_.cold_replicas().takes(to, now);
	const bool has_limit_share = attempt_->is_limited || shared_.announced().takes(to, now);
	return shared_.replicas().takes_work(to) && !shared_.evacuated().contains(to.domain) &&
		   !shared_.resting().is_resting(to, now) && has_cold_share && has_limit_share;
}

void exchange::on_head(answer_head head)
{
	const auto& names = shared_.names();
	attempt_->first_byte = steady_now() - attempt_->sent_at;
	attempt_->head = std::move(head);
	const auto& came = attempt_->head;
	note_statements(came);
	if (came.find(names.not_run) != nullptr || came.status == misdirected)
	{
		on_not_run();
		return;
	}
	if (is_foreign(came))
	{
		on_fault(upstream_fault::bad_answer);
		return;
	}
	const bool failed = came.status >= first_failure;
	auto sample = sample_of(attempt_->first_byte);
	sample.failed = failed;
	shared_.note_answer(*attempt_->to, sample);
	if (!failed)
	{
		note_first_token();
	}
	note_result(failed ? routing::replica_result::failed : routing::replica_result::answered);
	if (failed && may_try_again())
	{
		attempt_->run_ends = quarantine::run_end::over;
		tried_.push_back(attempt_->to->id);
		end_attempt(false);
		try_again_or([this] { give_up(bad_gateway, "replica failed"); });
		return;
	}
	if (is_success(came.status) && wants_larger_model(came))
	{
		end_attempt(false);
		try_again_or([this] { give_up(bad_gateway, "no larger model"); });
		return;
	}
	note_prompt_read();
	attempt_->is_stream = route_->streams && is_success(came.status);
	if (!attempt_->is_stream && answer_begun_)
	{
		// A stream that had begun can't be continued by another kind of answer.
		end_attempt(false);
		give_up(bad_gateway, "stream refused to go on");
	}
}

/// What another process says that has the replica's address now is not the replica's word.
void exchange::note_statements(const answer_head& head)
{
	if (head.status == misdirected || is_foreign(head))
	{
		return;
	}
	const auto& from = *attempt_->to;
	const auto now = steady_now();
	const auto said = read_statements(head, shared_.names(), std::chrono::system_clock::now());
	for (const auto& name : said.unknown)
	{
		shared_.unknown().note(statement_source::answer, name, from.id.str());
	}
	if (said.leaves)
	{
		shared_.note_leaving(from, id_);
	}
	if (said.rest)
	{
		shared_.resting().note_rest(from, *said.rest, id_, now);
	}
	else
	{
		shared_.resting().note_answer(from, attempt_->sent_at);
	}
	if (!said.unreadable.empty())
	{
		shared_.note_unreadable(from, said.unreadable);
	}
	if (!said.has_unclear_limit)
	{
		shared_.announced().note_answer(from, {said.load_limit, attempt_->sent_at, id_}, now);
	}
}

rollout::response_sample exchange::sample_of(duration took) const
{
	const auto& to = *attempt_->to;
	rollout::response_sample sample;
	sample.route = route_->id.str();
	sample.model = route_->models.empty() ? std::string{} : route_->models[attempt_->size.index].str();
	sample.relative_latency = rollout::relative_first_byte_latency(took, prompt_.tokens_in);
	sample.replica = routing::process_hash(to);
	return sample;
}

/// Nothing ran there: another replica may, as far as attempts go.
void exchange::on_not_run()
{
	const auto to = attempt_->to;
	const bool is_other = attempt_->head.status == misdirected;
	trace_ = attempt_->trace_before;
	attempt_->run_ends = quarantine::run_end::over;
	note_result(routing::replica_result::refused);
	tried_.push_back(to->id);
	end_attempt(false);
	if (is_other)
	{
		shared_.replicas().forget(to->id);
	}
	try_again_or([this] { give_up_refused(); });
}

/// Where all replicas rest, the caller is told when the first of them is back.
void exchange::give_up_refused()
{
	if (shared_.resting().time_until_back(service_id_, steady_now()) && !choose_replica())
	{
		refuse_without_replica();
		return;
	}
	give_up(bad_gateway, "replica refused");
}

bool exchange::is_foreign(const answer_head& head) const
{
	const auto& names = shared_.names();
	if (head.find(names.request_id) == nullptr || head.find("Content-Encoding") != nullptr)
	{
		return true;
	}
	return is_success(head.status) && head.find(names.signature) == nullptr;
}

/// Smaller models' first tokens mostly wait for other prompts: they would tell of the load, not of the speed.
void exchange::note_first_token()
{
	constexpr double least_weight = 0.5;
	if (is_for_engines() && model_weight() >= least_weight)
	{
		shared_.first_tokens(service_id_).note(attempt_->work_ahead, attempt_->first_byte, steady_now());
	}
}

bool exchange::wants_larger_model(const answer_head& head)
{
	const auto* text = head.find(shared_.names().confidence);
	if (text == nullptr || answer_begun_ || !attempt_->size.may_escalate || !may_try_again())
	{
		return false;
	}
	double confidence = 0;
	const auto read = std::from_chars(text->data(), text->data() + text->size(), confidence);
	return read.ec == std::errc{} && moves_to_larger_model(confidence);
}

/// Takes the larger model for the next attempt where that is worth it.
bool exchange::moves_to_larger_model(double confidence)
{
	const auto larger = routing::size_policy::after(*route_, attempt_->size);
	if (!larger)
	{
		return false;
	}
	size_ = *larger;
	const auto expected = expected_first_token();
	const auto threshold = shared_.sizes().threshold(*route_, expected);
	size_choice_ = size_choice{confidence, threshold, expected};
	if (confidence >= threshold)
	{
		size_ = attempt_->size;
		return false;
	}
	return true;
}

/// From the request's arrival, if it were sent now.
duration exchange::expected_first_token() const
{
	const auto to = choose_replica();
	if (!to)
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
	if (attempt_->is_stream)
	{
		on_events(bytes);
		return;
	}
	attempt_->body += bytes;
}

void exchange::on_events(std::string_view bytes)
{
	const auto batch = events_.feed(bytes);
	note_pace(attempt_->pace.note_events(batch.events.size(), steady_now()));
	for (const auto& event : batch.events)
	{
		if (!answer_begun_)
		{
			answer_begun_ = true;
			first_byte_ = steady_now() - arrived_;
			const auto& head = attempt_->head;
			to_->begin(head.status, head.reason, end_to_end(head.fields));
		}
		to_->pass(event);
	}
	if (batch.is_broken)
	{
		on_fault(upstream_fault::bad_answer);
		return;
	}
	if (!batch.events.empty() && route_->longest_pause)
	{
		arm_attempt_timer(scaled(*route_->longest_pause, shared_.tuning().pause_share));
	}
}

void exchange::note_pace(std::optional<duration> between_events)
{
	if (between_events)
	{
		auto sample = sample_of(duration{0});
		sample.kind = rollout::sample_kind::event_interval;
		sample.relative_latency = rollout::relative_event_interval(*between_events);
		shared_.note_answer(*attempt_->to, sample);
	}
}

void exchange::on_end()
{
	if (!attempt_)
	{
		return;
	}
	if (!attempt_->is_stream)
	{
		pass_on_whole();
		return;
	}
	if (!events_.between_events() || !answer_begun_)
	{
		on_fault(upstream_fault::cut_answer);
		return;
	}
	attempt_->run_ends = quarantine::run_end::survived;
	end_attempt(true);
	to_->end();
	finish(request_outcome::served, 200, {});
}

void exchange::pass_on_whole()
{
	const auto& head = attempt_->head;
	const auto status = head.status;
	whole_answer answer{status, head.reason, end_to_end(head.fields), std::move(attempt_->body)};
	first_byte_ = steady_now() - arrived_;
	const bool failed = status >= first_failure;
	attempt_->run_ends = failed ? quarantine::run_end::over : quarantine::run_end::survived;
	end_attempt(true);
	const auto sink = to_;
	finish(failed ? request_outcome::failed_by_replica : request_outcome::served, status,
		failed ? "replica failed" : "");
	sink->send(std::move(answer));
}

void exchange::on_fault(upstream_fault fault)
{
	if (!attempt_)
	{
		return;
	}
	if (fault == upstream_fault::not_connected || fault == upstream_fault::refused_connection)
	{
		on_not_connected(fault);
		return;
	}
	if (fault != upstream_fault::bad_answer)
	{
		shared_.ends().note_broken(attempt_->to, steady_now());
	}
	// A connection kept too long tells nothing about its replica.
	const bool is_stale_link = fault == upstream_fault::no_answer && attempt_->link->was_used();
	if (!is_stale_link)
	{
		note_result(routing::replica_result::no_answer);
		tried_.push_back(attempt_->to->id);
	}
	end_attempt(false);
	try_again_or([this, fault] { give_up(bad_gateway, name_of(fault)); });
}

/// Nothing was sent, so it counts neither as an attempt nor against the budget.
void exchange::take_back_attempt()
{
	trace_ = attempt_->trace_before;
	attempt_->run_ends = quarantine::run_end::over;
	tried_.push_back(attempt_->to->id);
	end_attempt(false);
	--attempts_;
	if (attempts_ > 0)
	{
		shared_.budget(service_id_).give_back();
	}
}

void exchange::on_not_connected(upstream_fault fault)
{
	note_result(routing::replica_result::not_connected);
	const auto to = attempt_->to;
	shared_.cold_replicas().note_unknown(*to, routing::cold_reason::unreachable, steady_now());
	take_back_attempt();
	if (fault == upstream_fault::refused_connection)
	{
		shared_.ends().note_refused(to, steady_now());
	}
	if (++failed_connections_ >= shared_.tuning().failed_connections)
	{
		give_up(bad_gateway, name_of(upstream_fault::not_connected));
		return;
	}
	dispatch();
}

duration exchange::first_byte_limit() const
{
	const auto& tuning = shared_.tuning();
	const auto share = route_->streams ? tuning.first_byte_share : tuning.whole_answer_share;
	return std::max(tuning.shortest_limit, scaled(route_->objective, share));
}

void exchange::arm_attempt_timer(duration span)
{
	attempt_timer_.expires_after(span);
	attempt_timer_.async_wait(
		[self = shared_from_this()](const error_code& error)
		{
			// A timer that was set anew may have been due already.
			const bool is_due = self->attempt_timer_.expiry() <= boot_clock::now();
			if (!error && !self->over_ && self->attempt_ && is_due)
			{
				self->on_attempt_timer();
			}
		});
}

void exchange::on_attempt_timer()
{
	if (!attempt_->connected)
	{
		on_not_connected(upstream_fault::not_connected);
		return;
	}
	// Where nothing else can be tried, what is under way may still come.
	if (!may_try_again() || !route_->may_run_again())
	{
		return;
	}
	if (attempt_->first_byte == duration{0})
	{
		auto sample = sample_of(steady_now() - attempt_->sent_at);
		sample.kind = rollout::sample_kind::no_response;
		shared_.note_answer(*attempt_->to, sample);
	}
	note_pace(attempt_->pace.note_given_up(steady_now()));
	note_result(routing::replica_result::no_answer);
	tried_.push_back(attempt_->to->id);
	end_attempt(false);
	try_again_or([this] { give_up(gateway_timeout, "replica silent"); });
}
} // namespace gingerdyke::proxy
