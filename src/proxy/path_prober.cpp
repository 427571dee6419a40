// SPDX-License-Identifier: MIT
// Probes lost paths to replicas.
#include <gingerdyke/proxy/path_prober.hpp>

namespace gingerdyke::proxy
{
struct path_prober::probe
{
	explicit probe(asio::io_context& context) : socket(context), timer(context) {}

	tcp::socket socket;
	boot_timer timer;
	bool is_done{};
};

path_prober::path_prober(asio::io_context& context, routing::path_monitor& paths, duration connect_timeout)
	: context_(context), paths_(paths), connect_timeout_(connect_timeout), timer_(context)
{
}

void path_prober::schedule()
{
	const auto next = paths_.next_probe_at();
	if (!next)
	{
		timer_.cancel();
		return;
	}
	timer_.expires_after(std::max(*next - steady_now(), duration{0}));
	timer_.async_wait(
		[this](const error_code& error)
		{
			if (!error)
			{
				probe_due();
			}
		});
}

void path_prober::probe_due()
{
	for (const auto& target : paths_.due_probes(steady_now()))
	{
		begin(target);
	}
	schedule();
}

void path_prober::begin(const routing::replica_ptr& to)
{
	error_code error;
	const auto ip = asio::ip::make_address_v4(to->at.ip, error);
	if (error)
	{
		paths_.record_failure(*to, routing::path_failure::unanswered, steady_now());
		return;
	}
	const auto pending = std::make_shared<probe>(context_);
	const auto finish = [this, pending, to, alive = std::weak_ptr<bool>{alive_}](
							std::optional<routing::path_failure> failure)
	{
		if (alive.expired() || std::exchange(pending->is_done, true))
		{
			return;
		}
		error_code ignored;
		pending->timer.cancel();
		pending->socket.close(ignored);
		failure ? paths_.record_failure(*to, *failure, steady_now())
				: paths_.record_connected(*to, steady_now());
	};
	pending->timer.expires_after(connect_timeout_);
	pending->timer.async_wait([finish](const error_code&) { finish(routing::path_failure::unanswered); });
	pending->socket.async_connect({ip, to->at.port},
		[finish](const error_code& connect_error)
		{
			const bool is_refused = connect_error == asio::error::connection_refused;
			finish(!connect_error ? std::nullopt
								  : std::optional{is_refused ? routing::path_failure::refused
															 : routing::path_failure::unanswered});
		});
}
} // namespace gingerdyke::proxy
