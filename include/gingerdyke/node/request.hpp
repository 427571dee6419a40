// SPDX-License-Identifier: MIT
// What passes between a request's handler, which moves bytes, and the node, which decides.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/claims/book.hpp>
#include <optional>
#include <string>
#include <variant>

namespace gingerdyke::node
{
/// \brief Names one request within this process.
using request_ref = std::uint64_t;

/// \brief What a request asks for.
enum class request_kind
{
	chat,
	service,
};

/// \brief Whether the work ran, as the caller is told.
enum class outcome
{
	ran,
	not_run,
	unknown,
};

/// \brief The word for an outcome in the header `Gingerdyke-Outcome`.
[[nodiscard]] const char* name_of(outcome outcome) noexcept;

/// \brief A request as its handler read it; bodies stay with the handler.
struct arrival
{
	request_ref ref{};
	request_id id;
	request_kind kind{request_kind::chat};

	/// SHA-256 of the caller's key; empty where none was sent.
	std::string key_digest;

	/// Model, `model@version`, cascade, or service.
	std::string target;

	/// Class asked for; empty: the workspace's default.
	class_id wanted_class;

	/// Session handle; empty: a session of its own.
	std::string session;

	/// Key under which the request runs at most once; empty: none.
	idempotency_key key;

	/// Digest of the content, to tell a repeated request from a reused key.
	std::string fingerprint;

	bool streamed{};

	/// The caller says that the request may not be repeated.
	bool declared_unrepeatable{};

	/// Hash of the prompt's prefix; 0: none.
	std::uint64_t prefix{};

	/// Method and path, of a plain service's call.
	std::string method;
	std::string path;
};

/// \brief How one attempt at an upstream ended, as far as the handler can tell.
enum class attempt_end
{
	/// The whole answer came, matched to the request.
	complete,
	/// No byte was sent.
	not_sent,
	/// The upstream said that it did not take the work: too busy.
	busy,
	/// The upstream said that it did not take the work: it leaves.
	leaving,
	/// The upstream answered that it failed, or sent no valid response.
	failed,
	/// The connection broke, or time ran out, after bytes were sent.
	lost,
	/// The answer was another version's, or another request's.
	mismatched,
	/// The caller left.
	caller_left,
};

/// \brief The end of an attempt.
struct attempt_report
{
	request_ref ref{};
	unsigned attempt{};
	attempt_end end{attempt_end::complete};

	/// HTTP status, where there was one.
	int status{};

	/// Tokens generated in this attempt, as far as known.
	tokens used;

	/// Chunks of this request passed on to the caller so far, over all attempts.
	std::uint64_t delivered{};

	/// Load that the upstream reported; negative: none.
	double load{-1};

	/// How sure the model said it was, 0 to 1; negative: it did not say.
	double confidence{-1};

	/// What the caller is answered, for a request with an idempotency key.
	std::optional<claims::recorded_outcome> recorded;
};

/// \brief Tokens generated so far in the open attempt.
struct progress_report
{
	request_ref ref{};
	unsigned attempt{};
	tokens used;
};

/// \brief What logs and metrics need to know of a request.
struct request_facts
{
	workspace_id workspace;
	class_id request_class;
	version_ref version;
	outcome ran{outcome::not_run};

	/// Short reason, for the log and as the error's code.
	std::string reason;
};

/// \brief What a rating is about: whose quality it tells of.
struct rating_subject
{
	workspace_id workspace;
	class_id request_class;
	cascade_id cascade;
	model_id model;

	/// How sure the model said it was, 0 to 1.
	double confidence{};
};

/// \brief A rating came from the rating service.
struct rating_report
{
	rating_subject subject;
	bool good{};
};

/// \brief Send the request to an upstream.
struct dispatch_order
{
	unsigned attempt{};
	std::string upstream;
	std::string address;
	version_ref version;
	std::string session;
	int priority{};

	/// Chunks that the caller has already; the upstream resumes after them.
	std::uint64_t resume_after{};

	/// Offer the answer for rating, as telling of this; nothing: don't.
	std::optional<rating_subject> rate;

	request_facts facts;
};

/// \brief Give the caller the rest of the answer: all is journalled.
struct finish_order
{
	request_facts facts;
};

/// \brief Answer with an error; after chunks were passed on, end the stream with the error.
struct refuse_order
{
	int status{};
	std::string message;
	std::optional<duration> retry_after;
	request_facts facts;
};

/// \brief Answer what the earlier request with the same key was answered.
struct replay_order
{
	claims::recorded_outcome recorded;
	request_facts facts;
};

using order = std::variant<dispatch_order, finish_order, refuse_order, replay_order>;

/// \brief An order with the request that it is for.
struct request_order
{
	request_ref ref{};
	order what;
};
} // namespace gingerdyke::node
