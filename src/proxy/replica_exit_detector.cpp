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
		begin_probe(*exited);
	}
}

void replica_exit_detector::record_refused_connection(const routing::replica_ptr& target, instant now)
{
	if (const auto exited = presume(target, now))
	{
		resolve(*exited, true);
	}
}

/// \returns The presumed exit; none if the exit is known or a probe is in progress.
std::optional<replica_exit> replica_exit_detector::presume(const routing::replica_ptr& target, instant now)
{
	const auto process = runs_.instance_of(*target);
	if (runs_.has_exited(*target) || probed_processes_.contains(process))
	{
		return std::nullopt;
	}
	replica_exit exited{target, process, runs_.running_at(*target, now)};
	recent_exits_.push_back({process, now});
	hooks_.presumed(exited);
	return exited;
}

void replica_exit_detector::begin_probe(const replica_exit& exited)
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(exited.replica->at.ip, error);
	if (error)
	{
		resolve(exited, false);
		return;
	}
	probed_processes_.insert(exited.process);
	const auto pending_probe = std::make_shared<probe>(context_);
	const auto finish = [this, pending_probe, exited, alive = std::weak_ptr<bool>{alive_}](bool has_exited)
	{
		if (alive.expired() || std::exchange(pending_probe->is_done, true))
		{
			return;
		}
		error_code ignored;
		pending_probe->timer.cancel();
		pending_probe->socket.close(ignored);
		probed_processes_.erase(exited.process);
		resolve(exited, has_exited);
	};
	pending_probe->timer.expires_after(tuning_.connect_timeout);
	pending_probe->timer.async_wait([finish](const error_code&) { finish(false); });
	pending_probe->socket.async_connect({ip, exited.replica->at.port},
		[finish](const error_code& connect_error)
		{ finish(connect_error == asio::error::connection_refused); });
}

void replica_exit_detector::resolve(const replica_exit& exited, bool has_exited)
{
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
