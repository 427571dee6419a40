// SPDX-License-Identifier: MIT
// Claims: who may run a request that may not be repeated. Won in the table service before dispatch.
#pragma once

#include <chrono>
#include <gingerdyke/base/effect.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gingerdyke::claims
{
/// \brief Names one request within this process.
using ticket = std::uint64_t;

/// \brief What a caller wants to run once.
struct claim_request
{
	ticket ref{};
	workspace_id workspace;
	idempotency_key key;
	request_id request;

	/// Digest of the request's content: a key used for another content is a caller's mistake.
	std::string fingerprint;
};

/// \brief What was answered to a claimed request, kept in its row.
struct recorded_outcome
{
	int status{};
	std::string content_type;
	std::string body;

	/// False where the body was too large to keep.
	bool body_kept{};
};

/// \brief The claim is ours: dispatch.
struct claim_won
{
};

/// \brief The request ran before; this was its answer.
struct claim_replayed
{
	recorded_outcome outcome;
};

/// \brief Another attempt holds the claim: whether it ran is not known.
struct claim_held
{
};

/// \brief The key was used for a request of other content.
struct claim_mismatch
{
};

/// \brief The table service can't be asked; the request did not and will not run.
struct claim_unavailable
{
};

using claim_verdict = std::variant<claim_won, claim_replayed, claim_held, claim_mismatch, claim_unavailable>;

/// \brief The verdict on one claim.
struct claim_answer
{
	ticket ref{};
	claim_verdict verdict;
};

/// \brief Effects, and the claims that are settled by them.
struct claim_step
{
	effects out;
	std::vector<claim_answer> answers;
};

/// \brief Limits of the book.
struct book_limits
{
	/// A claim that is not settled in this time is given up: the caller is told `not-run`.
	duration patience = std::chrono::milliseconds{1500};

	/// Pause between tries to release or record.
	duration retry_pause = std::chrono::seconds{1};

	/// How long the release of an abandoned claim is pursued.
	duration release_limit = std::chrono::minutes{10};

	/// Claims in one transaction.
	std::size_t batch = 64;

	/// Largest body kept with an outcome, in bytes.
	std::size_t body_limit = 16384;
};

/// \brief Table of the table service that holds the claims.
inline constexpr const char* claims_table = "claims";

/// \brief One VM's claims: won in group commits, recorded when done, released when given up.
class book
{
  public:
	explicit book(vm_incarnation self, book_limits limits = {});

	/// \brief Asks for a claim; the verdict comes with a later step.
	[[nodiscard]] claim_step start(const claim_request& request, instant now);

	/// \brief Gives a won claim back: the request was not dispatched and will not be.
	[[nodiscard]] claim_step release(ticket ref, instant now);

	/// \brief Keeps the outcome of a claimed request for callers that ask again.
	[[nodiscard]] claim_step record(ticket ref, recorded_outcome outcome, instant now);

	/// \brief Forgets a claim that ended as `unknown`: its row stands for good.
	void leave_unknown(ticket ref);

	[[nodiscard]] claim_step on_answer(std::uint64_t call, const store::answer& answer, instant now);
	[[nodiscard]] claim_step on_tick(instant now);

	/// \brief Claims whose release or record the table service has not confirmed.
	[[nodiscard]] std::size_t unsettled() const noexcept { return claims_.size(); }

  private:
	enum class phase
	{
		/// To be inserted.
		wanted,
		/// Insert sent.
		inserting,
		/// The insert's answer was lost: the row is to be read.
		to_read,
		/// Read sent.
		reading,
		/// Ours, and the request is running.
		held,
		/// Given up: the row is to be removed if it is ours.
		to_release,
		/// Removal sent.
		releasing,
		/// Done: the outcome is to be written.
		to_record,
		/// Outcome sent.
		recording,
	};

	struct claim
	{
		claim_request request;
		phase at{phase::wanted};
		instant deadline;
		instant retry_at;

		/// The caller has its verdict.
		bool answered{};

		/// An insert was sent whose answer never came: it may still take effect.
		bool insert_unaccounted{};

		unsigned release_tries{};
		std::optional<recorded_outcome> outcome;
	};

	/// One claim's part of a transaction: its last operation holds the result.
	struct part
	{
		ticket ref{};
		std::size_t index{};
	};

	[[nodiscard]] std::string row_key(const claim_request& request) const;
	[[nodiscard]] json held_value(const claim_request& request) const;
	[[nodiscard]] json done_value(const claim& claim) const;
	[[nodiscard]] bool add_operations(claim& claim, instant now, store::transaction& body) const;
	[[nodiscard]] effects send_due(instant now);
	void take_result(
		ticket ref, const store::answer& answer, std::size_t index, instant now, claim_step& step);
	void take_row(ticket ref, claim& claim, const store::row& row, instant now, claim_step& step);
	void take_release(ticket ref, claim& claim, const store::answer& answer, std::size_t index, instant now);
	void take_record(ticket ref, claim& claim, const store::answer& answer, instant now);
	void take_failure(ticket ref, claim& claim, store::verdict what, instant now, claim_step& step);
	void give_up(ticket ref, claim& claim, instant now, claim_step& step);
	static void decide(claim& claim, claim_verdict verdict, claim_step& step);
	[[nodiscard]] static claim_verdict verdict_of(const claim& claim, const json& standing);

	vm_incarnation self_;
	book_limits limits_;
	std::map<ticket, claim> claims_;
	std::map<std::uint64_t, std::vector<part>> calls_;
	std::uint64_t next_call_ = 1;
};
} // namespace gingerdyke::claims
