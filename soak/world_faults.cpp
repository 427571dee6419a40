// SPDX-License-Identifier: MIT
// What each fault does to the system, and how it ends.
#include "world.hpp"

#include <array>
#include <csignal>
#include <standin/deployment.hpp>

namespace gingerdyke::soak
{
namespace
{
namespace standin = platform::standin;

constexpr std::array link_faults{
	link_fault::delayed, link_fault::silent, link_fault::one_way, link_fault::reset};

/// Ways in which a replica misbehaves, by share of its requests.
constexpr std::array replica_variants{standin::replica_faults{0.5, 0, 0, 0},
	standin::replica_faults{0, 0.4, 0, 0}, standin::replica_faults{0, 0, 0.7, 0},
	standin::replica_faults{0, 0, 0, 0.5}, standin::replica_faults{0.2, 0.2, 0.2, 0.1}};

constexpr int shift_seconds = 4;
} // namespace

void world::begin(const fault& what)
{
	auto& target = *vms_[what.target % vms_.size()];
	switch (what.kind)
	{
	case fault_kind::kill_vm:
	case fault_kind::stop_vm:
	case fault_kind::pause_vm:
	case fault_kind::reload_vm:
	case fault_kind::link_to_registry:
	case fault_kind::link_to_vm:
		begin_with_vm(what, target);
		break;
	case fault_kind::kill_all:
		for (const auto& one : vms_)
		{
			one->process->signal(SIGKILL);
		}
		break;
	case fault_kind::link_to_replica:
	case fault_kind::replica_misbehaves:
	case fault_kind::replica_leaves:
	case fault_kind::replica_comes:
		begin_with_backends(what);
		break;
	case fault_kind::registry_down:
		registry_.set_fault(standin::registry_fault::unavailable);
		break;
	case fault_kind::registry_silent:
		registry_.set_fault(standin::registry_fault::no_response);
		break;
	case fault_kind::registry_loses_answers:
		registry_.set_fault(standin::registry_fault::drop_responses);
		break;
	case fault_kind::registry_forgets:
		registry_.compact();
		break;
	case fault_kind::change_configuration:
	case fault_kind::remove_key:
	case fault_kind::shift_version:
		begin_with_operator(what);
		break;
	}
}

void world::begin_with_vm(const fault& what, vm& target)
{
	const auto link = link_faults.at(what.variant % link_faults.size());
	switch (what.kind)
	{
	case fault_kind::kill_vm:
		target.process->signal(SIGKILL);
		break;
	case fault_kind::stop_vm:
		target.process->signal(SIGTERM);
		break;
	case fault_kind::pause_vm:
		target.process->signal(SIGSTOP);
		break;
	case fault_kind::reload_vm:
		target.process->signal(SIGHUP);
		break;
	case fault_kind::link_to_registry:
		target.to_registry->set(link);
		break;
	default:
		target.from_callers->set(link);
		break;
	}
}

void world::begin_with_backends(const fault& what)
{
	auto& target = *backends_[what.target % backends_.size()];
	switch (what.kind)
	{
	case fault_kind::link_to_replica:
		target.link->set(link_faults.at(what.variant % link_faults.size()));
		break;
	case fault_kind::replica_misbehaves:
		target.replica->set_faults(replica_variants.at(what.variant % replica_variants.size()));
		break;
	case fault_kind::replica_leaves:
		// One of each service always stays.
		target.leaves = what.target % backends_.size() > 1;
		register_backend(target);
		break;
	default:
		add_backend(what.variant % 2 == 0 ? standin::plain_service : standin::engine_service, "v1");
		break;
	}
}

void world::begin_with_operator(const fault& what)
{
	constexpr std::size_t largest_step = 3;
	if (what.kind == fault_kind::remove_key)
	{
		remove_key();
		return;
	}
	if (what.kind == fault_kind::change_configuration)
	{
		change_configuration(1 + static_cast<int>(what.variant % largest_step));
		return;
	}
	if (!is_shifting_)
	{
		is_shifting_ = true;
		add_backend(standin::plain_service, "v2");
		add_backend(standin::plain_service, "v2");
		registry_.put("op", std::string{"rollout/"} + standin::plain_service,
			standin::shift_order(standin::plain_service, "v2", shift_seconds));
	}
}

void world::end(const fault& what)
{
	auto& target = *vms_[what.target % vms_.size()];
	switch (what.kind)
	{
	case fault_kind::pause_vm:
		target.process->signal(SIGCONT);
		break;
	case fault_kind::link_to_registry:
		target.to_registry->set(link_fault::none);
		break;
	case fault_kind::link_to_vm:
		target.from_callers->set(link_fault::none);
		break;
	case fault_kind::link_to_replica:
		backends_[what.target % backends_.size()]->link->set(link_fault::none);
		break;
	case fault_kind::replica_misbehaves:
		backends_[what.target % backends_.size()]->replica->set_faults({});
		break;
	case fault_kind::registry_down:
	case fault_kind::registry_silent:
	case fault_kind::registry_loses_answers:
		registry_.set_fault(standin::registry_fault::none);
		break;
	default:
		break;
	}
}

void world::end_all_faults()
{
	registry_.set_fault(standin::registry_fault::none);
	for (const auto& one : vms_)
	{
		one->process->signal(SIGCONT);
		one->to_registry->set(link_fault::none);
		one->from_callers->set(link_fault::none);
	}
	for (const auto& one : backends_)
	{
		one->link->set(link_fault::none);
		one->replica->set_faults({});
	}
}

void world::change_configuration(int by)
{
	version_ += by;
	registry_.put("op", "config", standin::configuration(version_, allowed_keys_));
}

/// Callers go on using it; the first key always stays.
void world::remove_key()
{
	if (allowed_keys_.size() > 1)
	{
		history_.key_removed(allowed_keys_.back(), proxy::steady_now());
		allowed_keys_.pop_back();
		change_configuration(1);
	}
}
} // namespace gingerdyke::soak
