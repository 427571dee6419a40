// SPDX-License-Identifier: MIT
// Entry point of the `gingerdyke` binary: looks up the command and runs it.
#include <exception>
#include <functional>
#include <gingerdyke/cli/commands.hpp>
#include <iostream>
#include <map>
#include <route.hpp>

namespace
{
using gingerdyke::cli::arguments;
using gingerdyke::cli::exit_code;

struct command
{
	std::function<exit_code(const arguments&)> run;
	const char* help;
};

const std::map<std::string, command>& commands()
{
	static const std::map<std::string, command> all{
		{"serve", {gingerdyke::cli::serve, "run an entry VM"}},
		{"route", {gingerdyke::platform::route, "run a VM on the users' platform"}},
		{"check", {gingerdyke::cli::check, "check settings and table files"}},
		{"plan", {gingerdyke::cli::plan, "show the changes that apply would make"}},
		{"apply", {gingerdyke::cli::apply, "change the table to match a file"}},
		{"export", {gingerdyke::cli::export_table, "print the table in the format of table files"}},
		{"status", {gingerdyke::cli::status, "print the state of a node"}},
		{"explain", {gingerdyke::cli::explain, "print how a request was routed, and why"}},
	};
	return all;
}

void print_help(std::ostream& out)
{
	out << "usage: gingerdyke COMMAND [OPTION...]\n\ncommands:\n";
	for (const auto& [name, command] : commands())
	{
		out << "  " << name << std::string(10 - name.size(), ' ') << command.help << "\n";
	}
	out << "\nRun `gingerdyke COMMAND --help` for the options of a command.\n"
		   "exit codes: 0 success; 1 rejected, with findings; 2 usage error; 3 unreachable; 4 plan found "
		   "changes\n";
}
} // namespace

int main(int argc, char** argv)
{
	const arguments args(argv + 1, argv + argc);
	if (args.empty() || args.front() == "--help" || args.front() == "-h")
	{
		print_help(args.empty() ? std::cerr : std::cout);
		return static_cast<int>(args.empty() ? exit_code::usage : exit_code::ok);
	}
	const auto found = commands().find(args.front());
	if (found == commands().end())
	{
		std::cerr << "gingerdyke: unknown command " << args.front() << "\n";
		print_help(std::cerr);
		return static_cast<int>(exit_code::usage);
	}
	try
	{
		return static_cast<int>(found->second.run({args.begin() + 1, args.end()}));
	}
	catch (const std::exception& error)
	{
		std::cerr << "gingerdyke: " << error.what() << "\n";
		return static_cast<int>(exit_code::unreachable);
	}
}
