// SPDX-License-Identifier: MIT
// `gingerdyke-soak`: real VM processes under drawn faults, checked against what callers and replicas see.
#include "world.hpp"

#include <csignal>
#include <exception>
#include <gingerdyke/cli/options.hpp>
#include <iostream>

namespace gingerdyke::soak
{
namespace
{
constexpr int exit_ok = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

/// Tells which replicas the crashing request ended: also where the promise held, how much was left of it.
void print_crash_ends(const std::vector<crash_end>& ends)
{
	std::cout << "  the crashing request ended " << ends.size() << " replicas:";
	for (const auto& one : ends)
	{
		std::cout << " " << one.replica << " by " << one.vm << " after "
				  << static_cast<long>(to_milliseconds(one.at - ends.front().at)) << " ms;";
	}
	std::cout << std::endl;
}

/// Runs one seed.
/// \returns Whether all promises held.
bool run_seed(run_options options)
{
	options.directory /= "seed-" + std::to_string(options.seed);
	const auto result = world{options}.run();
	std::cout << "seed " << options.seed << ": " << result.requests << " requests, " << result.served
			  << " served, " << result.broken.size() << " promises broken" << std::endl;
	print_crash_ends(result.crash_ends);
	if (result.broken.empty())
	{
		std::filesystem::remove_all(options.directory);
		return true;
	}
	for (const auto& one : result.broken)
	{
		std::cout << "  " << one << "\n";
	}
	for (const auto& one : draw_faults(options.seed, options.length))
	{
		std::cout << "  fault: " << one.str() << "\n";
	}
	std::cout << "  logs: " << options.directory.string() << std::endl;
	return false;
}

int main_with(const std::vector<std::string>& args)
{
	int status = exit_usage;
	const std::vector<cli::option_spec> specs{
		{"binary", true, "program under test (default: gingerdyke beside this program)"},
		{"seed", true, "first seed (default: 1)"},
		{"seeds", true, "how many seeds (default: 1)"},
		{"seconds", true, "time over which faults begin, a seed (default: 8)"},
		{"vms", true, "VM processes (default: 4)"},
		{"keep", true,
			"where settings and logs go; those of seeds that held are removed (default: soak-logs)"},
	};
	const auto options = cli::parse_options("gingerdyke-soak [OPTION...]", specs, args, status);
	if (!options)
	{
		return status;
	}
	run_options run;
	run.binary = options->value(
		"binary", (std::filesystem::canonical("/proc/self/exe").parent_path() / "gingerdyke").string());
	run.directory = options->value("keep", "soak-logs");
	run.vms = std::stoul(options->value("vms", "4"));
	run.length = std::chrono::seconds{std::stol(options->value("seconds", "8"))};
	const auto first = std::stoull(options->value("seed", "1"));
	const auto count = std::stoull(options->value("seeds", "1"));
	bool all_held = true;
	for (auto seed = first; seed < first + count; ++seed)
	{
		run.seed = seed;
		all_held = run_seed(run) && all_held;
	}
	return all_held ? exit_ok : exit_broken;
}
} // namespace
} // namespace gingerdyke::soak

int main(int argc, char** argv)
{
	std::signal(SIGPIPE, SIG_IGN);
	try
	{
		return gingerdyke::soak::main_with({argv + 1, argv + argc});
	}
	catch (const std::exception& error)
	{
		std::cerr << "gingerdyke-soak: " << error.what() << "\n";
		return gingerdyke::soak::exit_usage;
	}
}
