// SPDX-License-Identifier: MIT
// Command-line option parsing, based on getopt_long.
#include <getopt.h>
#include <gingerdyke/cli/options.hpp>
#include <iostream>

namespace gingerdyke::cli
{
namespace
{
constexpr int usage_error = 2;

void print_help(std::ostream& out, const std::string& usage, const std::vector<option_spec>& specs)
{
	out << "usage: " << usage << "\n";
	for (const auto& spec : specs)
	{
		out << "  --" << spec.name << (spec.takes_value ? " VALUE" : "") << "\n        " << spec.help << "\n";
	}
	out << "  --help\n        print this help\n";
}
} // namespace

std::string parsed_options::value(const std::string& name, const std::string& fallback) const
{
	const auto found = values.find(name);
	return found == values.end() ? fallback : found->second;
}

std::optional<parsed_options> parse_options(const std::string& usage, const std::vector<option_spec>& specs,
	const std::vector<std::string>& args, int& exit_status)
{
	std::vector<option> options;
	options.reserve(specs.size() + 2);
	for (const auto& spec : specs)
	{
		options.push_back(
			{spec.name.c_str(), spec.takes_value ? required_argument : no_argument, nullptr, 0});
	}
	options.push_back({"help", no_argument, nullptr, 'h'});
	options.push_back({nullptr, 0, nullptr, 0});

	auto argument_copies = args;
	std::string program = "gingerdyke";
	std::vector<char*> argv{program.data()};
	for (auto& argument : argument_copies)
	{
		argv.push_back(argument.data());
	}
	argv.push_back(nullptr);

	parsed_options result;
	optind = 0;
	int spec_index = 0;
	int option_char = 0;
	while ((option_char = getopt_long(
				static_cast<int>(argv.size()) - 1, argv.data(), "h", options.data(), &spec_index)) != -1)
	{
		if (option_char == 'h')
		{
			print_help(std::cout, usage, specs);
			exit_status = 0;
			return std::nullopt;
		}
		if (option_char == '?')
		{
			print_help(std::cerr, usage, specs);
			exit_status = usage_error;
			return std::nullopt;
		}
		const auto& spec = specs[static_cast<std::size_t>(spec_index)];
		result.values[spec.name] = spec.takes_value ? optarg : "";
	}
	for (auto i = static_cast<std::size_t>(optind); i + 1 < argv.size(); ++i)
	{
		result.operands.emplace_back(argv[i]);
	}
	return result;
}
} // namespace gingerdyke::cli
