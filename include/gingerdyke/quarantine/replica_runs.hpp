// SPDX-License-Identifier: MIT
// Which requests run on each replica, so that it can be told under which of them it ended.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/quarantine/request_key.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Names one run of a request on a VM.
using run_number = quantity<struct run_tag>;

/// \brief One life of a replica's process, the same on all VMs: its id, its start, and how often it had ended
/// before under that id and start, where it does not tell its start.
using process_life = quantity<struct process_life_tag>;

/// \brief How a run ended, as far as it tells about the request.
enum class run_end
{
	/// The replica answered it to the end with a success, and lived.
	survived,
	/// The replica answered it to the end, with a failure, or says that it did not run it.
	over,
	/// Nobody waits for it any more, or its connection broke: it may still be under way there.
	given_up,
};

/// \brief Tuning of `replica_runs`.
struct replica_runs_tuning
{
	/// A run that was given up counts as under way for this long: replicas drop it some time after its
	/// connection closes, and what ends them shows only with the next answer that is due from them.
	duration aftermath = std::chrono::seconds{1};
};

/// \brief Keeps the runs of this VM's requests by replica.
class replica_runs
{
  public:
	explicit replica_runs(replica_runs_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Notes that a request is sent to a replica.
	[[nodiscard]] run_number begin(const routing::replica& at, request_key key, instant now);

	/// \brief Notes how a run ended.
	void end(const routing::replica& at, run_number run, run_end how, instant now);

	/// \brief Notes that a replica took a connection. Where the connection was begun after the replica's end
	/// was noted, another process listens there, whether or not the replica's entry tells of it yet.
	/// \param begun When the connection was begun.
	void note_connected(const routing::replica& one, instant begun);

	/// \brief Notes that a replica's process has ended, and with it all that ran there.
	/// \returns False where that is known already, or no request of this VM was sent to that process.
	bool note_ended(const routing::replica& one, instant now);

	/// \brief Whether a replica has ended and taken no connection since.
	[[nodiscard]] bool has_ended(const routing::replica& one) const;

	/// \brief The present life of a replica's process; the last one where it has ended.
	[[nodiscard]] process_life life_of(const routing::replica& one) const;

	/// \brief Requests that run on a replica, or were given up there a moment ago; each once.
	[[nodiscard]] std::vector<request_key> running_at(const routing::replica& one, instant now) const;

	/// \brief Notes that a replica's entry is gone, or is another process's. What was sent there under the
	/// old entry runs on: the next process may have taken it before its entry was known here.
	void release(const replica_id& id, instant now);

  private:
	struct run
	{
		run_number number;
		request_key key;

		/// When it was given up; none: it is under way.
		std::optional<instant> given_up_at;
	};

	/// The processes that this VM's requests reach by one entry.
	struct process
	{
		/// Ends that this VM saw under this entry.
		unsigned ends{};

		/// When the end of the present process was noted; none: it lives.
		std::optional<instant> ended_at;

		/// No further request is sent by this entry.
		bool is_released{};
		std::vector<run> runs;
	};

	struct entry_name
	{
		replica_id id;
		routing::replica_incarnation incarnation;

		auto operator<=>(const entry_name&) const = default;
	};

	[[nodiscard]] static entry_name name_of(const routing::replica& one);
	[[nodiscard]] const process* find(const routing::replica& one) const;
	[[nodiscard]] process* find(const routing::replica& one);
	[[nodiscard]] bool counts(const run& one, instant now) const;
	void drop_old_runs(process& of, instant now) const;

	replica_runs_tuning tuning_;
	std::map<entry_name, process> processes_;
	std::int64_t last_run_ = 0;
};
} // namespace gingerdyke::quarantine
