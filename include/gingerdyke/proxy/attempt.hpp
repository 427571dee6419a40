// SPDX-License-Identifier: MIT
// One sending of a request to a replica, and what is recorded about it until it ends.
#pragma once

#include <gingerdyke/proxy/body_buffer.hpp>
#include <gingerdyke/proxy/stream_pace.hpp>
#include <gingerdyke/proxy/upstream_connection.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <gingerdyke/routing/size_policy.hpp>
#include <memory>

namespace gingerdyke::proxy
{
/// \brief Whether a request may have been executed, as far as this VM knows. It decides what the caller may
/// be told.
enum class execution
{
	/// No replica has run it.
	not_run,
	/// A replica ran it or may have run it.
	may_have_run,
};

/// \brief An attempt in progress.
struct attempt
{
	routing::replica_ptr target;
	std::shared_ptr<upstream_connection> connection;
	response_head head;
	body_buffer body;
	instant sent_at;

	/// When the wait for the first byte began.
	instant connected_at;

	/// Time from sending the request to receiving the response head.
	duration first_byte{};

	/// When a part of the response last arrived.
	instant last_byte_at;

	/// A response began, which was recorded for its replica's version.
	bool has_begun{};

	/// Where the response was counted as a success; none if it was not.
	std::optional<rollout::counted_response> counted;

	/// It was recorded that the replica broke the attempt off.
	bool is_broken_off{};
	routing::size_step model_step;

	quarantine::run_number run;

	/// How the end of this run is recorded for the quarantine: as abandoned, unless it is set otherwise
	/// before the attempt ends.
	quarantine::run_outcome run_outcome{quarantine::run_outcome::abandoned};

	/// The answer has been written for so long that the parts of the prompt do not make the replica exit.
	bool is_part_completion_recorded{};

	/// Work that this attempt currently adds to the replica's load, in tokens prefilled by the largest model.
	double work{};

	/// The part of it that is done once the response begins.
	double prefill_work{};

	/// Work queued at the replica before the first token, including this request's own prompt.
	double queued_work{};

	/// Execution state before this attempt; restored if the replica did not run the request.
	execution execution_before{execution::not_run};

	/// The replica was cold, and this attempt used part of this VM's share of its cold limit.
	bool is_cold{};

	/// The replica had announced a load limit, and this attempt used part of this VM's share of it.
	bool is_limited{};

	/// What became of the attempt was recorded for the choice of replicas.
	bool is_result_recorded{};

	/// The connection is established, so the request may have been sent.
	bool connected{};

	/// The response body is a stream of events.
	bool is_stream{};
	stream_pace pace;
};
} // namespace gingerdyke::proxy
