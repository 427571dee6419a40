// SPDX-License-Identifier: MIT
// Names of the HTTP headers that the data path reads, sets and removes. The platform adapter supplies them.
#pragma once

#include <string>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Header names of one deployment, in the letter case in which they are sent.
struct header_names
{
	/// Request id set by the caller; replicas repeat it in their responses.
	std::string request_id;

	/// Remaining time to respond, in milliseconds.
	std::string deadline_ms;

	/// Proof that a replica made the response; forwarded unchanged.
	std::string signature;

	/// Workspace of the caller's API key; only the router sets it.
	std::string workspace;

	/// Id of the replica that the request is sent to; any other replica refuses it.
	std::string target_replica;

	/// Present in a response if the replica did not run the request.
	std::string not_run;

	/// Id of the responding replica.
	std::string replica_id;

	std::string model;

	/// Number of prompt tokens and maximum number of generated tokens: `PROMPT,GENERATED`.
	std::string token_counts;

	/// Number of tokens that the caller expects to be generated.
	std::string length_hint;

	/// Segments of the prompt in order: `ID:TOKENS,ID:TOKENS`.
	std::string prompt_segments;

	/// Scheduling priority at an engine; 0 is the highest.
	std::string priority;

	/// Confidence of the model in its own answer, 0 to 100.
	std::string confidence;

	/// Load limit of an overloaded replica: requests per second from all VMs together, a decimal number.
	std::string load_limit;

	/// Number of rejections in a second that a brittle replica survives, in all of its responses.
	std::string rejection_limit;

	/// `1` in a response of a replica that is draining.
	std::string draining_flag;

	/// Session id: requests with the same value belong together.
	std::string session;

	/// Id of the last event received, from which an interrupted stream is resumed.
	std::string last_event_id;

	/// Scheme of the `Authorization` header that carries an API key.
	std::string key_scheme;

	/// Prefixes of headers in which replicas may state something about themselves.
	std::vector<std::string> statement_prefixes;

	/// Headers with one of these prefixes that are read, or ignored on purpose.
	std::vector<std::string> known_statements;

	/// Headers that only the router may set; they are removed from requests of callers.
	std::vector<std::string> reserved;
};
} // namespace gingerdyke::proxy
