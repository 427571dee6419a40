// SPDX-License-Identifier: MIT
// Names of the headers that the data path reads, sets and removes; the platform adapter fills them in.
#pragma once

#include <string>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Header names of one deployment. A name stands in the case in which it is sent.
struct header_names
{
	/// Caller's id of the request; replicas repeat it in their answers.
	std::string request_id;

	/// Milliseconds that are left to answer.
	std::string deadline_ms;

	/// Replica's mark on its answer, returned unchanged.
	std::string signature;

	/// Workspace that the caller's key belongs to; only the router sets it.
	std::string workspace;

	/// Id of the replica that is meant; another one refuses.
	std::string target_replica;

	/// Present in an answer where the replica did not run the request.
	std::string not_run;

	/// Id of the replica that answers.
	std::string replica_id;

	std::string model;

	/// Tokens of the prompt, and the most to generate: `PROMPT,GENERATED`.
	std::string token_counts;

	/// Parts of the prompt in order: `ID:TOKENS,ID:TOKENS`.
	std::string prompt_parts;

	/// Rank at an engine, 0 first.
	std::string priority;

	/// Model's own confidence in its answer, 0 to 100.
	std::string confidence;

	/// Requests a second that a replica in need takes from all VMs together, a decimal number.
	std::string load_limit;

	/// `1` in an answer of a replica that leaves.
	std::string leaving;

	/// Requests of one value belong together.
	std::string session;

	/// Where a broken stream goes on.
	std::string last_event_id;

	/// Scheme of the `Authorization` header.
	std::string key_scheme;

	/// Beginnings of headers by which replicas may say something of themselves.
	std::vector<std::string> statement_prefixes;

	/// Headers that begin so and are read, or left unread on purpose.
	std::vector<std::string> known_statements;

	/// Headers that only the router may set, removed from what callers send.
	std::vector<std::string> reserved;
};
} // namespace gingerdyke::proxy
