// SPDX-License-Identifier: MIT
// Finds out that a replica's process has ended, and under which requests.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <memory>
#include <optional>
#include <set>

namespace gingerdyke::proxy
{
/// \brief A replica's end, and the requests that ran there.
struct replica_exit
{
	routing::replica_ptr replica;
	quarantine::process_life life;
	std::vector<quarantine::request_key> requests;
};

/// \brief Tuning of `replica_exit_detector`.
struct replica_exit_tuning
{
	/// Ends within this time of each other have a cause in common where there are so many: a request that
	/// ends replicas is sent to one after the other. The replicas of a rack that lost power were all missed
	/// within 15 ms on a quiet network.
	duration correlation_window = std::chrono::milliseconds{200};
	std::size_t min_correlated = 3;

	/// A replica that has not taken a connection after this time is not known to have ended: a network that
	/// is cut does the same. One whose process is gone refuses within a round trip.
	duration connect_timeout = std::chrono::milliseconds{400};
};

/// \brief Watches the replicas that this VM's requests run on. A broken answer alone says little: replicas
/// break some off and live on. One more connection tells: where it is refused, the process has ended.
class replica_exit_detector
{
  public:
	/// \brief Told of an end that is likely, before it is known, and then whether it was one.
	struct hooks
	{
		std::function<void(const replica_exit&)> presumed;

		/// \param correlation_window Lives that ended, or probably did, at the same time; empty: it came alone.
		std::function<void(
			const replica_exit&, bool has_exited, const std::vector<quarantine::process_life>& correlation_window)>
			resolved;
	};

	replica_exit_detector(asio::io_context& context, hooks told, replica_exit_tuning tuning = {});

	/// \brief Notes that an answer of a replica broke off, or did not begin.
	void note_broken_response(const routing::replica_ptr& at, instant now);

	/// \brief Notes that a replica refused a connection.
	void note_refused_connection(const routing::replica_ptr& at, instant now);

	/// \brief Calls a hook once, after the next end is settled.
	void when_resolved(std::function<void()> hook) { resolved_hooks_.push_back(std::move(hook)); }

	/// \brief The runs that are watched.
	[[nodiscard]] quarantine::replica_runs& runs() noexcept { return runs_; }
	[[nodiscard]] const quarantine::replica_runs& runs() const noexcept { return runs_; }

  private:
	struct probe;

	[[nodiscard]] std::optional<replica_exit> presume(const routing::replica_ptr& at, instant now);
	void begin_probe(const replica_exit& exit);
	void resolve(const replica_exit& exit, bool has_exited);
	[[nodiscard]] std::vector<quarantine::process_life> correlated_lives(instant now);

	asio::io_context& context_;
	hooks hooks_;
	replica_exit_tuning tuning_;
	quarantine::replica_runs runs_;

	struct recent_exit
	{
		quarantine::process_life life;
		instant at;
	};

	/// Ends, likely ones too, of the last moments.
	std::vector<recent_exit> recent_exits_;
	std::vector<std::function<void()>> resolved_hooks_;

	/// Lives for which a probe is under way.
	std::set<quarantine::process_life> probed_lives_;

	/// Probes that outlive this object find it gone.
	std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
} // namespace gingerdyke::proxy
