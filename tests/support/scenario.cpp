// SPDX-License-Identifier: MIT
// The history that faults are put into, and the faults.
#include "scenario.hpp"
#include <array>

namespace gingerdyke::test
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration traffic_from = seconds{6};
constexpr duration traffic_to = seconds{14};
constexpr duration late_from = seconds{40};
constexpr duration late_to = seconds{42};
constexpr duration traffic_pause = milliseconds{400};
constexpr duration scenario_end = seconds{75};
constexpr duration outage_length = seconds{25};
constexpr duration freeze_length = seconds{30};
constexpr duration short_trouble = seconds{3};
constexpr unsigned most_repeats = 3;

request_spec chat(bool streamed, const std::string& target)
{
	request_spec spec;
	spec.streamed = streamed;
	spec.target = target;
	return spec;
}

/// Callers: they send on a schedule, go on in sessions, and repeat keyed orders elsewhere until told an
/// outcome.
class callers
{
  public:
	explicit callers(world& world) : world_(world) {}

	void start()
	{
		// After the edits have had their time: nothing withdrawn, nothing leaving may be used any more.
		for (auto when = late_from; when < late_to; when += traffic_pause)
		{
			world_.at(when, [this] { send_late(); });
		}
		world_.on_answer = [this](const request_record& request, const request_spec& spec, answer_kind kind)
		{ on_answer(request, spec, kind); };
		std::size_t round = 0;
		for (auto when = traffic_from; when < traffic_to; when += traffic_pause)
		{
			world_.at(when, [this, round] { send_round(round); });
			++round;
		}
	}

  private:
	void send_round(std::size_t round)
	{
		const auto vm = world_.vm(round % world_.vms().size());
		const auto other = world_.vm((round + 3) % world_.vms().size());
		const auto key = "key-" + std::to_string(round);
		world_.send(chat(true, "m"), vm);
		world_.send(chat(false, round % 2 == 0 ? "c" : "l"), vm);
		world_.send(order_with(key), vm);
		// The same order, at the same time, at another entry VM.
		world_.send(order_with(key), other);
		world_.send(order_with(""), other);
		auto patient = chat(false, "m");
		patient.workspace = "beta";
		world_.send(patient, other);
		world_.send(chat(false, "x"), other);
		for (const auto& [version, session] : sessions_)
		{
			auto next = chat(true, "m");
			next.session = session;
			world_.send(next, other);
		}
	}

	void send_late()
	{
		for (const auto& vm : world_.vms())
		{
			world_.send(chat(false, "m"), vm);
			world_.send(order_with(""), vm);
		}
	}

	void on_answer(const request_record& request, const request_spec& spec, answer_kind kind)
	{
		if (spec.streamed && kind == answer_kind::whole && spec.session.empty())
		{
			const auto session = world_.session_of(request.id);
			sessions_.try_emplace(world_.version_of(request.id), session);
		}
		const bool ask_again =
			!spec.key.empty() && (kind == answer_kind::broken || kind == answer_kind::not_run);
		if (ask_again && repeats_[spec.key]++ < most_repeats)
		{
			const auto vm = world_.vm(repeats_[spec.key] % world_.vms().size());
			world_.at(world_.now() - instant{std::chrono::hours{1}} + seconds{1},
				[this, spec, vm] { world_.send(spec, vm); });
		}
	}

	world& world_;
	/// One session on each version that opened one.
	std::map<version_ref, std::string> sessions_;
	std::map<std::string, unsigned> repeats_;
};

} // namespace

request_spec order_with(const std::string& key)
{
	request_spec spec;
	spec.kind = node::request_kind::service;
	spec.target = "s";
	spec.key = key;
	return spec;
}

json version_in(const char* state)
{
	return {{"state", state}, {"micro_cost_per_1k_tokens", 1000}, {"quality_prior", 0.8}};
}

const char* name_of(fault_kind what) noexcept
{
	constexpr std::array names{"kill", "restart", "freeze", "cut-from-platform", "cut-from-peers",
		"cut-from-both", "store-down", "store-slow", "store-limit", "store-lost-answer", "store-late-effect",
		"stale-list", "upstream-killed", "upstream-cut", "upstream-leaving", "upstream-late",
		"upstream-crossed", "upstream-short", "upstream-failing", "upstream-busy", "service-lost-answer",
		"withdrawal", "caller-gone", "racing-operators", "planned-stop"};
	return names.at(static_cast<std::size_t>(what));
}

