// SPDX-License-Identifier: MIT
// Structured logging with log4cplus, one JSON object per line. API keys and prompts must never be logged.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <string>

namespace gingerdyke::log
{
/// \brief Severity of a log line.
enum class level
{
	debug,
	info,
	warn,
	error,
};

/// \brief Starts logging to standard output.
/// \param min_level Lowest level that is written: `trace`, `debug`, `info`, `warn` or `error`.
void start(const std::string& min_level);

/// \brief Shuts logging down; to be called at the end of the program.
void stop();

/// \brief Writes a log line.
/// \param message Short description of the event, the same text for every event of its kind.
/// \param fields Additional members of the JSON object.
void write(level level, const std::string& message, json fields = json::object());
} // namespace gingerdyke::log
