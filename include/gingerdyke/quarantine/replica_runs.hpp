// SPDX-License-Identifier: MIT
// Tracks which requests run on each replica, to identify those that were running when its process exited.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/quarantine/content_key.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Identifies one execution of a request on this VM.
using run_number = quantity<struct run_tag>;

/// \brief Identifies one process of a replica; the same on all VMs. It is a hash of the replica's id, its
/// incarnation, and the number of earlier exits under the same id and incarnation, which distinguishes the
/// processes of a replica with unknown incarnation.
using process_instance = quantity<struct process_instance_tag>;

/// \brief Outcome of an execution, as far as it is evidence for or against the request.
enum class run_outcome
{
	/// The replica completed the request successfully and kept running.
	completed,
	/// The replica completed the request with an error, or reports that it did not execute it.
	finished,
	/// The request was cancelled, or its connection broke: the replica may still be executing it.
	abandoned,
};

/// \brief Tuning of `replica_runs`.
struct replica_runs_tuning
{
	/// How long an abandoned execution counts as running: replicas cancel it some time after its connection
	/// was closed, and an exit that it causes shows only with the next response that is due from the
	/// replica.
	duration abandoned_lifetime = std::chrono::seconds{1};

	/// A part makes a replica exit as soon as it writes an answer on it. An execution whose answer has been
	/// written for longer than this clears the parts of its prompt of the exit.
	duration part_exit_time = std::chrono::milliseconds{300};

	/// An answer that has been written for this long is as good as a whole one. Longer than an event loop
	/// falls behind under load: it may read bytes that came before the replica exited only after that.
	duration sound_answer_time = std::chrono::seconds{1};
};

/// \brief Keeps the executions of this VM's requests by replica process.
class replica_runs
{
  public:
	explicit replica_runs(replica_runs_tuning tuning = {}) : tuning_(tuning) {}

	[[nodiscard]] const replica_runs_tuning& tuning() const noexcept { return tuning_; }

	/// \brief Records that a request is sent to a replica.
	[[nodiscard]] run_number begin(const routing::replica& target, content_keys keys, instant now);

	/// \brief Records that a replica has begun to write its answer.
	void record_answer_started(const routing::replica& target, run_number run, instant now);

	/// \brief Records the outcome of an execution.
	void end(const routing::replica& target, run_number run, run_outcome outcome, instant now);

	/// \brief Records that a replica accepted a connection. If the connection attempt began after the
	/// replica's exit was recorded, a new process is listening there, whether or not the replica's entry
	/// shows it yet.
	/// \param began_at When the connection attempt began.
	void record_connection(const routing::replica& target, instant began_at);

	/// \brief Records that a replica's process has exited, which also ends all executions on it.
	/// \returns False if the exit is already recorded or this VM sent no request to that process.
	bool record_exit(const routing::replica& target, instant now);

	/// \brief Whether a replica has exited and accepted no connection since.
	[[nodiscard]] bool has_exited(const routing::replica& target) const;

	/// \brief Returns the current process of a replica, or the last one if it has exited.
	[[nodiscard]] process_instance instance_of(const routing::replica& target) const;

	/// \brief Returns the keys of the requests that run on a replica or were abandoned there a moment ago,
	/// without duplicates. Parts are left out once the answer is being written for a while.
	[[nodiscard]] std::vector<content_key> running_at(const routing::replica& target, instant now) const;

	/// \brief Records that a replica's entry was removed or replaced by another process's. Executions that
	/// were sent under the old entry are kept until they end: the next process may have received them
	/// before its entry was known here.
	void remove_entry(const replica_id& id, instant now);

  private:
	struct run
	{
		run_number number;
		content_keys keys;

		/// When the replica began to write the answer; none: it has not.
		std::optional<instant> answer_started_at;

		/// When the execution was abandoned; none: it is running.
		std::optional<instant> abandoned_at;
	};

	/// State of the processes that this VM's requests reach through one registry entry.
	struct entry_state
	{
		/// Number of exits that this VM saw under this entry.
		unsigned exit_count{};

		/// When the exit of the current process was recorded; none: the process is running.
		std::optional<instant> exited_at;

		/// The entry is no longer used for new requests.
		bool is_entry_removed{};
		std::vector<run> runs;
	};

	struct entry_id
	{
		replica_id id;
		routing::replica_incarnation incarnation;

		auto operator<=>(const entry_id&) const = default;
	};

	[[nodiscard]] static entry_id entry_id_of(const routing::replica& target);
	[[nodiscard]] const entry_state* find(const routing::replica& target) const;
	[[nodiscard]] entry_state* find(const routing::replica& target);
	[[nodiscard]] bool is_running(const run& execution, instant now) const;
	[[nodiscard]] bool may_parts_be_cause(const run& execution, instant now) const;
	[[nodiscard]] static run* find_run(entry_state& state, run_number number);
	void drop_expired_runs(entry_state& target, instant now) const;

	replica_runs_tuning tuning_;
	std::map<entry_id, entry_state> entries_;
	std::int64_t last_run_number_ = 0;
};
} // namespace gingerdyke::quarantine
