// SPDX-License-Identifier: MIT
// Claims: won in group commits, recorded when done, released when given up.
#include <gingerdyke/claims/book.hpp>

namespace gingerdyke::claims
{
namespace
{
constexpr std::size_t calls_in_flight = 2;
constexpr unsigned release_tries_if_unaccounted = 4;
} // namespace

book::book(vm_incarnation self, book_limits limits) : self_(std::move(self)), limits_(limits) {}

std::string book::row_key(const claim_request& request) const
{
	return request.workspace.str() + "/" + request.key.str();
}

json book::held_value(const claim_request& request) const
{
	return {{"state", "held"}, {"vm", self_.vm.str()}, {"incarnation", self_.incarnation},
		{"request", request.request.str()}, {"fingerprint", request.fingerprint}};
}

json book::done_value(const claim& claim) const
{
	auto value = held_value(claim.request);
	const auto& outcome = *claim.outcome;
	value["state"] = "done";
	value["status"] = outcome.status;
	value["content_type"] = outcome.content_type;
	value["body_kept"] = outcome.body_kept;
	value["body"] = outcome.body;
	return value;
}

claim_step book::start(const claim_request& request, instant now)
{
	claim fresh;
	fresh.request = request;
	fresh.deadline = now + limits_.patience;
	fresh.retry_at = now;
	claims_.insert_or_assign(request.ref, std::move(fresh));
	return {send_due(now), {}};
}

claim_step book::release(ticket ref, instant now)
{
	const auto found = claims_.find(ref);
	if (found == claims_.end())
	{
		return {};
	}
	auto& claim = found->second;
	claim_step step;
	claim.answered = true;
	const bool call_is_open = claim.at == phase::inserting || claim.at == phase::reading;
	if (!call_is_open)
	{
		give_up(ref, claim, now, step);
	}
	step.out = send_due(now);
	return step;
}

claim_step book::record(ticket ref, recorded_outcome outcome, instant now)
{
	const auto found = claims_.find(ref);
	if (found == claims_.end() || found->second.at != phase::held)
	{
		return {};
	}
	outcome.body_kept = outcome.body.size() <= limits_.body_limit;
	if (!outcome.body_kept)
	{
		outcome.body.clear();
	}
	auto& claim = found->second;
	claim.outcome = std::move(outcome);
	claim.at = phase::to_record;
	claim.retry_at = now;
	claim.deadline = now + limits_.release_limit;
	return {send_due(now), {}};
}

void book::leave_unknown(ticket ref)
{
	claims_.erase(ref);
}

bool book::add_operations(claim& claim, instant now, store::transaction& body) const
{
	if (now < claim.retry_at)
	{
		return false;
	}
	const auto key = row_key(claim.request);
	switch (claim.at)
	{
	case phase::wanted:
		body.push_back(store::insert{claims_table, key, held_value(claim.request)});
		claim.at = phase::inserting;
		return true;
	case phase::to_read:
		body.push_back(store::read{claims_table, key});
		claim.at = phase::reading;
		return true;
	case phase::to_release:
		body.push_back(store::erase_if{claims_table, key, held_value(claim.request)});
		claim.at = phase::releasing;
		return true;
	case phase::to_record:
		// Repeating both is harmless: neither applies where the outcome stands already.
		body.push_back(store::erase_if{claims_table, key, held_value(claim.request)});
		body.push_back(store::insert{claims_table, key, done_value(claim)});
		claim.at = phase::recording;
		return true;
	default:
		return false;
	}
}

effects book::send_due(instant now)
{
	effects result;
	while (calls_.size() < calls_in_flight)
	{
		store::transaction body;
		std::vector<part> parts;
		for (auto& [ref, claim] : claims_)
		{
			if (parts.size() < limits_.batch && add_operations(claim, now, body))
			{
				parts.push_back({ref, body.size() - 1});
			}
		}
		if (parts.empty())
		{
			break;
		}
		const call_id id{call_owner::claims, next_call_++};
		calls_.emplace(id.number, std::move(parts));
		result.emplace_back(call_store{id, store::priority::claim, std::move(body)});
	}
	return result;
}

claim_step book::on_answer(std::uint64_t call, const store::answer& answer, instant now)
{
	const auto found = calls_.find(call);
	if (found == calls_.end())
	{
		return {};
	}
	const auto parts = std::move(found->second);
	calls_.erase(found);
	claim_step step;
	for (const auto& part : parts)
	{
		take_result(part.ref, answer, part.index, now, step);
	}
	step.out = send_due(now);
	return step;
}

void book::take_result(
	ticket ref, const store::answer& answer, std::size_t index, instant now, claim_step& step)
{
	const auto found = claims_.find(ref);
	if (found == claims_.end())
	{
		return;
	}
	auto& claim = found->second;
	const bool usable = answer.what == store::verdict::committed && index < answer.results.size();
	switch (claim.at)
	{
	case phase::inserting:
	case phase::reading:
		if (usable)
		{
			take_row(ref, claim, answer.results[index].standing, now, step);
		}
		else
		{
			take_failure(ref, claim, answer.what, now, step);
		}
		break;
	case phase::releasing:
		take_release(ref, claim, answer, index, now);
		break;
	case phase::recording:
		take_record(ref, claim, answer, now);
		break;
	default:
		break;
	}
}

void book::take_row(ticket ref, claim& claim, const store::row& row, instant now, claim_step& step)
{
	if (!row.value)
	{
		// Read back and absent: the lost insert did not take effect so far.
		claim.at = phase::wanted;
		if (claim.answered)
		{
			give_up(ref, claim, now, step);
		}
		return;
	}
	const bool ours = *row.value == held_value(claim.request);
	if (ours && !claim.answered && now < claim.deadline)
	{
		claim.at = phase::held;
		claim.insert_unaccounted = false;
		decide(claim, claim_won{}, step);
		return;
	}
	if (ours)
	{
		claim.at = phase::held;
		claim.insert_unaccounted = false;
		give_up(ref, claim, now, step);
		return;
	}
	if (!claim.answered)
	{
		decide(claim, verdict_of(claim, *row.value), step);
	}
	claims_.erase(ref);
}

void book::take_failure(ticket ref, claim& claim, store::verdict what, instant now, claim_step& step)
{
	const bool inserting = claim.at == phase::inserting;
	if (inserting && what == store::verdict::no_answer)
	{
		claim.insert_unaccounted = true;
		if (!claim.answered)
		{
			claim.at = phase::to_read;
			return;
		}
	}
	give_up(ref, claim, now, step);
}

void book::give_up(ticket ref, claim& claim, instant now, claim_step& step)
{
	if (!claim.answered)
	{
		decide(claim, claim_unavailable{}, step);
	}
	const bool may_stand = claim.insert_unaccounted || claim.at == phase::held;
	if (!may_stand)
	{
		claims_.erase(ref);
		return;
	}
	claim.at = phase::to_release;
	claim.retry_at = now;
	claim.deadline = now + limits_.release_limit;
}

void book::take_release(ticket ref, claim& claim, const store::answer& answer, std::size_t index, instant now)
{
	const bool answered = answer.what == store::verdict::committed && index < answer.results.size();
	const bool applied = answered && answer.results[index].applied;
	claim.release_tries += answered ? 1 : 0;
	const bool enough = !claim.insert_unaccounted || claim.release_tries >= release_tries_if_unaccounted;
	if (applied || (answered && enough) || now >= claim.deadline)
	{
		claims_.erase(ref);
		return;
	}
	claim.at = phase::to_release;
	claim.retry_at = now + limits_.retry_pause * (1 + claim.release_tries);
}

void book::take_record(ticket ref, claim& claim, const store::answer& answer, instant now)
{
	if (answer.what == store::verdict::committed || now >= claim.deadline)
	{
		claims_.erase(ref);
		return;
	}
	claim.at = phase::to_record;
	claim.retry_at = now + limits_.retry_pause;
}

claim_step book::on_tick(instant now)
{
	claim_step step;
	std::vector<ticket> late;
	for (const auto& [ref, claim] : claims_)
	{
		const bool settled = claim.at == phase::held || claim.answered;
		if (!settled && now >= claim.deadline)
		{
			late.push_back(ref);
		}
	}
	for (const auto ref : late)
	{
		auto& claim = claims_.at(ref);
		const bool call_is_open = claim.at == phase::inserting || claim.at == phase::reading;
		decide(claim, claim_unavailable{}, step);
		if (!call_is_open)
		{
			give_up(ref, claim, now, step);
		}
	}
	step.out = send_due(now);
	return step;
}

void book::decide(claim& claim, claim_verdict verdict, claim_step& step)
{
	claim.answered = true;
	step.answers.push_back({claim.request.ref, std::move(verdict)});
}

claim_verdict book::verdict_of(const claim& claim, const json& standing)
{
	if (standing.value("fingerprint", "") != claim.request.fingerprint)
	{
		return claim_mismatch{};
	}
	if (standing.value("state", "") != "done")
	{
		return claim_held{};
	}
	return claim_replayed{{standing.value("status", 0), standing.value("content_type", ""),
		standing.value("body", ""), standing.value("body_kept", false)}};
}
} // namespace gingerdyke::claims
