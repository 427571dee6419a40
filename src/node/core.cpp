// SPDX-License-Identifier: MIT
// One entry VM's whole decision making: hands each event to the part it is for, and what comes of it on.
#include <gingerdyke/node/core.hpp>

namespace gingerdyke::node
{
namespace
{
/// A host gives a tick every few milliseconds: a longer silence means that the VM was paused.
constexpr duration pause_limit = std::chrono::seconds{1};
} // namespace

core::core(const identity& self, const std::vector<membership::member>& seeds, const random_source& random,
	const core_tuning& tuning)
	: self_(self), live_(self.self, seeds), spread_(live_, random, tuning.spread), editor_(spread_),
	  claims_({self.self.vm, self.incarnation}, tuning.claims), outbox_(live_, tuning.outbox),
	  journal_(live_, tuning.journal), gate_(live_, tuning.gate), permits_(live_, tuning.permits),
	  board_(random, tuning.board), cascades_(random, tuning.cascades),
	  versions_(suspensions_, gate_, random), limiter_(live_),
	  desk_({live_, spread_, claims_, outbox_, board_, cascades_, versions_, gate_, limiter_}, tuning.desk)
{
}

actions core::step(const event& event, instant now)
{
	actions out;
	if (last_step_ && now - *last_step_ > pause_limit)
	{
		on_resumed(now, out);
	}
	last_step_ = now;
	std::visit([&](const auto& one) { on(one, now, out); }, event);
	return out;
}

void core::on_resumed(instant now, actions& out)
{
	desk_.on_resumed(now);
	spread_.poll_soon();
	run(spread_.announce(now), out);
}

void core::run(effects effects, actions& out)
{
	for (auto& one : effects)
	{
		std::visit([&](auto& effect) { out.emplace_back(std::move(effect)); }, one);
	}
}

void core::run(claims::claim_step step, instant now, actions& out)
{
	run(std::move(step.out), out);
	if (!step.answers.empty())
	{
		run(desk_.on_claims(step.answers, now), now, out);
	}
}

void core::run(ledger::outbox_step step, instant now, actions& out)
{
	run(std::move(step.out), out);
	if (!step.ready.empty())
	{
		run(desk_.on_journalled(step.ready, now), now, out);
	}
}

void core::run(desk_step step, instant /*now*/, actions& out)
{
	run(std::move(step.out), out);
	for (auto& order : step.orders)
	{
		out.emplace_back(std::move(order));
	}
}

void core::run(table::edit_step step, instant /*now*/, actions& out)
{
	run(std::move(step.out), out);
	for (auto& answer : step.answers)
	{
		out.emplace_back(std::move(answer));
	}
}

void core::run(rollout::permit_owner_step step, instant now, actions& out)
{
	run(std::move(step.out), out);
	suspend(step.suspended, now, out);
}

void core::on(const arrival& event, instant now, actions& out)
{
	run(desk_.on_arrival(event, now), now, out);
}

void core::on(const attempt_report& event, instant now, actions& out)
{
	run(desk_.on_report(event, now), now, out);
}

void core::on(const progress_report& event, instant /*now*/, actions& /*out*/)
{
	desk_.on_progress(event);
}

void core::on(const rating_report& event, instant /*now*/, actions& /*out*/)
{
	desk_.on_rating(event);
}

/// Hands a peer's message to the part that it is for.
struct core::message_taker
{
	core& node;
	const peer::envelope& from;
	instant now;
	actions& out;

	void operator()(const peer::digest& body) const
	{
		if (body.leaving)
		{
			node.live_.record_draining(from.from.vm);
		}
		node.suspend(node.suspensions_.filter_unknown(body.suspensions), now, out);
		run(node.spread_.on_digest(from, body, now), out);
	}

	void operator()(const peer::table_pull& body) const
	{
		run(node.spread_.on_pull(from.from.vm, body), out);
	}

	void operator()(const peer::table_push& body) const
	{
		run(node.spread_.on_push(from.from.vm, body, now), out);
	}

	void operator()(const peer::member_push& body) const { node.live_.apply(body.list); }

	void operator()(const peer::journal_put& body) const
	{
		run(node.journal_.on_put(from.from, body, now), out);
	}

	void operator()(const peer::journal_ack& body) const
	{
		node.run(node.outbox_.on_ack(from.from.vm, body, now), now, out);
	}

	void operator()(const peer::journal_forget& body) const { node.journal_.on_forget(from.from, body, now); }

	/// That the sender lives was noted already.
	void operator()(const peer::heartbeat& /*body*/) const {}

	void operator()(const peer::permit_request& body) const
	{
		if (const auto& table = node.spread_.current())
		{
			node.run(node.permits_.on_request(from.from.vm, body, *table, now), now, out);
		}
	}

	void operator()(const peer::permit_grant& body) const { node.gate_.on_grant(body, now); }

	void operator()(const peer::evidence_sum& body) const
	{
		if (const auto& table = node.spread_.current())
		{
			node.run(node.permits_.on_evidence_sum(body, *table, now), now, out);
		}
	}
};

void core::on(const peer_received& event, instant now, actions& out)
{
	journal_.on_heard(event.what.from, now);
	outbox_.on_heard(event.what.from);
	std::visit(message_taker{*this, event.what, now, out}, event.what.body);
}

void core::suspend(const std::vector<peer::suspension>& found, instant now, actions& out)
{
	bool grew = false;
	for (const auto& one : found)
	{
		grew = suspensions_.add(one) || grew;
	}
	if (!grew)
	{
		return;
	}
	spread_.set_digest_extras(suspensions_.list(), stopping_);
	run(spread_.announce(now), out);
}

void core::on(const store_answered& event, instant now, actions& out)
{
	switch (event.id.owner)
	{
	case call_owner::table_reader:
		run(spread_.on_answer(event.id.number, event.what, now), out);
		break;
	case call_owner::table_editor:
		run(editor_.on_answer(event.id.number, event.what, now), now, out);
		break;
	case call_owner::claims:
		run(claims_.on_answer(event.id.number, event.what, now), now, out);
		break;
	case call_owner::bills:
		run(outbox_.on_answer(event.id.number, event.what, now), now, out);
		break;
	case call_owner::journal:
		journal_.on_answer(event.id.number, event.what);
		break;
	case call_owner::rollout:
		break;
	}
}

void core::on(const members_fetched& event, instant /*now*/, actions& /*out*/)
{
	live_.apply(event.list);
}

void core::on(const edit_wanted& event, instant now, actions& out)
{
	run(editor_.start(event.edit, now), now, out);
}

void core::on(const tick& /*event*/, instant now, actions& out)
{
	run(spread_.on_tick(now), out);
	run(editor_.on_tick(now), now, out);
	run(claims_.on_tick(now), now, out);
	run(outbox_.on_tick(now), now, out);
	run(journal_.on_tick(now), out);
	run(desk_.on_tick(now), now, out);
	if (const auto& table = spread_.current())
	{
		suspensions_.remove_lifted(*table);
		spread_.set_digest_extras(suspensions_.list(), stopping_);
		run(gate_.on_tick(*table, now), out);
		run(permits_.on_tick(*table, now), now, out);
	}
}

void core::on(const stop_wanted& /*event*/, instant now, actions& out)
{
	stopping_ = true;
	spread_.set_digest_extras(suspensions_.list(), true);
	run(spread_.announce(now), out);
	run(outbox_.flush_now(now), now, out);
}

bool core::drained() const
{
	return stopping_ && desk_.open() == 0 && outbox_.unconfirmed() == 0;
}
} // namespace gingerdyke::node
