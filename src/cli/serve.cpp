// SPDX-License-Identifier: MIT
// The command `gingerdyke serve`: runs an entry VM until it is asked to shut down.
#include <chrono>
#include <csignal>
#include <gingerdyke/base/boot_clock.hpp>
#include <gingerdyke/cli/commands.hpp>
#include <gingerdyke/cli/options.hpp>
#include <gingerdyke/http/front.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/node/host.hpp>
#include <iostream>
#include <pthread.h>
#include <thread>

namespace gingerdyke::cli
{
namespace
{
constexpr auto drain_poll_interval = std::chrono::milliseconds{50};

/// Signals that request a graceful shutdown.
sigset_t stop_signals()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	return signals;
}

/// Graceful shutdown: readiness probes fail first, so that the load balancer stops sending requests here;
/// then new requests are rejected; then open requests complete and their bills are settled.
void shut_down_gracefully(node::host& node, http::front& front, const node::settings& settings)
{
	log::write(log::level::info, "shutdown started");
	front.fail_ready();
	node.post(node::stop_wanted{});
	std::this_thread::sleep_for(settings.balancer_lag);
	front.refuse_new();
	const auto deadline = boot_clock::now() + settings.stop_limit;
	bool drained = node.ask(node::query_kind::drained).get<bool>();
	while (!drained && boot_clock::now() < deadline)
	{
		std::this_thread::sleep_for(drain_poll_interval);
		drained = node.ask(node::query_kind::drained).get<bool>();
	}
	log::write(drained ? log::level::info : log::level::warn, "shutdown finished", {{"drained", drained}});
	front.stop();
}
} // namespace

exit_code serve(const arguments& args)
{
	int status = 0;
	const std::vector<option_spec> specs{
		{"settings", true, "settings file (JSON); see docs/OPERATIONS.md"},
		{"log-level", true, "trace, debug, info, warn or error; overrides the settings file"},
	};
	const auto options =
		parse_options("gingerdyke serve --settings FILE [--log-level LEVEL]", specs, args, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	if (!options->has("settings"))
	{
		std::cerr << "gingerdyke serve: the option --settings is required\n";
		return exit_code::usage;
	}
	const auto source = json_source::load(options->value("settings"));
	const auto settings = source ? node::read_settings(*source) : tl::make_unexpected(source.error());
	if (!settings)
	{
		std::cerr << to_text(settings.error());
		return exit_code::rejected;
	}
	log::start(options->value("log-level", settings->log_level));

	// Blocked before any thread is started, because threads inherit the signal mask: only `sigwait` below may
	// receive these signals.
	const auto signals = stop_signals();
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
	std::signal(SIGPIPE, SIG_IGN);

	node::host node{*settings};
	http::front front{node, *settings};
	if (front.bind() < 0)
	{
		std::cerr << "gingerdyke serve: can't listen on " << settings->http.str() << "\n";
		return exit_code::unreachable;
	}
	log::write(log::level::info, "serving", {{"vm", settings->vm.str()}, {"http", settings->http.str()}});
	std::thread server_thread{[&front] { front.run(); }};
	int received = 0;
	sigwait(&signals, &received);
	shut_down_gracefully(node, front, *settings);
	server_thread.join();
	node.stop();
	log::stop();
	return exit_code::ok;
}
} // namespace gingerdyke::cli
