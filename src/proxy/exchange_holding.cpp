// SPDX-License-Identifier: MIT
// Handling of a request: the response of a smaller model while the larger model's is tried for.
#include <gingerdyke/proxy/exchange.hpp>
#include <utility>

namespace gingerdyke::proxy
{
namespace
{
constexpr int first_success = 200;
} // namespace

/// Keeps the response of the current attempt, so that another attempt can be made beside it.
void exchange::hold_response()
{
	drop_held_response();
	attempt_timer_.cancel();
	record_answered();
	release_prefill_work();
	attempt_->is_stream = route_->streams;
	events_.drop_partial();
	held_.emplace(std::move(*attempt_), events_);
	attempt_.reset();
}

bool exchange::is_held(const upstream_connection* by) const
{
	return held_ && held_->source().connection.get() == by;
}

void exchange::on_held_body(std::string_view bytes)
{
	const auto now = steady_now();
	held_->source().last_byte_at = now;
	shared_.paths().record_response(*held_->source().target, now);
	record_long_answer(held_->source());
	const auto state = held_->add(bytes, now);
	if (state == held_state::broken)
	{
		on_held_fault(upstream_fault::invalid_response);
	}
	else if (state == held_state::full || shared_.memory().is_short())
	{
		use_held_response();
	}
	else
	{
		held_->source().connection->set_collected(held_->size());
	}
}

void exchange::on_held_end()
{
	if (held_->end() == held_state::broken)
	{
		on_held_fault(upstream_fault::truncated_response);
		return;
	}
	held_->source().run_outcome = quarantine::run_outcome::completed;
	conclude(held_->source(), true);
	keep_whole_held_response();
}

/// While too much is kept, the held response is passed on instead of waiting for a better one.
void exchange::keep_whole_held_response()
{
	limits::memory_hooks hooks;
	hooks.give_up = [this]
	{
		asio::post(shared_.context(),
			[self = shared_from_this()]
			{
				if (!self->finished_ && self->held_ && self->held_->is_whole())
				{
					self->use_held_response();
				}
			});
	};
	hooks.resume = [] {};
	held_bytes_.emplace(
		shared_.memory_ptr(), limits::memory_use::response, held_->source().target.get(), std::move(hooks));
	held_bytes_->resize(held_->size());
}

/// The request goes on as if the response had not been held.
void exchange::on_held_fault(upstream_fault fault)
{
	const auto now = steady_now();
	auto source = held_->source();
	if (fault == upstream_fault::timed_out)
	{
		record_path_failure(*source.target, fault);
	}
	record_given_up(*source.connection, fault);
	if (fault != upstream_fault::out_of_memory && !is_response_content_fault(fault))
	{
		shared_.exit_detector().record_broken_response(source.target, now);
	}
	record_broken_off(source, fault);
	if (fault != upstream_fault::out_of_memory)
	{
		shared_.selector().record_result(
			*source.target, routing::replica_result::no_response, source.first_byte, now);
	}
	drop_held_response();
}

/// Gives up whatever is tried beside the held response, and passes that on.
///
/// \returns Whether a response was held.
bool exchange::use_held_response()
{
	if (!held_)
	{
		return false;
	}
	end_attempt(false);
	end_hop(false);
	stop_waiting();
	auto held = std::move(*held_);
	held_.reset();
	held_bytes_.reset();
	is_held_used_ = true;
	is_unavailable_here_ = false;
	model_step_ = held.source().model_step;
	last_replica_ = held.source().target;
	last_replica_id_ = {};
	record_admitted_response(held.source());
	events_ = held.parser();
	held.is_whole() ? pass_on_whole(held) : continue_with(held);
	return true;
}

/// The request no longer waits for a slot, or for news on suspected requests.
void exchange::stop_waiting()
{
	is_awaiting_slot_ = false;
	slot_timer_.cancel();
	++wait_number_;
}

/// The attempt of a whole response has ended already.
void exchange::pass_on_whole(held_response& held)
{
	auto& source = held.source();
	if (!source.is_stream)
	{
		send_buffered_response(source.head, source.body.take());
		return;
	}
	write_events(source.head, held.events());
	if (!finished_)
	{
		sink_->end_stream();
		finish(request_outcome::served, first_success, {});
	}
}

void exchange::continue_with(const held_response& held)
{
	attempt_ = held.source();
	attempt_->connection->set_collected(attempt_->body.size() + events_.partial_size());
	write_events(held.source().head, held.events());
	if (attempt_)
	{
		arm_event_timer();
		await_caller();
	}
}

/// Closes the connection of the held response, if there is one; its replica then stops its work.
void exchange::drop_held_response()
{
	if (!held_)
	{
		return;
	}
	if (!held_->is_whole())
	{
		conclude(held_->source(), false);
	}
	held_.reset();
	held_bytes_.reset();
}
} // namespace gingerdyke::proxy
