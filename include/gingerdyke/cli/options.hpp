// SPDX-License-Identifier: MIT
// Command-line options, by getopt_long.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::cli
{
/// \brief An option with a value, or a flag.
struct option_spec
{
	std::string name;
	bool takes_value{};
	std::string help;
};

/// \brief Options and operands as given.
struct parsed_options
{
	std::map<std::string, std::string> values;
	std::vector<std::string> operands;

	[[nodiscard]] bool has(const std::string& name) const { return values.contains(name); }

	/// \brief An option's value, or another where it was not given.
	[[nodiscard]] std::string value(const std::string& name, const std::string& otherwise = {}) const;
};

/// \brief Reads a command's arguments. Prints what is wrong, or the help that was asked for.
/// \param usage First line of the help.
/// \returns Nothing where the command has nothing more to do; `exit_status` then says why.
[[nodiscard]] std::optional<parsed_options> parse_options(const std::string& usage,
	const std::vector<option_spec>& specs, const std::vector<std::string>& args, int& exit_status);
} // namespace gingerdyke::cli
