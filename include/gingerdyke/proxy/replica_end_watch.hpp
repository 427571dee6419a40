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
struct replica_end
{
	routing::replica_ptr replica;
	quarantine::process_instance life;
	std::vector<quarantine::request_key> requests;
};

/// \brief Tuning of `replica_end_watch`.
struct replica_end_tuning
{
	/// Ends within this time of each other have a cause in common where there are so many: a request that
	/// ends replicas is sent to one after the other. The replicas of a rack that lost power were all missed
	/// within 15 ms on a quiet network.
	duration together = std::chrono::milliseconds{200};
	std::size_t least_together = 3;

	/// A replica that has not taken a connection after this time is not known to have ended: a network that
	/// is cut does the same. One whose process is gone refuses within a round trip.
	duration connect_limit = std::chrono::milliseconds{400};
};

/// \brief Watches the replicas that this VM's requests run on. A broken answer alone says little: replicas
/// break some off and live on. One more connection tells: where it is refused, the process has ended.
class replica_end_watch
{
  public:
	/// \brief Told of an end that is likely, before it is known, and then whether it was one.
	struct hooks
	{
		std::function<void(const replica_end&)> presumed;

		/// \param together Lives that ended, or probably did, at the same time; empty: it came alone.
		std::function<void(
			const replica_end&, bool has_ended, const std::vector<quarantine::process_instance>& together)>
			settled;
	};

	replica_end_watch(asio::io_context& context, hooks told, replica_end_tuning tuning = {});

	/// \brief Notes that an answer of a replica broke off, or did not begin.
	void note_broken(const routing::replica_ptr& at, instant now);

	/// \brief Notes that a replica refused a connection.
	void note_refused(const routing::replica_ptr& at, instant now);

	/// \brief Calls a hook once, after the next end is settled.
	void when_settled(std::function<void()> hook) { waiting_.push_back(std::move(hook)); }

	/// \brief The runs that are watched.
	[[nodiscard]] quarantine::replica_runs& runs() noexcept { return runs_; }
	[[nodiscard]] const quarantine::replica_runs& runs() const noexcept { return runs_; }

  private:
	struct probe;

	[[nodiscard]] std::optional<replica_end> presume(const routing::replica_ptr& at, instant now);
	void begin_probe(const replica_end& end);
	void settle(const replica_end& end, bool has_ended);
	[[nodiscard]] std::vector<quarantine::process_instance> lives_together(instant now);

	asio::io_context& context_;
	hooks told_;
	replica_end_tuning tuning_;
	quarantine::replica_runs runs_;

	struct recent_end
	{
		quarantine::process_instance life;
		instant at;
	};

	/// Ends, likely ones too, of the last moments.
	std::vector<recent_end> recent_;
	std::vector<std::function<void()>> waiting_;

	/// Lives for which a probe is under way.
	std::set<quarantine::process_instance> probed_;

	/// Probes that outlive this object find it gone.
	std::shared_ptr<bool> lives_ = std::make_shared<bool>(true);
};
} // namespace gingerdyke::proxy
