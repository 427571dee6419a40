// SPDX-License-Identifier: MIT
// One system of the soak, from its start to its verdict. The faults are in world_faults.cpp.
#include "world.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <standin/deployment.hpp>
#include <unistd.h>

namespace gingerdyke::soak
{
namespace
{
namespace standin = platform::standin;

constexpr std::size_t callers_per_vm = 3;

/// How often processes are looked at, and when one that ended is started again.
constexpr std::chrono::milliseconds watch_pause{20};
constexpr std::chrono::milliseconds restart_pause{150};

/// A stopping process must have ended after its limit and a little.
constexpr std::chrono::seconds stop_limit{8};
constexpr std::chrono::seconds stop_patience{2};

/// Everything is served again within this time of the last fault's end; generous, since only a system that
/// does not come back at all is to be found.
constexpr std::chrono::seconds recovery_limit{25};

/// Calm time before the first stop.
constexpr std::chrono::milliseconds calm{700};

/// Addresses of the VMs' own sockets. Each run has a loopback address to itself: on a common one, a port that
/// is free now may be the source of some connection when a VM starts again.
std::string own_ip(std::uint64_t seed)
{
	constexpr std::uint64_t numbers = 250;
	const auto process = static_cast<std::uint64_t>(::getpid());
	return "127." + std::to_string(2 + process % numbers) + "." +
		   std::to_string(process / numbers % numbers) + "." + std::to_string(1 + seed % numbers);
}

vm_addresses addresses_of(const std::string& ip, std::size_t index)
{
	constexpr std::uint16_t first_port = 20000;
	constexpr std::uint16_t ports_per_vm = 3;
	const auto port = static_cast<std::uint16_t>(first_port + ports_per_vm * index);
	return {
		{ip, port}, {ip, static_cast<std::uint16_t>(port + 1)}, {ip, static_cast<std::uint16_t>(port + 2)}};
}

/// Failure domain of a VM.
std::string domain_of(std::size_t index)
{
	return index % 2 == 0 ? "a" : "b";
}

json settings_of(const std::string& name, const std::string& domain, const vm_addresses& at,
	const routing::address& registry)
{
	constexpr auto milliseconds = [](auto span)
	{ return std::chrono::duration_cast<std::chrono::milliseconds>(span).count(); };
	return {{"vm", name}, {"failure_domain", domain}, {"serve", at.callers.str()},
		{"ready", at.readiness.str()}, {"relay", at.relay.str()}, {"registry", registry.str()},
		{"stop_limit_ms", milliseconds(stop_limit)}, {"keys_revoked_ms", 5000}, {"keys_must_expire", true},
		{"attempts", {{"ratio", 0.9}, {"window_s", 10}, {"slack", 200}}}};
}
} // namespace

world::world(run_options options)
	: options_(std::move(options)), random_(seeded_random{options_.seed}), registry_(context_),
	  watch_timer_(context_)
{
	std::filesystem::create_directories(options_.directory);
	constexpr std::size_t backends_per_service = 3;
	for (std::size_t i = 0; i < backends_per_service; ++i)
	{
		add_backend(standin::plain_service, "v1");
		add_backend(standin::engine_service, "v1");
	}
	registry_.put("op", "config", standin::configuration(version_, allowed_keys_));
	for (std::size_t i = 0; i < options_.vms; ++i)
	{
		add_vm(i);
	}
}

run_result world::run()
{
	for (const auto& one : vms_)
	{
		one->process->start();
		add_callers(*one);
	}
	watch_processes();
	if (!run_until([&] { return all_serve_since(instant{}); }, recovery_limit))
	{
		history_.broken("a system starts", "a VM serves nothing");
	}
	run_for(calm);
	auto& first = *vms_.front();
	first.asked_to_stop = proxy::steady_now();
	history_.stopped({first.process->name(), first.process->life(), *first.asked_to_stop});
	first.process->signal(SIGTERM);
	if (!run_until([&] { return !first.asked_to_stop; }, stop_limit + stop_patience))
	{
		history_.broken("a stop ends in time", first.process->name());
	}
	for (const auto& one : draw_faults(options_.seed, options_.length))
	{
		after(one.at, [this, one] { begin(one); });
		after(one.at + one.length, [this, one] { end(one); });
	}
	constexpr std::chrono::seconds longest_fault{3};
	run_for(options_.length + longest_fault);
	end_all_faults();
	const auto calm_since = proxy::steady_now();
	if (!run_until([&] { return all_serve_since(calm_since); }, recovery_limit))
	{
		for (const auto& one : vms_)
		{
			if (!one->served_at || *one->served_at < calm_since)
			{
				history_.broken("a system recovers", one->process->name() + " serves nothing");
			}
		}
	}
	let_a_request_crash_replicas();
	let_a_part_crash_replicas();
	let_replicas_leave();
	let_replicas_speak_of_themselves();
	let_a_failure_domain_be_evacuated();
	for (const auto& one : vms_)
	{
		std::for_each(one->callers.begin(), one->callers.end(), [](const auto& caller) { caller->stop(); });
	}
	// What was sent last may still run: a refusal must stay true.
	constexpr std::chrono::seconds settle{1};
	run_for(settle);
	is_over_ = true;
	return {history_.judge(), history_.request_count(), history_.served_count(), history_.crash_ends()};
}

/// One replica says that it leaves, another one's entry goes; the VMs of one failure domain lose the registry
/// before, and again and again after.
void world::let_replicas_leave()
{
	constexpr std::chrono::milliseconds until_used{600};
	constexpr std::chrono::milliseconds lost{500};
	constexpr std::chrono::milliseconds found{1500};
	constexpr std::chrono::milliseconds until_left{200};
	constexpr int losses = 5;
	add_backend(standin::engine_service, "v1");
	auto& drains = *backends_.back();
	add_backend(standin::plain_service, "v1");
	auto& vanishes = *backends_.back();
	run_for(until_used);

	// All VMs of the failure domain that uses the replica most: one alone reads through another one.
	std::vector<vm*> disturbed;
	std::set<std::string> names;
	for (std::size_t i = 0; i < vms_.size(); ++i)
	{
		if (domain_of(i) == vanishes.domain)
		{
			disturbed.push_back(vms_[i].get());
			names.insert(vms_[i]->process->name());
		}
	}
	const auto set_links = [&](link_fault to)
	{
		for (auto* one : disturbed)
		{
			one->to_registry->set(to);
		}
	};
	const auto fault = options_.seed % 2 == 0 ? link_fault::reset : link_fault::silent;
	instant left_at;
	for (int i = 0; i < losses; ++i)
	{
		set_links(fault);
		run_for(lost);
		set_links(link_fault::none);
		if (i == 0)
		{
			run_for(until_left);
			left_at = proxy::steady_now();
			drains.leaves = true;
			register_backend(drains);
			registry_.remove("servers", vanishes.replica->id());
		}
		run_for(found);
	}
	for (const auto* one : {&drains, &vanishes})
	{
		history_.left({one->replica->id(), left_at, names});
	}
}

/// One names a limit, one says that it leaves, and one refuses all and asks for rest, while their entries say
/// that they are ready. Then the registry is lost for a while.
void world::let_replicas_speak_of_themselves()
{
	using standin::statement;
	constexpr std::chrono::milliseconds until_used{600};
	constexpr std::chrono::seconds with_registry{5};
	constexpr std::chrono::seconds without_registry{3};
	constexpr std::chrono::milliseconds rest{1500};
	constexpr double limit = 1.5;
	const std::array<statement, 3> said{
		statement{limit, false, {}}, statement{{}, true, {}}, statement{{}, false, rest}};
	std::vector<standin::replica*> speaking;
	for (std::size_t i = 0; i < said.size(); ++i)
	{
		add_backend(standin::plain_service, "v1");
		speaking.push_back(backends_.back()->replica.get());
	}
	run_for(until_used);
	for (std::size_t i = 0; i < said.size(); ++i)
	{
		speaking[i]->announce(said.at(i),
			[this](const std::string& request, const std::string& replica, const statement& what)
			{ history_.arrived(request, replica, what, proxy::steady_now()); });
	}
	run_for(with_registry);
	registry_.set_fault(standin::registry_fault::unavailable);
	run_for(without_registry);
	registry_.set_fault(standin::registry_fault::none);
	std::for_each(speaking.begin(), speaking.end(), [](auto* one) { one->announce({}); });
	await_recovery("after replicas spoke of themselves");
}

/// Meanwhile one VM is killed and starts again, and the registry forgets its history. All VMs serve on by the
/// replicas of the other failure domain; after the order is withdrawn those of the first are used again.
void world::let_a_failure_domain_be_evacuated()
{
	constexpr std::chrono::seconds until_in_force{4};
	constexpr std::chrono::seconds in_force{2};
	const std::string domain = "a";
	evacuation order;
	for (const auto& one : backends_)
	{
		if (one->domain == domain)
		{
			order.replicas.insert(one->replica->id());
		}
	}
	const auto row = "evacuate/" + domain;
	order.ordered = proxy::steady_now();
	registry_.put("op", row, json::object());
	vms_[options_.seed % vms_.size()]->process->signal(SIGKILL);
	run_for(until_in_force);
	registry_.compact();
	run_for(in_force);
	order.withdrawn = proxy::steady_now();
	history_.evacuated(order);
	registry_.remove("op", row);
	await_recovery("after an evacuation");
}

bool world::all_serve_since(instant since) const
{
	return std::all_of(vms_.begin(), vms_.end(),
		[&](const auto& one) { return one->served_at && *one->served_at >= since; });
}

void world::await_recovery(const std::string& after_what)
{
	const auto since = proxy::steady_now();
	if (!run_until([&] { return all_serve_since(since); }, recovery_limit))
	{
		history_.broken("a system recovers", after_what);
	}
}

void world::add_vm(std::size_t index)
{
	auto made = std::make_unique<vm>();
	const auto name = "vm" + std::to_string(index);
	const auto domain = domain_of(index);
	const auto at = addresses_of(own_ip(options_.seed), index);
	made->to_registry = std::make_unique<link_proxy>(context_, registry_.at());
	made->process = std::make_unique<vm_process>(options_.binary, options_.directory, name,
		settings_of(name, domain, at, made->to_registry->at()), at);
	made->from_callers = std::make_unique<link_proxy>(context_, at.callers);
	vms_.push_back(std::move(made));
}

void world::add_backend(const std::string& service, const std::string& version)
{
	auto made = std::make_unique<backend>();
	made->service = service;
	made->version = version;
	made->domain = backends_.size() / 2 % 2 == 0 ? "a" : "b";
	made->replica = std::make_unique<standin::replica>(context_, "r" + std::to_string(backends_.size()),
		seeded_random{options_.seed + backends_.size()},
		[this](const standin::replica_run& run) { history_.ran(run, proxy::steady_now()); });
	made->link = std::make_unique<link_proxy>(context_, made->replica->at());
	made->replica->on_crash([this, one = made.get()] { crash(*one); });
	register_backend(*made);
	backends_.push_back(std::move(made));
}

void world::register_backend(const backend& one)
{
	registry_.put("servers", one.replica->id(),
		standin::replica_entry(one.service, one.link->at(), one.domain, one.version, one.leaves, one.starts));
}

void world::add_callers(vm& to)
{
	for (std::size_t i = 0; i < callers_per_vm; ++i)
	{
		caller_hooks hooks;
		hooks.next = [this, &to] { return next_request(to); };
		hooks.answered = [this, &to](const std::string& id, const received_answer& answer)
		{
			constexpr int ok = 200;
			history_.answered(id, answer);
			if (answer.status == ok && answer.is_whole)
			{
				to.served_at = answer.at;
			}
		};
		to.callers.push_back(std::make_shared<caller>(context_, to.from_callers->at(), std::move(hooks)));
		to.callers.back()->start();
	}
}

sent_request world::next_request(const vm& from)
{
	// Out of ten: those that run once, that may run again, streams, and those of one configuration only.
	constexpr std::size_t parts = 10;
	constexpr std::size_t once = 4;
	constexpr std::size_t repeatable = 6;
	constexpr std::size_t streams = 8;
	sent_request what;
	what.id = "q" + std::to_string(next_id_++);
	what.key = keys_[random_below(random_, keys_.size())];
	what.vm = from.process->name();
	what.life = from.process->life();
	what.at = proxy::steady_now();
	const auto drawn = random_below(random_, parts);
	what.kind = drawn < once ? request_kind::once : request_kind::repeatable;
	what.path = drawn < once ? standin::once_prefix : standin::repeatable_prefix;
	if (drawn >= repeatable && drawn < streams)
	{
		what.kind = request_kind::stream;
		what.path = standin::stream_prefix;
	}
	if (drawn >= streams)
	{
		constexpr std::size_t versions_back = 3;
		what.version = std::max(1, version_ - static_cast<int>(random_below(random_, versions_back)));
		what.path = standin::versioned_prefix(*what.version);
	}
	what.path += what.id;
	history_.sent(what);
	return what;
}

void world::watch_processes()
{
	for (const auto& one : vms_)
	{
		if (const auto ended = one->process->poll())
		{
			on_process_end(*one, *ended);
		}
	}
	watch_timer_.expires_after(watch_pause);
	watch_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				watch_processes();
			}
		});
}

void world::on_process_end(vm& one, const process_end& how)
{
	if (!how.was_asked)
	{
		history_.broken("no process ends by itself", one.process->name() + ", " + how.how);
	}
	one.asked_to_stop.reset();
	after(restart_pause,
		[this, &one]
		{
			if (!is_over_ && !one.process->runs())
			{
				one.process->start();
			}
		});
}

void world::after(duration span, std::function<void()> then)
{
	const auto timer = std::make_shared<proxy::boot_timer>(context_, span);
	timer->async_wait(
		[timer, then = std::move(then)](const proxy::error_code& error)
		{
			if (!error)
			{
				then();
			}
		});
}

void world::run_for(duration span)
{
	context_.restart();
	context_.run_for(span);
}

bool world::run_until(const std::function<bool()>& holds, duration limit)
{
	constexpr std::chrono::milliseconds step{20};
	const auto end = proxy::steady_now() + limit;
	while (!holds() && proxy::steady_now() < end)
	{
		run_for(step);
	}
	return holds();
}
} // namespace gingerdyke::soak
