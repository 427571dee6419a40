// SPDX-License-Identifier: MIT
// A small world in virtual time: requests, their handlers, and upstreams.
#include "world.hpp"
#include "world_impl.hpp"
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>

namespace gingerdyke::test
{
namespace
{
constexpr duration upstream_latency = std::chrono::microseconds{400};
constexpr duration token_time = std::chrono::milliseconds{20};
constexpr duration silence_limit = std::chrono::seconds{5};
constexpr duration late_answer = std::chrono::seconds{4};
constexpr double load_of_idle = 0;

/// About a second's worth.
constexpr std::uint64_t chunks_per_progress = 50;

using node::attempt_end;
} // namespace

request_id world::send(const request_spec& spec, const vm_id& vm)
{
	auto& one = *vms_.at(vm);
	const request_id id{"request-" + std::to_string(next_request_++)};
	auto& record = history_.requests[id];
	record.id = id;
	record.workspace = workspace_id{spec.workspace};
	record.key = spec.key;
	record.repeatable = spec.key.empty() && (spec.kind == node::request_kind::chat || spec.path != "/orders");
	record.session = spec.session;
	record.vm = vm;
	record.sent = now_;
	record.tokens_wanted = spec.kind == node::request_kind::chat ? spec.tokens : 1;
	record.queue_limit = spec.workspace == "beta" ? std::chrono::seconds{20} : std::chrono::seconds{0};
	if (!one.alive || one.stopping)
	{
		// The balancer's connection is refused, or the front refuses at once.
		record.answers.emplace_back(now_, answer_kind::not_run);
		return id;
	}
	note("request " + id.str() + " (" + spec.target + (spec.streamed ? ", streamed" : "") +
		 (spec.key.empty() ? "" : ", key " + spec.key) + (spec.session.empty() ? "" : ", in a session") +
		 ") at " + vm.str());
	node::arrival arrival;
	arrival.ref = one.next_ref++;
	arrival.id = id;
	arrival.kind = spec.kind;
	arrival.key_digest = sha256_hex(spec.workspace);
	arrival.target = spec.target;
	arrival.wanted_class = class_id{spec.request_class};
	arrival.session = options_.switched_off == mutation::no_sessions ? std::string{} : spec.session;
	arrival.key = idempotency_key{spec.key};
	arrival.fingerprint = spec.target;
	arrival.streamed = spec.streamed;
	arrival.method = "POST";
	arrival.path = spec.path;
	one.requests.emplace(
		arrival.ref, open_request{id, spec, session::stream_check{id}, {}, {}, {}, {}, 0, false});
	on_vm(vm, one.incarnation, now_,
		[this, arrival](entry_vm& running)
		{
			reach(step::admit, running.self.vm);
			if (running.alive)
			{
				step_core(running, arrival);
			}
		});
	return id;
}

std::string world::session_of(const request_id& id) const
{
	const auto found = sessions_.find(id);
	return found == sessions_.end() ? std::string{} : found->second;
}

version_ref world::version_of(const request_id& id) const
{
	const auto last = std::find_if(history_.runs.rbegin(), history_.runs.rend(),
		[&](const run_record& run) { return run.request == id; });
	return last == history_.runs.rend() ? version_ref{} : last->version;
}

void world::carry_out(entry_vm& vm, const node::request_order& order)
{
	const auto found = vm.requests.find(order.ref);
	if (found == vm.requests.end())
	{
		return;
	}
	auto& request = found->second;
	if (const auto* dispatch = std::get_if<node::dispatch_order>(&order.what))
	{
		reach(step::dispatch, vm.self.vm);
		if (vm.alive)
		{
			start_attempt(vm, order.ref, *dispatch);
		}
		return;
	}
	if (std::holds_alternative<node::finish_order>(order.what))
	{
		reach(step::answered, vm.self.vm);
		if (!vm.alive)
		{
			return;
		}
		auto& record = history_.requests.at(request.id);
		record.chunks.insert(record.chunks.end(), request.held.begin(), request.held.end());
		record.chunk_owners.insert(request.held_owners.begin(), request.held_owners.end());
		give(vm, order.ref, answer_kind::whole, "complete");
		return;
	}
	if (const auto* replay = std::get_if<node::replay_order>(&order.what))
	{
		give(vm, order.ref, answer_kind::replayed, replay->facts.reason);
		return;
	}
	const auto& refusal = std::get<node::refuse_order>(order.what);
	if (options_.switched_off == mutation::refusals_swallowed)
	{
		return;
	}
	const auto kind =
		refusal.facts.ran == node::outcome::not_run ? answer_kind::not_run : answer_kind::unknown;
	give(vm, order.ref, kind, refusal.facts.reason);
}

void world::give(entry_vm& vm, node::request_ref ref, answer_kind kind, const std::string& why)
{
	const auto request = vm.requests.at(ref);
	vm.requests.erase(ref);
	auto& record = history_.requests.at(request.id);
	if (request.caller_left)
	{
		return;
	}
	constexpr std::array words{"whole", "not run", "unknown", "replayed", "broken"};
	note(request.id.str() + " answered: " + words.at(static_cast<std::size_t>(kind)) + " (" + why + ")");
	record.answers.emplace_back(now_, kind);
	if (on_answer)
	{
		schedule(now_, [this, id = request.id, spec = request.spec, kind]
			{ on_answer(history_.requests.at(id), spec, kind); });
	}
}

void world::start_attempt(entry_vm& vm, node::request_ref ref, const node::dispatch_order& order)
{
	auto& request = vm.requests.at(ref);
	request.attempt = order.attempt;
	if (!request.spec.streamed)
	{
		request.check = session::stream_check{request.id};
		request.arriving.clear();
		request.arriving_owners.clear();
	}
	sessions_[request.id] = order.session;
	const auto name = vm.self.vm;
	const auto incarnation = vm.incarnation;
	schedule(now_ + upstream_latency,
		[this, name, incarnation, ref, order] { arrive_upstream(name, incarnation, ref, order); });
}

void world::arrive_upstream(
	const vm_id& name, std::uint64_t incarnation, node::request_ref ref, const node::dispatch_order& order)
{
	auto& vm = *vms_.at(name);
	const auto found = vm.requests.find(ref);
	if (!vm.alive || vm.incarnation != incarnation || found == vm.requests.end())
	{
		return;
	}
	auto& at = upstreams_.at(by_address_.at(order.address));
	const auto reports = [&](attempt_end end, duration after)
	{
		on_vm(name, incarnation, now_ + after,
			[this, ref, order, end](entry_vm& running) { report(running, ref, order, end); });
	};
	const bool lost_as_not_sent = options_.switched_off == mutation::lost_as_not_sent;
	const auto lost = lost_as_not_sent ? attempt_end::not_sent : attempt_end::lost;
	if (!at.alive || !can_reach(vm.self.failure_domain, at.domain))
	{
		reports(attempt_end::not_sent, upstream_latency);
		return;
	}
	const bool told = options_.switched_off != mutation::leaving_untold;
	if (at.leaving_since && told)
	{
		reports(attempt_end::leaving, upstream_latency);
		return;
	}
	const auto mode = now_ < at.mode_until ? at.mode : upstream_mode::good;
	if (mode == upstream_mode::busy)
	{
		reports(attempt_end::busy, upstream_latency);
		return;
	}
	auto& request = found->second;
	note_run(vm, request, order, at, order.resume_after > 0);
	if (mode == upstream_mode::failing || failing_versions_.contains(order.version))
	{
		reports(attempt_end::failed, upstream_latency);
		return;
	}
	if (mode == upstream_mode::lost_answer)
	{
		reports(lost, upstream_latency);
		return;
	}
	const auto delay =
		upstream_latency + token_time + (mode == upstream_mode::late ? late_answer : duration{0});
	on_vm(name, incarnation, now_ + delay,
		[this, ref, order, mode](entry_vm& running)
		{ next_chunk(running, ref, order, order.resume_after, mode); });
}

void world::note_run(entry_vm& vm, const open_request& request, const node::dispatch_order& order,
	const upstream& at, bool resumed)
{
	run_record run;
	run.request = request.id;
	run.workspace = workspace_id{request.spec.workspace};
	run.version = order.version;
	run.replica = at.id;
	run.vm = vm.self.vm;
	run.at = now_;
	run.resumed = resumed;
	if (request.spec.kind == node::request_kind::chat)
	{
		run.session = request.spec.session.empty() ? order.session : request.spec.session;
	}
	const auto& table = vm.core->table_copy().current();
	const auto* workspace = table->workspace(run.workspace);
	const bool is_chat = request.spec.kind == node::request_kind::chat;
	// The operators' meaning, whatever the copy was made to say: nobody was ever allowed `x`.
	run.allowed_by_copy =
		workspace != nullptr &&
		(!is_chat || (table->allows(*workspace, order.version) && order.version.model.str() != "x"));
	const auto* version = table->version(order.version);
	run.withdrawn_by_copy =
		is_chat && (version == nullptr || version->state == table::version_state::withdrawn);
	if (at.leaving_since)
	{
		run.leaving_for = now_ - *at.leaving_since;
	}
	history_.runs.push_back(run);
	note(request.id.str() + (resumed ? " resumes" : " runs") + " at " + at.id.str() +
		 (is_chat ? " on " + order.version.str() : ""));
}

void world::next_chunk(entry_vm& vm, node::request_ref ref, const node::dispatch_order& order,
	std::uint64_t offset, upstream_mode mode)
{
	const auto found = vm.requests.find(ref);
	if (found == vm.requests.end() || found->second.attempt != order.attempt)
	{
		return;
	}
	auto& request = found->second;
	const auto& at = upstreams_.at(by_address_.at(order.address));
	const bool unreachable = !at.alive || !can_reach(vm.self.failure_domain, at.domain);
	const auto total = history_.requests.at(request.id).tokens_wanted;
	const auto middle = total / 2;
	const auto lost =
		options_.switched_off == mutation::lost_as_not_sent ? attempt_end::not_sent : attempt_end::lost;
	const bool breaks = (mode == upstream_mode::cut || mode == upstream_mode::cut_short) &&
						offset == middle && order.resume_after == 0;
	if (unreachable || breaks)
	{
		const auto after = unreachable && at.alive ? silence_limit : duration{0};
		const auto end =
			mode == upstream_mode::cut_short && breaks && options_.switched_off == mutation::no_matching
				? attempt_end::complete
				: lost;
		on_vm(vm.self.vm, vm.incarnation, now_ + after,
			[this, ref, order, end](entry_vm& running) { report(running, ref, order, end); });
		return;
	}
	if (request.caller_left)
	{
		report(vm, ref, order, attempt_end::caller_left);
		return;
	}
	if (offset == order.resume_after)
	{
		reach(step::first_chunk, vm.self.vm);
	}
	if (offset == middle)
	{
		reach(step::mid_stream, vm.self.vm);
	}
	if (offset + 1 == total)
	{
		reach(step::last_chunk, vm.self.vm);
	}
	if (!vm.alive)
	{
		return;
	}
	const auto take = [&](const std::string& owner, std::uint64_t number)
	{
		const bool matched = request.check.on_chunk(owner, number) == session::chunk_verdict::pass;
		if (!matched && options_.switched_off != mutation::no_matching)
		{
			return;
		}
		auto& record = history_.requests.at(request.id);
		if (!request.spec.streamed)
		{
			request.arriving.push_back(number);
			request.arriving_owners.insert(owner);
			return;
		}
		const bool is_last = number + 1 == total;
		(is_last ? request.held : record.chunks).push_back(number);
		(is_last ? request.held_owners : record.chunk_owners).insert(owner);
		record.chunk_versions.insert(order.version);
	};
	if (mode == upstream_mode::crossed && offset == middle)
	{
		take("another-request", offset);
	}
	take(request.id.str(), offset);
	if (request.spec.streamed && (offset + 1) % chunks_per_progress == 0)
	{
		step_core(
			vm, node::progress_report{ref, order.attempt, tokens{static_cast<std::int64_t>(offset + 1)}});
	}
	if (offset + 1 == total)
	{
		if (!request.spec.streamed)
		{
			request.held = std::move(request.arriving);
			request.held_owners = std::move(request.arriving_owners);
		}
		report(vm, ref, order, attempt_end::complete);
		return;
	}
	on_vm(vm.self.vm, vm.incarnation, now_ + token_time,
		[this, ref, order, offset, mode](entry_vm& running)
		{ next_chunk(running, ref, order, offset + 1, mode); });
}

void world::report(entry_vm& vm, node::request_ref ref, const node::dispatch_order& order, attempt_end end)
{
	const auto found = vm.requests.find(ref);
	if (found == vm.requests.end())
	{
		return;
	}
	const auto& request = found->second;
	node::attempt_report report;
	report.ref = ref;
	report.attempt = order.attempt;
	report.end = end;
	report.used = tokens{static_cast<std::int64_t>(request.check.passed())};
	report.delivered = request.spec.streamed ? request.check.passed() : 0;
	report.load = load_of_idle;
	report.confidence = 0.9;
	if (end == attempt_end::complete)
	{
		report.recorded = claims::recorded_outcome{200, "text/plain", "done", true};
	}
	step_core(vm, report);
}

void world::set_upstream(const replica_id& id, upstream_mode mode, duration length)
{
	note("upstream " + id.str() + " misbehaves (" + std::to_string(static_cast<int>(mode)) + ")");
	auto& one = upstreams_.at(id);
	one.mode = mode;
	one.mode_until = now_ + length;
}

void world::fail_version(const version_ref& version)
{
	note("version " + version.str() + " turns bad");
	failing_versions_.insert(version);
}

void world::kill_upstream(const replica_id& id)
{
	note("kill upstream " + id.str());
	upstreams_.at(id).alive = false;
}

void world::upstream_leaves(const replica_id& id)
{
	note("upstream " + id.str() + " leaves");
	auto& one = upstreams_.at(id);
	one.leaving_since = one.leaving_since.value_or(now_);
	schedule(now_ + std::chrono::seconds{2},
		[this, id]
		{
			for (auto& member : list_.members)
			{
				if (member.vm.str() == id.str())
				{
					member.state = membership::member_state::draining;
				}
			}
			publish_members();
		});
}

void world::caller_leaves(const vm_id& vm)
{
	for (auto& [ref, request] : vms_.at(vm)->requests)
	{
		if (request.spec.streamed && !request.caller_left)
		{
			note("the caller of " + request.id.str() + " leaves");
			request.caller_left = true;
			history_.requests.at(request.id).caller_left = true;
			return;
		}
	}
}

replica_id world::replica_near(const vm_id& vm) const
{
	return replica_id{domain_of(vm).str() + "-0"};
}
} // namespace gingerdyke::test
