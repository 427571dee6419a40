// SPDX-License-Identifier: MIT
// Finds out that a replica's process has ended.
#include <gingerdyke/proxy/replica_end_watch.hpp>

namespace gingerdyke::proxy
{
/// One connection that carries nothing.
struct replica_end_watch::probe
{
	explicit probe(asio::io_context& context) : socket(context), timer(context) {}

	tcp::socket socket;
	boot_timer timer;
	bool is_over{};
};

replica_end_watch::replica_end_watch(asio::io_context& context, hooks told, replica_end_tuning tuning)
	: context_(context), told_(std::move(told)), tuning_(tuning)
{
}

void replica_end_watch::note_broken(const routing::replica_ptr& at, instant now)
{
	if (const auto end = presume(at, now))
	{
		begin_probe(*end);
	}
}

void replica_end_watch::note_refused(const routing::replica_ptr& at, instant now)
{
	if (const auto end = presume(at, now))
	{
		settle(*end, true);
	}
}

/// \returns The likely end; none where it is known or looked for already.
std::optional<replica_end> replica_end_watch::presume(const routing::replica_ptr& at, instant now)
{
	const auto life = runs_.instance_of(*at);
	if (runs_.has_exited(*at) || probed_.contains(life))
	{
		return std::nullopt;
	}
	replica_end end{at, life, runs_.running_at(*at, now)};
	recent_.push_back({life, now});
	told_.presumed(end);
	return end;
}

void replica_end_watch::begin_probe(const replica_end& end)
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(end.replica->at.ip, error);
	if (error)
	{
		settle(end, false);
		return;
	}
	probed_.insert(end.life);
	const auto made = std::make_shared<probe>(context_);
	const auto finish = [this, made, end, alive = std::weak_ptr<bool>{lives_}](bool has_ended)
	{
		if (alive.expired() || std::exchange(made->is_over, true))
		{
			return;
		}
		error_code ignored;
		made->timer.cancel();
		made->socket.close(ignored);
		probed_.erase(end.life);
		settle(end, has_ended);
	};
	made->timer.expires_after(tuning_.connect_limit);
	made->timer.async_wait([finish](const error_code&) { finish(false); });
	made->socket.async_connect({ip, end.replica->at.port},
		[finish](const error_code& failed) { finish(failed == asio::error::connection_refused); });
}

void replica_end_watch::settle(const replica_end& end, bool has_ended)
{
	const bool is_news = has_ended && runs_.record_exit(*end.replica, steady_now());
	if (!is_news)
	{
		std::erase_if(recent_, [&](const recent_end& one) { return one.life == end.life; });
	}
	told_.settled(end, is_news, lives_together(steady_now()));
	for (const auto& hook : std::exchange(waiting_, {}))
	{
		hook();
	}
}

std::vector<quarantine::process_instance> replica_end_watch::lives_together(instant now)
{
	std::erase_if(recent_, [&](const recent_end& one) { return now - one.at > tuning_.together; });
	std::vector<quarantine::process_instance> lives;
	if (recent_.size() >= tuning_.least_together)
	{
		for (const auto& one : recent_)
		{
			lives.push_back(one.life);
		}
	}
	return lives;
}
} // namespace gingerdyke::proxy
