// SPDX-License-Identifier: MIT
// `gingerdyke serve`: one entry VM, from its settings to its planned stop.
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
constexpr auto drain_poll = std::chrono::milliseconds{50};

/// Signals that ask for a planned stop.
sigset_t stop_signals()
{
	sigset_t signals;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	return signals;
}

/// Stops without cutting a request: first the balancer learns of it, then open requests end, then bills
/// settle.
void stop_in_order(node::host& node, http::front& front, const node::settings& settings)
{
	log::write(log::level::info, "stop begun");
	front.fail_ready();
	node.post(node::stop_wanted{});
	std::this_thread::sleep_for(settings.balancer_lag);
	front.refuse_new();
	const auto deadline = boot_clock::now() + settings.stop_limit;
	bool drained = node.ask(node::query_kind::drained).get<bool>();
	while (!drained && boot_clock::now() < deadline)
	{
		std::this_thread::sleep_for(drain_poll);
		drained = node.ask(node::query_kind::drained).get<bool>();
	}
	log::write(drained ? log::level::info : log::level::warn, "stop ends", {{"drained", drained}});
	front.stop();
}
} // namespace

exit_code serve(const arguments& args)
{
	int status = 0;
	const std::vector<option_spec> specs{
		{"settings", true, "settings file (JSON); see docs/OPERATIONS.md"},
		{"log-level", true, "trace, debug, info, warn or error; goes before the settings"},
	};
	const auto options =
		parse_options("gingerdyke serve --settings FILE [--log-level LEVEL]", specs, args, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	if (!options->has("settings"))
	{
		std::cerr << "gingerdyke serve: --settings is missing\n";
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

	// Blocked before any thread starts, so that only the wait below receives them.
	const auto signals = stop_signals();
	pthread_sigmask(SIG_BLOCK, &signals, nullptr);
	std::signal(SIGPIPE, SIG_IGN);

	node::host node{*settings};
	http::front front{node, *settings};
	if (front.bind() < 0)
	{
		std::cerr << "gingerdyke serve: can't listen at " << settings->http.str() << "\n";
		return exit_code::unreachable;
	}
	log::write(log::level::info, "serving", {{"vm", settings->vm.str()}, {"http", settings->http.str()}});
	std::thread serving{[&front] { front.run(); }};
	int received = 0;
	sigwait(&signals, &received);
	stop_in_order(node, front, *settings);
	serving.join();
	node.stop();
	log::stop();
	return exit_code::ok;
}
} // namespace gingerdyke::cli
