// SPDX-License-Identifier: MIT
// Structured logs by log4cplus: one JSON object a line. Never a key, never a prompt.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <string>

namespace gingerdyke::log
{
/// \brief How serious a line is.
enum class level
{
	debug,
	info,
	warn,
	error,
};

/// \brief Starts logging to standard output.
/// \param lowest `trace`, `debug`, `info`, `warn` or `error`.
void start(const std::string& lowest);

/// \brief Ends logging; for the end of the program.
void stop();

/// \brief Writes a line.
/// \param what What happened, in a few words; the same words for the same thing.
/// \param fields Further members of the line's object.
void write(level level, const std::string& what, json fields = json::object());
} // namespace gingerdyke::log
