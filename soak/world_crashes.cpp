// SPDX-License-Identifier: MIT
// Requests that crash replicas.
#include "world.hpp"

#include <algorithm>
#include <csignal>
#include <standin/deployment.hpp>

namespace gingerdyke::soak
{
namespace standin = platform::standin;

/// Starts a caller at each VM.
/// \param complete Sets what is particular to a request.
std::vector<std::shared_ptr<caller>> world::start_callers(const std::function<void(sent_request&)>& complete)
{
	std::vector<std::shared_ptr<caller>> callers;
	for (const auto& one : vms_)
	{
		caller_hooks hooks;
		hooks.next = [this, &one, complete]
		{
			sent_request what;
			what.id = "c" + std::to_string(next_id_++);
			what.key = keys_.front();
			what.vm = one->process->name();
			what.life = one->process->life();
			what.at = proxy::steady_now();
			complete(what);
			history_.sent(what);
			return what;
		};
		hooks.answered = [this](const std::string& id, const received_answer& answer)
		{ history_.answered(id, answer); };
		callers.push_back(std::make_shared<caller>(context_, one->from_callers->at(), std::move(hooks)));
		callers.back()->start();
	}
	return callers;
}

/// It is down for a while, and back as another process under its id.
void world::crash(backend& one)
{
	constexpr std::chrono::milliseconds down{1200};
	one.link->set(link_fault::refused);
	after(down,
		[this, &one]
		{
			++one.starts;
			one.link->set(link_fault::none);
			register_backend(one);
		});
}

/// A caller repeats one request at all VMs; each replica that begins to run it crashes. Then all VMs are
/// killed, and the caller goes on.
void world::let_a_request_crash_replicas()
{
	constexpr std::chrono::seconds before_kill{4};
	constexpr std::chrono::seconds after_kill{4};
	const bool may_repeat = options_.seed % 2 == 0;
	const std::string prefix = may_repeat ? standin::repeatable_prefix : standin::once_prefix;
	const auto path = prefix + standin::crash_path_suffix;
	history_.crashes({path});
	const auto repeating = start_callers(
		[path, may_repeat](sent_request& what)
		{
			what.kind = may_repeat ? request_kind::repeatable : request_kind::once;
			what.path = path;
		});
	run_for(before_kill);
	for (const auto& one : vms_)
	{
		one->process->signal(SIGKILL);
	}
	run_for(after_kill);
	std::for_each(repeating.begin(), repeating.end(), [](const auto& one) { one->stop(); });
	await_recovery("after a request that crashes replicas");
}

/// Callers send requests with one part of prompts, no two alike; each replica that begins to run one crashes.
/// Others share their first part and send no such part; they are served before.
void world::let_a_part_crash_replicas()
{
	constexpr std::chrono::seconds before_part{1};
	constexpr std::chrono::seconds with_part{10};
	const std::string shared_part = "5a4ed0";
	history_.crashes({"", standin::crash_part});
	const auto send_parts = [&](const std::string& second_part)
	{
		return start_callers(
			[shared_part, second_part](sent_request& what)
			{
				what.kind = request_kind::once;
				what.path = standin::once_prefix + what.id;
				what.parts = {shared_part, second_part, what.id};
			});
	};
	const auto sound = send_parts("50d");
	run_for(before_part);
	const auto crashing = send_parts(standin::crash_part);
	run_for(with_part);
	history_.crashes_no_more(proxy::steady_now());
	for (const auto& callers : {crashing, sound})
	{
		std::for_each(callers.begin(), callers.end(), [](const auto& one) { one->stop(); });
	}
	await_recovery("after a part that crashes replicas");
}
} // namespace gingerdyke::soak
