// SPDX-License-Identifier: MIT
// `gingerdyke-standin ROLE --listen HOST:PORT`: one stand-in. For tests and the demo only.
#include "roles.hpp"
#include <csignal>
#include <functional>
#include <gingerdyke/node/settings.hpp>
#include <iostream>
#include <map>

namespace
{
using gingerdyke::cli::parsed_options;
using adder = std::function<void(httplib::Server&, const parsed_options&)>;

constexpr int usage_error = 2;
constexpr int unreachable = 3;
constexpr std::size_t connections = 256;
constexpr std::size_t body_bytes = 64U << 20U;

const std::map<std::string, adder>& roles()
{
	static const std::map<std::string, adder> all{
		{"table-service", gingerdyke::standin::add_table_service},
		{"vm-list", gingerdyke::standin::add_vm_list},
		{"rating-service", gingerdyke::standin::add_rating_service},
		{"engine", gingerdyke::standin::add_engine},
		{"service", gingerdyke::standin::add_service},
	};
	return all;
}
} // namespace

int main(int argc, char** argv)
{
	const std::vector<gingerdyke::cli::option_spec> specs{
		{"listen", true, "HOST:PORT; port 0 takes a free one, which is printed"},
		{"versions", true, "engine: versions it has loaded, comma-separated"},
		{"token-us", true, "engine: microseconds a token"},
		{"tokens", true, "engine: tokens an answer where the caller names none"},
		{"record", true, "engine: file that the ids of requests are added to as they run"},
		{"good-share", true, "rating-service: share of answers rated good"},
	};
	int status = 0;
	const auto options =
		gingerdyke::cli::parse_options("gingerdyke-standin ROLE --listen HOST:PORT (table-service, vm-list, "
									   "rating-service, engine, service)",
			specs, {argv + 1, argv + argc}, status);
	if (!options)
	{
		return status;
	}
	const auto role = options->operands.empty() ? roles().end() : roles().find(options->operands.front());
	if (role == roles().end() || !options->has("listen"))
	{
		std::cerr << "gingerdyke-standin: name a known role and --listen\n";
		return usage_error;
	}
	std::signal(SIGPIPE, SIG_IGN);
	gingerdyke::http::listener listener{{connections, body_bytes, 60}};
	role->second(listener.server(), *options);
	const auto at = gingerdyke::node::endpoint::parse(options->value("listen"));
	const auto port = listener.bind(at.host, at.port);
	if (port < 0)
	{
		std::cerr << "gingerdyke-standin: can't listen at " << at.str() << "\n";
		return unreachable;
	}
	std::cout << at.host << ":" << port << std::endl;
	listener.run();
	return 0;
}
