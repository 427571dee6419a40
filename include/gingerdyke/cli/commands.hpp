// SPDX-License-Identifier: MIT
// The commands of the shipped binary.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace gingerdyke::cli
{
/// \brief Exit codes of all commands.
enum class exit_code : int
{
	ok = 0,
	/// What was checked has findings, or the other side refused.
	rejected = 1,
	/// The command line can't be understood.
	usage = 2,
	/// The other side can't be reached, or its answer was lost.
	unreachable = 3,
	/// `plan` found changes to make.
	changes = 4,
};

/// \brief Arguments after the command's name.
using arguments = std::vector<std::string>;

/// \brief `gingerdyke serve --settings FILE`: runs an entry VM until SIGTERM or SIGINT.
[[nodiscard]] exit_code serve(const arguments& args);

/// \brief `gingerdyke check FILE...`: checks settings and table files.
[[nodiscard]] exit_code check(const arguments& args);

/// \brief `gingerdyke plan --node HOST:PORT FILE`: shows what `apply` would change.
[[nodiscard]] exit_code plan(const arguments& args);

/// \brief `gingerdyke apply --node HOST:PORT FILE`: makes the table what the file declares.
[[nodiscard]] exit_code apply(const arguments& args);

/// \brief `gingerdyke export --node HOST:PORT`: prints the table as declarations.
[[nodiscard]] exit_code export_table(const arguments& args);

/// \brief `gingerdyke status --node HOST:PORT`: prints a node's state.
[[nodiscard]] exit_code status(const arguments& args);

/// \brief `gingerdyke explain --node HOST:PORT ID`: prints why a request went where it went.
[[nodiscard]] exit_code explain(const arguments& args);
} // namespace gingerdyke::cli
