// SPDX-License-Identifier: MIT
// The registry, read through another VM where that is as good.
#include <gingerdyke/control/shared_store.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
shared_store::shared_store(proxy::asio::io_context& context, row_store& registry, source_selector& sources,
	shared_store_hooks hooks, shared_store_tuning tuning)
	: context_(context), registry_(registry), sources_(sources), hooks_(std::move(hooks)),
	  tuning_(std::move(tuning))
{
}

void shared_store::read_all(const std::string& table, std::function<void(store_result<row_batch>)> done)
{
	read({table, std::nullopt, tuning_.whole_wait, std::move(done), 0, tuning_.sources_to_start});
}

void shared_store::follow(const std::string& table, row_version after, duration wait,
	std::function<void(store_result<row_batch>)> done)
{
	read({table, after, wait, std::move(done), 0, tuning_.sources_to_follow});
}

void shared_store::change(const row_change& what, std::function<void(store_result<change_answer>)> done)
{
	registry_.change(what, std::move(done));
}

/// Calls to other VMs go on: where the registry turns this VM away several times a second, they would never
/// last long enough to bring anything.
void shared_store::abandon()
{
	registry_.abandon();
}

void shared_store::read(read_call call)
{
	if (should_wait(call))
	{
		wait_for_reader(std::move(call));
		return;
	}
	const auto source = sources_.choose(call.table, proxy::steady_now());
	note_source(source);
	if (source && call.failures < call.most_failures)
	{
		read_peer(*source, std::move(call));
	}
	else
	{
		read_registry(std::move(call));
	}
}

bool shared_store::should_wait(const read_call& call) const
{
	const bool is_out_of_sources = call.failures > 0 && call.failures >= call.most_failures;
	return is_out_of_sources && call.after && !call.has_waited && sources_.position() >= tuning_.patient_from;
}

void shared_store::wait_for_reader(read_call call)
{
	call.has_waited = true;
	call.failures = 0;
	const auto timer = std::make_shared<proxy::asio::steady_timer>(context_, tuning_.patience);
	timer->async_wait(
		[this, timer, call = std::move(call)](const proxy::error_code& error) mutable
		{
			if (!error)
			{
				read(std::move(call));
			}
		});
}

void shared_store::read_registry(read_call call)
{
	const auto done = [this, inner = call.done](store_result<row_batch> result)
	{
		const bool failed = !result && result.error() != store_error::history_gone;
		if (failed)
		{
			sources_.note_unusable(std::nullopt, proxy::steady_now());
		}
		else
		{
			sources_.note_good(std::nullopt);
		}
		inner(std::move(result));
	};
	if (call.after)
	{
		registry_.follow(call.table, *call.after, call.wait, done);
	}
	else
	{
		registry_.read_all(call.table, done);
	}
}

void shared_store::read_peer(const peer& from, read_call call)
{
	relay_poll poll;
	poll.table = call.table;
	poll.after = call.after;
	poll.oldest = call.after ? std::optional{oldest_of(call)} : std::nullopt;
	poll.report = call.after ? hooks_.report(call.table) : std::nullopt;
	const auto share = call.after ? tuning_.wait_share : 1.0;
	poll.wait = scaled(call.wait, share);
	const auto limit = poll.wait + (call.after ? tuning_.answer_limit : duration{0});
	const auto sent_at = proxy::steady_now();
	client_of(from)->call(poll, limit,
		[this, from, sent_at, wait = poll.wait, call = std::move(call)](
			store_result<row_batch> result) mutable
		{
			if (result && result->rows.empty() && proxy::steady_now() - sent_at >= wait)
			{
				result->held = wait;
			}
			on_peer_answer(from, std::move(call), std::move(result));
		});
}

void shared_store::on_peer_answer(const peer& from, read_call call, store_result<row_batch> result)
{
	if (!result && result.error() == store_error::history_gone)
	{
		call.done(std::move(result));
		return;
	}
	// A whole table comes late only; it is judged by what follows.
	const bool is_fresh = result && (!call.after || result->age <= oldest_of(call));
	if (is_fresh)
	{
		if (result->is_second_hand)
		{
			sources_.note_unusable(from, proxy::steady_now());
		}
		else
		{
			sources_.note_good(from);
		}
		call.done(std::move(result));
		return;
	}
	log::write(log::level::info, "source given up",
		{{"vm", from.vm.str()}, {"table", call.table}, {"why", result ? "old copy" : name_of(result.error())},
			{"age_ms", result ? to_milliseconds(result->age) : 0.0}});
	++call.failures;
	give_up_source(from, call.table, result.has_value());
	read(std::move(call));
}

/// \param answered It gave a copy, an old one.
void shared_store::give_up_source(const peer& from, const std::string& table, bool answered)
{
	const auto now = proxy::steady_now();
	if (answered && table != tuning_.contact_table)
	{
		sources_.note_old(from, table, now);
		return;
	}
	if (answered)
	{
		sources_.note_out_of_contact(from, now);
	}
	else
	{
		sources_.note_unusable(from, now);
	}
	// Its other calls would only end later, or bring what is no longer true.
	client_of(from)->abandon();
}

/// How old a copy may be that answers a call for changes.
duration shared_store::oldest_of(const read_call& call) const
{
	return call.wait + tuning_.copy_margin;
}

void shared_store::note_source(const std::optional<peer>& source)
{
	auto name = source ? source->vm.str() : std::string{"registry"};
	if (last_source_ != name)
	{
		log::write(log::level::info, "reading from", {{"source", name}});
		last_source_ = std::move(name);
		hooks_.moved(!source);
	}
}

std::shared_ptr<relay_client> shared_store::client_of(const peer& to)
{
	auto& known = clients_[to.vm];
	if (!known || known->to() != to)
	{
		known = std::make_shared<relay_client>(context_, to, hooks_.summarised);
	}
	return known;
}
} // namespace gingerdyke::control
