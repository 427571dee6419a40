// SPDX-License-Identifier: MIT
// Choice of the VM that forwards a request to a replica which this VM can't reach.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/address.hpp>
#include <gingerdyke/routing/unreachable_service.hpp>
#include <map>
#include <optional>
#include <vector>

namespace gingerdyke::routing
{
/// \brief Another VM that forwards requests to replicas.
struct forwarding_peer
{
	vm_id vm;
	failure_domain_id domain;
	address at;

	/// Bandwidth of the VM's link in Mbit/s; 0 if unknown.
	unsigned link_mbps{};
};

/// \brief Tuning of `peer_selector`.
struct peer_tuning
{
	/// Number of VMs of the own failure domain, and of all others, among which requests are spread. Each
	/// costs a connection.
	std::size_t local_partners = 6;
	std::size_t remote_partners = 6;

	/// Weight of a VM of another failure domain: traffic between failure domains is billed.
	double remote_cost = 2;

	/// A VM with a link of at least this bandwidth in Mbit/s is limited by its processor instead.
	double full_link_mbps = 100;

	/// Back-off of a VM that can't be reached or can't serve a service, doubled with each failure in a row up
	/// to the maximum.
	duration first_backoff = std::chrono::milliseconds{500};
	duration max_backoff = std::chrono::seconds{4};

	/// If this many VMs in a row can't serve a service, no further one is asked for a while: its replicas are
	/// down, or hardly any VM has a path to them.
	unsigned max_unavailable = 8;
	duration service_backoff = std::chrono::milliseconds{500};

	/// Half-life of what is known of a failure domain from the VMs that were asked there.
	duration outcome_half_life = std::chrono::seconds{5};

	/// Failures that are assumed for the own failure domain. Its VMs share more of the network with this VM
	/// than others do.
	double assumed_local_failures = 1;

	/// Probability that a VM serves after it has served.
	double served_probability = 0.95;

	/// How long the services that other VMs report as unreachable count. Reports are repeated within a second
	/// or so.
	duration report_lifetime = std::chrono::seconds{4};

	/// Expected time until it is known that a VM which reports a service as unreachable has reached it again.
	duration report_interval = std::chrono::seconds{1};
};

/// \brief Chooses among the other VMs by the probability that they serve, by the requests that they forward
/// for this VM, by link and by failure domain.
///
/// Each VM spreads its requests over a few others, which differ from VM to VM and stay the same while they
/// serve.
class peer_selector
{
  public:
	/// \param random Draws the order of the partners once.
	peer_selector(failure_domain_id own_domain, const random_source& random, peer_tuning tuning = {});

	/// \brief Sets the other VMs that forward requests.
	void set_peers(std::vector<forwarding_peer> peers);

	/// \brief Replaces the services that other VMs report as unreachable for them.
	void set_unreachable(const std::vector<unreachable_service>& reported, instant now);

	/// \brief Records that the reports are still the same.
	void confirm_unreachable(instant now) { reported_at_ = now; }

	/// Whether a request may be sent to a failure domain.
	using domain_filter = std::function<bool(const failure_domain_id&)>;

	/// \brief Chooses a VM for a request to a service; none if none is expected to serve it.
	/// \param excluded VMs that were asked already.
	/// \param allowed The failure domains that the request may be sent to; empty: all.
	[[nodiscard]] std::optional<forwarding_peer> choose(const service_id& service,
		const std::vector<vm_id>& excluded, instant now, const domain_filter& allowed = {}) const;

	/// \brief Records a request sent to a VM, and its end.
	void record_sent(const vm_id& vm);
	void record_ended(const vm_id& vm);

	/// \brief Records that a VM could not be reached.
	void record_unreachable(const vm_id& vm, instant now);

	/// \brief Records that a VM could not serve a service, for reasons of its own.
	void record_unavailable(const vm_id& vm, const service_id& service, instant now);

	/// \brief Records that a VM has a path to a service.
	void record_served(const vm_id& vm, const service_id& service, instant now);

	/// \brief Time until a VM may be asked for a service again; 0 if one may be asked now.
	[[nodiscard]] duration time_until_available(const service_id& service, instant now) const;

	[[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }

  private:
	struct backoff
	{
		instant until;
		unsigned failures{};
	};

	/// What is known of a VM and one service.
	struct service_state
	{
		backoff unavailable;

		/// The VM served the last request to the service that was sent through it.
		bool has_served{};

		/// The VM reports the service as unreachable.
		bool is_reported{};
	};

	struct peer_state
	{
		forwarding_peer peer;

		/// Place in the order in which this VM chooses its partners.
		std::uint64_t order{};
		unsigned outstanding{};
		backoff unreachable;
		std::map<service_id, service_state> services;
	};

	/// Outcomes of requests that were sent through the VMs of a failure domain; old ones count less.
	struct outcome_counts
	{
		double served{};
		double failed{};
		instant at;
	};

	struct domain_service
	{
		failure_domain_id domain;
		service_id service;

		auto operator<=>(const domain_service&) const = default;
	};

	enum class peer_group
	{
		not_failed,
		/// VMs that could not serve the last request to the service that was sent through them.
		failed,
	};

	[[nodiscard]] const peer_state* choose_among(peer_group group, const service_id& service,
		const std::vector<vm_id>& excluded, instant now, const domain_filter& allowed) const;
	[[nodiscard]] static peer_group group_of(const peer_state& peer, const service_id& service);
	[[nodiscard]] peer_state* find(const vm_id& vm);
	[[nodiscard]] static const service_state* find_service(const peer_state& peer, const service_id& service);
	void extend(backoff& current, instant now) const;
	[[nodiscard]] instant available_at(const peer_state& peer, const service_id& service, instant now) const;
	[[nodiscard]] double cost_of(
		const peer_state& peer, const service_id& service, std::size_t asked, instant now) const;
	[[nodiscard]] double success_probability(
		const peer_state& peer, const service_id& service, instant now) const;
	[[nodiscard]] outcome_counts outcomes_at(
		const failure_domain_id& domain, const service_id& service, instant now) const;
	void record_outcome(const failure_domain_id& domain, const service_id& service, bool served, instant now);
	[[nodiscard]] bool is_reported_unreachable(
		const unreachable_service& reported, const forwarding_peer& peer) const;

	failure_domain_id own_domain_;
	peer_tuning tuning_;

	/// Makes the order of the partners differ between VMs.
	std::uint64_t order_seed_;

	/// Those of the own failure domain first, then by order.
	std::vector<peer_state> peers_;
	std::size_t local_count_ = 0;
	std::map<domain_service, outcome_counts> outcomes_;
	std::vector<unreachable_service> reported_;
	instant reported_at_;

	/// VMs in a row that could not serve a service.
	std::map<service_id, unsigned> unavailable_;

	/// Until when no VM is asked for a service.
	std::map<service_id, instant> service_backoffs_;
};
} // namespace gingerdyke::routing
