// SPDX-License-Identifier: MIT
// Finds out that a replica's process has ended.
#include <gingerdyke/proxy/replica_end_watch.hpp>

namespace gingerdyke::proxy
{
/// One connection that carries nothing.
struct replica_exit_detector::probe
{
	explicit probe(asio::io_context& context) : socket(context), timer(context) {}

	tcp::socket socket;
	boot_timer timer;
	bool is_done{};
};

replica_exit_detector::replica_exit_detector(asio::io_context& context, hooks told, replica_exit_tuning tuning)
	: context_(context), hooks_(std::move(told)), tuning_(tuning)
{
}

void replica_exit_detector::note_broken_response(const routing::replica_ptr& at, instant now)
{
	if (const auto exit = presume(at, now))
	{
		begin_probe(*exit);
	}
}

void replica_exit_detector::note_refused_connection(const routing::replica_ptr& at, instant now)
{
	if (const auto exit = presume(at, now))
	{
		resolve(*exit, true);
	}
}

/// \returns The likely end; none where it is known or looked for already.
std::optional<replica_exit> replica_exit_detector::presume(const routing::replica_ptr& at, instant now)
{
	const auto life = runs_.life_of(*at);
	if (runs_.has_ended(*at) || probed_lives_.contains(life))
	{
		return std::nullopt;
	}
	replica_exit exit{at, life, runs_.running_at(*at, now)};
	recent_exits_.push_back({life, now});
	hooks_.presumed(exit);
	return exit;
}

void replica_exit_detector::begin_probe(const replica_exit& exit)
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(exit.replica->at.ip, error);
	if (error)
	{
		resolve(exit, false);
		return;
	}
	probed_lives_.insert(exit.life);
	const auto made = std::make_shared<probe>(context_);
	const auto finish = [this, made, exit, alive = std::weak_ptr<bool>{alive_}](bool has_exited)
	{
		if (alive.expired() || std::exchange(made->is_done, true))
		{
			return;
		}
		error_code ignored;
		made->timer.cancel();
		made->socket.close(ignored);
		probed_lives_.erase(exit.life);
		resolve(exit, has_exited);
	};
	made->timer.expires_after(tuning_.connect_timeout);
	made->timer.async_wait([finish](const error_code&) { finish(false); });
	made->socket.async_connect({ip, exit.replica->at.port},
		[finish](const error_code& failed) { finish(failed == asio::error::connection_refused); });
}

void replica_exit_detector::resolve(const replica_exit& exit, bool has_exited)
{
	const bool is_new_exit = has_exited && runs_.note_ended(*exit.replica, steady_now());
	if (!is_new_exit)
	{
		std::erase_if(recent_exits_, [&](const recent_exit& one) { return one.life == exit.life; });
	}
	hooks_.resolved(exit, is_new_exit, correlated_lives(steady_now()));
	for (const auto& hook : std::exchange(resolved_hooks_, {}))
	{
		hook();
	}
}

std::vector<quarantine::process_life> replica_exit_detector::correlated_lives(instant now)
{
	std::erase_if(recent_exits_, [&](const recent_exit& one) { return now - one.at > tuning_.correlation_window; });
	std::vector<quarantine::process_life> lives;
	if (recent_exits_.size() >= tuning_.min_correlated)
	{
		for (const auto& one : recent_exits_)
		{
			lives.push_back(one.life);
		}
	}
	return lives;
}
} // namespace gingerdyke::proxy
