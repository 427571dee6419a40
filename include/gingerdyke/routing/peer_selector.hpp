// SPDX-License-Identifier: MIT
// Choice of the VM that forwards a request to a replica which this VM can't reach.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/address.hpp>
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
	/// Number of VMs of the own failure domain, and of all, that one choice compares.
	std::size_t local_samples = 4;
	std::size_t global_samples = 4;

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
};

/// \brief Chooses among the other VMs by the requests that they forward for this VM, by link and by failure
/// domain, and leaves out those that recently could not serve.
class peer_selector
{
  public:
	peer_selector(failure_domain_id own_domain, random_source random, peer_tuning tuning = {});

	/// \brief Sets the other VMs that forward requests.
	void set_peers(std::vector<forwarding_peer> peers);

	/// \brief Chooses a VM for a request to a service; none if none is expected to serve it.
	/// \param excluded VMs that were asked already.
	[[nodiscard]] std::optional<forwarding_peer> choose(
		const service_id& service, const std::vector<vm_id>& excluded, instant now) const;

	/// \brief Records a request sent to a VM, and its end.
	void record_sent(const vm_id& vm) { ++outstanding_[vm]; }
	void record_ended(const vm_id& vm);

	/// \brief Records that a VM could not be reached.
	void record_unreachable(const vm_id& vm, instant now);

	/// \brief Records that a VM could not serve a service, for reasons of its own.
	void record_unavailable(const vm_id& vm, const service_id& service, instant now);

	/// \brief Records that a VM has a path to a service.
	void record_served(const vm_id& vm, const service_id& service);

	/// \brief Time until a VM may be asked for a service again; 0 if one may be asked now.
	[[nodiscard]] duration time_until_available(const service_id& service, instant now) const;

	[[nodiscard]] std::size_t size() const noexcept { return peers_.size(); }

  private:
	struct backoff
	{
		instant until;
		unsigned failures{};
	};

	/// Back-off of one VM for one service; without a service, for all of them; without a VM, for all VMs.
	struct backoff_key
	{
		vm_id vm;
		service_id service;

		auto operator<=>(const backoff_key&) const = default;
	};

	void extend(const backoff_key& key, instant now);
	[[nodiscard]] instant end_of(const backoff_key& key) const;
	[[nodiscard]] instant available_at(const forwarding_peer& peer, const service_id& service) const;
	[[nodiscard]] double cost_of(const forwarding_peer& peer) const;

	failure_domain_id own_domain_;
	random_source random_;
	peer_tuning tuning_;

	/// Those of the own failure domain first.
	std::vector<forwarding_peer> peers_;
	std::size_t local_count_ = 0;
	std::map<vm_id, unsigned> outstanding_;
	std::map<backoff_key, backoff> backoffs_;

	/// VMs in a row that could not serve a service.
	std::map<service_id, unsigned> unavailable_;
};
} // namespace gingerdyke::routing
