// SPDX-License-Identifier: MIT
// A small world in virtual time: faults, and how they heal.
#include "world.hpp"
#include "world_impl.hpp"

namespace gingerdyke::test
{
void world::kill(const vm_id& vm)
{
	auto& one = *vms_.at(vm);
	if (!one.alive)
	{
		return;
	}
	note("kill " + vm.str());
	one.alive = false;
	history_.killed[vm] = now_;
	outage(vm, std::chrono::hours{1});
	for (auto& [ref, request] : one.requests)
	{
		auto& record = history_.requests.at(request.id);
		if (record.answers.empty() && !record.caller_left)
		{
			record.answers.emplace_back(now_, answer_kind::broken);
			if (on_answer)
			{
				schedule(now_, [this, id = request.id, spec = request.spec]
					{ on_answer(history_.requests.at(id), spec, answer_kind::broken); });
			}
		}
	}
	one.requests.clear();
	// The platform's list lags.
	schedule(now_ + std::chrono::seconds{3},
		[this, vm]
		{
			for (auto& member : list_.members)
			{
				if (member.vm == vm && !vms_.at(vm)->alive)
				{
					member.state = membership::member_state::gone;
				}
			}
			publish_members();
		});
}

void world::restart(const vm_id& vm)
{
	kill(vm);
	schedule(now_ + std::chrono::seconds{5},
		[this, vm]
		{
			note("restart " + vm.str());
			for (auto& member : list_.members)
			{
				if (member.vm == vm)
				{
					member.state = membership::member_state::live;
				}
			}
			publish_members();
			start_vm(vm);
		});
}

void world::freeze(const vm_id& vm, duration length)
{
	auto& one = *vms_.at(vm);
	if (one.alive)
	{
		note("freeze " + vm.str());
		one.frozen_until = std::max(one.frozen_until, now_ + length);
		outage(vm, length);
	}
}

void world::cut_from_platform(const failure_domain_id& domain, duration length)
{
	note("cut " + domain.str() + " from the platform");
	auto& until = platform_cut_until_[domain];
	until = std::max(until, now_ + length);
	for (const auto& vm : names_)
	{
		if (domain_of(vm) == domain)
		{
			outage(vm, length);
		}
	}
}

void world::cut_from_peers(const failure_domain_id& domain, duration length)
{
	note("cut " + domain.str() + " from other failure domains");
	auto& until = peers_cut_until_[domain];
	until = std::max(until, now_ + length);
	for (const auto& vm : names_)
	{
		outage(vm, length);
	}
}

void world::set_store(store_mode mode, duration length)
{
	note("table service misbehaves (" + std::to_string(static_cast<int>(mode)) + ")");
	store_mode_ = mode;
	for (const auto& vm : names_)
	{
		outage(vm, length + late_effect_after);
	}
	schedule(now_ + length,
		[this, mode]
		{
			if (store_mode_ == mode)
			{
				note("table service is good again");
				store_mode_ = store_mode::good;
			}
		});
}

void world::stale_member_list(duration length)
{
	stale_list_ = list_;
	list_stale_until_ = now_ + length;
	for (const auto& vm : names_)
	{
		outage(vm, length);
	}
}

void world::stop(const vm_id& vm)
{
	auto& one = *vms_.at(vm);
	if (!one.alive || one.stopping)
	{
		return;
	}
	reach(step::stop_begun, vm);
	if (!one.alive)
	{
		return;
	}
	note("planned stop of " + vm.str());
	history_.stops.push_back({vm, now_, std::nullopt});
	one.stopping = true;
	outage(vm, std::chrono::hours{1});
	if (options_.switched_off == mutation::stop_without_draining)
	{
		for (auto& [ref, request] : one.requests)
		{
			history_.requests.at(request.id).answers.emplace_back(now_, answer_kind::broken);
		}
		one.alive = false;
		return;
	}
	on_vm(vm, one.incarnation, now_, [this](entry_vm& running) { step_core(running, node::stop_wanted{}); });
}
} // namespace gingerdyke::test
