// SPDX-License-Identifier: MIT
// Command-line option parsing, based on getopt_long.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::cli
{
/// \brief A command-line option, with or without a value.
struct option_spec
{
	std::string name;
	bool takes_value{};
	std::string help;
};

/// \brief Parsed options and operands of a command.
struct parsed_options
{
	std::map<std::string, std::string> values;
	std::vector<std::string> operands;

	[[nodiscard]] bool has(const std::string& name) const { return values.contains(name); }

	/// \brief Value of an option, or `fallback` if the option was not given.
	[[nodiscard]] std::string value(const std::string& name, const std::string& fallback = {}) const;
};

/// \brief Parses the arguments of a command. Prints the help for `--help` and for an invalid option.
/// \param usage First line of the help.
/// \param exit_status Set if nothing is returned.
/// \returns The parsed options, or nothing if the command has to exit with `exit_status`.
[[nodiscard]] std::optional<parsed_options> parse_options(const std::string& usage,
	const std::vector<option_spec>& specs, const std::vector<std::string>& args, int& exit_status);
} // namespace gingerdyke::cli