void strike(world& world, fault_kind what, const vm_id& vm)
{
	const auto domain = world.domain_of(vm);
	const auto replica = world.replica_near(vm);
	switch (what)
	{
	case fault_kind::kill:
		world.kill(vm);
		break;
	case fault_kind::restart:
		world.restart(vm);
		break;
	case fault_kind::freeze:
		world.freeze(vm, freeze_length);
		break;
	case fault_kind::cut_from_platform:
		world.cut_from_platform(domain, outage_length);
		break;
	case fault_kind::cut_from_peers:
		world.cut_from_peers(domain, outage_length);
		break;
	case fault_kind::cut_from_both:
		world.cut_from_platform(domain, outage_length);
		world.cut_from_peers(domain, outage_length);
		break;
	case fault_kind::store_down:
		world.set_store(store_mode::down, outage_length);
		break;
	case fault_kind::store_slow:
		world.set_store(store_mode::slow, outage_length);
		break;
	case fault_kind::store_limit:
		world.set_store(store_mode::limit, outage_length);
		break;
	case fault_kind::store_lost_answer:
		world.set_store(store_mode::lost_answer, short_trouble);
		break;
	case fault_kind::store_late_effect:
		world.set_store(store_mode::late_effect, short_trouble);
		break;
	case fault_kind::stale_list:
		world.stale_member_list(outage_length);
		break;
	case fault_kind::upstream_killed:
		world.kill_upstream(replica);
		break;
	case fault_kind::upstream_cut:
		world.set_upstream(replica, upstream_mode::cut, short_trouble);
		break;
	case fault_kind::upstream_leaving:
		world.upstream_leaves(replica);
		break;
	case fault_kind::upstream_late:
		world.set_upstream(replica, upstream_mode::late, short_trouble);
		break;
	case fault_kind::upstream_crossed:
		world.set_upstream(replica, upstream_mode::crossed, short_trouble);
		break;
	case fault_kind::upstream_short:
		world.set_upstream(replica, upstream_mode::cut_short, short_trouble);
		break;
	case fault_kind::upstream_failing:
		world.set_upstream(replica, upstream_mode::failing, short_trouble);
		break;
	case fault_kind::upstream_busy:
		world.set_upstream(replica, upstream_mode::busy, short_trouble);
		break;
	case fault_kind::service_lost_answer:
		world.set_upstream(replica_id{domain.str() + "-s"}, upstream_mode::lost_answer, short_trouble);
		break;
	case fault_kind::withdrawal:
		world.edit(world.vm(2), {{"version/m@1", version_in("withdrawn")}});
		break;
	case fault_kind::caller_gone:
		world.caller_leaves(vm);
		break;
	case fault_kind::racing_operators:
		world.edit(world.vm(0), {{"class/urgent", {{"rank", 0}, {"note", "one"}}}});
		world.edit(world.vm(1), {{"class/urgent", {{"rank", 0}, {"note", "two"}}}});
		break;
	case fault_kind::planned_stop:
		world.stop(vm);
		break;
	}
}

namespace
{
/// The table as the operators want it, or as it would be where nothing kept a workspace to its versions.
std::map<std::string, json> first_table(mutation switched_off)
{
	auto rows = world_table();
	if (switched_off == mutation::allow_everything)
	{
		rows["workspace/alpha"]["allowed"] = {"m@*", "l@*", "x@*"};
	}
	return rows;
}
} // namespace

history run_scenario(const world_options& options, const std::vector<planned_fault>& faults)
{
	world world{options};
	callers callers{world};
	std::map<step, unsigned> reached;
	std::vector<bool> struck(faults.size(), false);
	world.on_step = [&](step what, const vm_id& vm)
	{
		if (world.now() < instant{std::chrono::hours{1}} + traffic_from)
		{
			return;
		}
		const auto count = reached[what]++;
		for (std::size_t i = 0; i < faults.size(); ++i)
		{
			if (!struck[i] && faults[i].when == what && faults[i].nth == count)
			{
				struck[i] = true;
				strike(world, faults[i].what, vm);
			}
		}
	};
	world.at(seconds{1}, [&] { world.edit(world.vm(0), first_table(options.switched_off)); });
	callers.start();
	// Where nothing spreads, only the VM that made an edit can make the next one.
	const std::size_t last_editor = options.switched_off == mutation::no_spread ? 3 : 4;
	world.at(seconds{8}, [&] { world.edit(world.vm(3), {{"version/m@2", version_in("draining")}}); });
	world.at(seconds{11},
		[&] {
			world.edit(world.vm(last_editor), {{"version/m@2", version_in("withdrawn")}});
		});
	world.at(seconds{12}, [&] { world.stop(world.vm(6)); });
	world.run_until(scenario_end);
	return world.finish();
}
} // namespace gingerdyke::test
