// SPDX-License-Identifier: MIT
// Commands of the `gingerdyke` binary.
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
	/// The checked files have findings, or the node rejected the request.
	rejected = 1,
	/// The command line is invalid.
	usage = 2,
	/// The node can't be reached, or the result of the request is unknown.
	unreachable = 3,
	/// `plan` found differences between the file and the table.
	changes = 4,
};

/// \brief Command-line arguments after the name of the command.
using arguments = std::vector<std::string>;

/// \brief `gingerdyke serve --settings FILE`: runs an entry VM until SIGTERM or SIGINT.
[[nodiscard]] exit_code serve(const arguments& args);

/// \brief `gingerdyke check FILE...`: checks settings and table files.
[[nodiscard]] exit_code check(const arguments& args);

/// \brief `gingerdyke plan --node HOST:PORT FILE`: prints the changes that `apply` would make.
[[nodiscard]] exit_code plan(const arguments& args);

/// \brief `gingerdyke apply --node HOST:PORT FILE`: changes the table to match the file.
[[nodiscard]] exit_code apply(const arguments& args);

/// \brief `gingerdyke export --node HOST:PORT`: prints the table in the format of table files.
[[nodiscard]] exit_code export_table(const arguments& args);

/// \brief `gingerdyke status --node HOST:PORT`: prints the state of a node.
[[nodiscard]] exit_code status(const arguments& args);

/// \brief `gingerdyke explain --node HOST:PORT ID`: prints how a request was routed, and why.
[[nodiscard]] exit_code explain(const arguments& args);
} // namespace gingerdyke::cli
