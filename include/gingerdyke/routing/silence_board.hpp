// SPDX-License-Identifier: MIT
// Replicas that VMs lately got no response from: what one VM finds out, the others need not.
#pragma once

#include <functional>
#include <gingerdyke/routing/fleet_list.hpp>
#include <gingerdyke/routing/replica_silence.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Tuning of `silence_board`.
struct silence_tuning
{
	/// Time for which a VM's own observation of silence counts. The VMs that go on trying renew theirs.
	duration silence_lifetime = std::chrono::seconds{10};

	/// Time for which a response after the silence counts: longer than it takes to reach all VMs with their
	/// reports, and short enough that it does not outweigh a later silence.
	duration answer_lifetime = std::chrono::seconds{3};

	/// Time for which the reports of other VMs count without news.
	duration report_lifetime = std::chrono::seconds{3};

	/// VMs that must have found a replica silent before others avoid it: one VM alone may have lost its own
	/// path.
	unsigned min_silent_vms = 2;

	/// VMs that go on trying a silent replica, by their order for this replica.
	std::size_t trying_vms = 2;

	/// Replicas in one report.
	std::size_t max_reported = 256;
};

/// \brief Keeps what this VM and others observe of replicas that fell silent.
class silence_board
{
  public:
	/// \brief Called when this VM begins or ceases to avoid a replica.
	using change_hook = std::function<void(const replica_silence& seen, bool is_avoided)>;

	/// \param vms List of the VMs that send to the replicas; must outlive this object.
	silence_board(const fleet_list& vms, change_hook changed, silence_tuning tuning = {});

	/// \brief Records that a request or connection of this VM got no response.
	void record_silent(const replica& target, instant now);

	/// \brief Records a response to this VM.
	void record_answered(const replica& target, instant now);

	/// \brief Takes back what this VM observed of a replica's silence: it was the path that was lost.
	void retract(const replica& target, instant now);

	/// \brief Whether a replica is to be avoided by this VM.
	[[nodiscard]] bool is_avoided(const replica& target, instant now) const;

	/// \brief Returns this VM's own observations, the latest first, for other VMs.
	[[nodiscard]] std::vector<replica_silence> own(instant now) const;

	/// \brief Replaces what other VMs observe.
	void set_peer_observations(const std::vector<replica_silence>& observed, instant now);

	/// \brief Drops the state of a replica that is gone or has restarted.
	void forget(const replica_id& id);

	/// \brief Number of replicas that are avoided.
	[[nodiscard]] std::size_t avoided_count() const noexcept { return avoided_count_; }

  private:
	struct state
	{
		replica_incarnation incarnation;
		fleet_rank rank;
		std::optional<instant> silent_at;
		std::optional<instant> answered_at;
		unsigned peers_silent{};
		unsigned peers_answered{};
		bool is_avoided{};
	};

	[[nodiscard]] state& state_of(const replica_id& id, replica_incarnation incarnation);
	[[nodiscard]] const state* find(const replica& target) const;
	[[nodiscard]] bool has_own_silence(const state& of, instant now) const;
	[[nodiscard]] bool has_own_answer(const state& of, instant now) const;
	[[nodiscard]] bool are_reports_recent(instant now) const;
	[[nodiscard]] replica_silence votes(const replica_id& id, const state& of, instant now) const;
	[[nodiscard]] bool is_silent(const replica_silence& seen) const;
	[[nodiscard]] bool is_former(const replica_silence& seen) const;
	void update(const replica_id& id, state& of, instant now);
	void drop_unused(instant now);

	const fleet_list& vms_;
	change_hook changed_;
	silence_tuning tuning_;
	std::map<replica_id, state> states_;
	std::optional<instant> reports_at_;
	std::size_t avoided_count_ = 0;
};
} // namespace gingerdyke::routing
