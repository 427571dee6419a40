// SPDX-License-Identifier: MIT
// Which requests run on each replica, so that it can be told under which of them it ended.
#pragma once

#include <gingerdyke/base/units.hpp>
#include <gingerdyke/quarantine/request_key.hpp>
#include <gingerdyke/routing/replica_set.hpp>
#include <map>
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

	/// \brief Notes that a replica answers: it lives.
	void note_alive(const routing::replica& one);

	/// \brief Notes that a replica's process has ended.
	/// \returns False where that is known already, or no request of this VM was sent to that process.
	bool note_ended(const routing::replica& one);

	/// \brief Whether a replica has ended and not answered since.
	[[nodiscard]] bool has_ended(const routing::replica& one) const;

	/// \brief The present life of a replica's process; the last one where it has ended.
	[[nodiscard]] process_life life_of(const routing::replica& one) const;

	/// \brief Requests that run on a replica, or were given up there a moment ago; each once.
	[[nodiscard]] std::vector<request_key> running_at(const routing::replica& one, instant now) const;

	/// \brief Forgets a replica that is gone.
	void forget(const replica_id& id) { processes_.erase(id); }

  private:
	struct run
	{
		run_number number;
		request_key key;

		/// When it was given up; none: it is under way.
		std::optional<instant> given_up_at;
	};

	struct process
	{
		routing::replica_incarnation incarnation;

		/// Ends that this VM saw under this incarnation.
		unsigned ends{};
		bool has_ended{};
		std::vector<run> runs;
	};

	[[nodiscard]] process& process_of(const routing::replica& one);
	[[nodiscard]] const process* find(const routing::replica& one) const;
	[[nodiscard]] process* find(const routing::replica& one);
	[[nodiscard]] bool counts(const run& one, instant now) const;

	replica_runs_tuning tuning_;
	std::map<replica_id, process> processes_;
	std::int64_t last_run_ = 0;
};
} // namespace gingerdyke::quarantine
