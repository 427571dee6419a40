// SPDX-License-Identifier: MIT
// Detects that a replica's process has exited.
#include <gingerdyke/proxy/replica_exit_detector.hpp>

namespace gingerdyke::proxy
{
/// The probe connection to a replica; it carries no request.
struct replica_exit_detector::probe
{
	explicit probe(asio::io_context& context) : socket(context), timer(context) {}

	tcp::socket socket;
	boot_timer timer;
	bool is_done{};
};

replica_exit_detector::replica_exit_detector(
	asio::io_context& context, hooks callbacks, replica_exit_tuning tuning)
	: context_(context), hooks_(std::move(callbacks)), tuning_(tuning)
{
}

void replica_exit_detector::record_broken_response(const routing::replica_ptr& target, instant now)
{
	if (const auto exited = presume(target, now))
	{
		presumed_processes_.insert(exited->process);
		when_state_known(target, [this, exited = *exited](process_state found)
			{ resolve(exited, found == process_state::exited); });
	}
}

void replica_exit_detector::record_refused_connection(const routing::replica_ptr& target, instant now)
{
	if (const auto exited = presume(target, now))
	{
		resolve(*exited, true);
	}
}

void replica_exit_detector::when_state_known(
	const routing::replica_ptr& target, std::function<void(process_state)> hook)
{
	if (runs_.has_exited(*target))
	{
		hook(process_state::exited);
		return;
	}
	const auto process = runs_.instance_of(*target);
	auto& hooks = probes_[process];
	hooks.push_back(std::move(hook));
	if (hooks.size() == 1)
	{
		begin_probe(target, process);
	}
}

/// \returns The presumed exit; none if the exit is known or presumed already.
std::optional<replica_exit> replica_exit_detector::presume(const routing::replica_ptr& target, instant now)
{
	const auto process = runs_.instance_of(*target);
	if (runs_.has_exited(*target) || presumed_processes_.contains(process))
	{
		return std::nullopt;
	}
	replica_exit exited{target, process, runs_.running_at(*target, now)};
	recent_exits_.push_back({process, now});
	hooks_.presumed(exited);
	return exited;
}

void replica_exit_detector::begin_probe(
	const routing::replica_ptr& target, quarantine::process_instance process)
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(target->at.ip, error);
	if (error)
	{
		end_probe(process, process_state::unknown);
		return;
	}
	const auto pending_probe = std::make_shared<probe>(context_);
	const auto finish = [this, pending_probe, process, alive = std::weak_ptr<bool>{alive_}](
							process_state found)
	{
		if (alive.expired() || std::exchange(pending_probe->is_done, true))
		{
			return;
		}
		error_code ignored;
		pending_probe->timer.cancel();
		pending_probe->socket.close(ignored);
		end_probe(process, found);
	};
	pending_probe->timer.expires_after(tuning_.connect_timeout);
	pending_probe->timer.async_wait([finish](const error_code&) { finish(process_state::unknown); });
	pending_probe->socket.async_connect({ip, target->at.port},
		[finish](const error_code& connect_error)
		{
			const bool is_refused = connect_error == asio::error::connection_refused;
			const auto without_connection = is_refused ? process_state::exited : process_state::unknown;
			finish(connect_error ? without_connection : process_state::running);
		});
}

void replica_exit_detector::end_probe(quarantine::process_instance process, process_state found)
{
	const auto ended = probes_.extract(process);
	for (const auto& hook : ended.mapped())
	{
		hook(found);
	}
}

void replica_exit_detector::resolve(const replica_exit& exited, bool has_exited)
{
	presumed_processes_.erase(exited.process);
	const bool is_new_exit = has_exited && runs_.record_exit(*exited.replica, steady_now());
	if (!is_new_exit)
	{
		std::erase_if(
			recent_exits_, [&](const recent_exit& recent) { return recent.process == exited.process; });
	}
	hooks_.resolved(exited, is_new_exit, correlated_processes(steady_now()));
	for (const auto& hook : std::exchange(resolved_hooks_, {}))
	{
		hook();
	}
}

std::vector<quarantine::process_instance> replica_exit_detector::correlated_processes(instant now)
{
	std::erase_if(recent_exits_,
		[&](const recent_exit& recent) { return now - recent.at > tuning_.correlation_window; });
	std::vector<quarantine::process_instance> processes;
	if (recent_exits_.size() >= tuning_.min_correlated)
	{
		for (const auto& recent : recent_exits_)
		{
			processes.push_back(recent.process);
		}
	}
	return processes;
}
} // namespace gingerdyke::proxy
