// SPDX-License-Identifier: MIT
// Selects where a VM reads registry tables from: the registry itself or another VM. Calls to the registry are
// billed, and hundreds of VMs would make too many, so in each failure domain one VM (the reader) reads the
// registry and the others read its copy.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/address.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// \brief Another VM, which answers polls from its copies of the tables.
struct peer
{
	vm_id vm;
	failure_domain_id domain;
	routing::address address;

	/// Bandwidth of the VM's network link, in Mbit/s; a reader sends every change to all VMs of its failure
	/// domain.
	unsigned link_mbps{};

	/// Address at which the VM forwards requests to replicas for others; none if it does not.
	std::optional<routing::address> forwarding_address{};

	auto operator<=>(const peer&) const = default;
};

/// \brief Tuning of `source_selector`.
struct source_tuning
{
	/// Number of VMs of a failure domain that read the registry themselves.
	unsigned readers = 1;

	/// Back-off of a source that is unreachable, doubled after each failure up to the maximum.
	duration initial_backoff = std::chrono::milliseconds{500};
	duration max_backoff = std::chrono::seconds{30};

	/// The first `fast_retry_vms` VMs of a failure domain retry a lost registry every `initial_backoff`, the
	/// others at most every `slow_retry_backoff`. Together with the time limit of a call that is well within
	/// the 3 s after which a VM is required to have registry contact again. If all VMs retried at the faster
	/// rate, a lost registry would receive thousands of calls.
	std::size_t fast_retry_vms = 2;
	duration slow_retry_backoff = std::chrono::milliseconds{1250};

	/// Time for which a VM with a stale copy is not asked. Short and constant, because such a VM answers at
	/// once and has a fresh copy as soon as it finds a reader.
	duration stale_copy_backoff = std::chrono::milliseconds{500};

	/// Ratio of the size of a full table as sent by the registry (JSON and base64) to its packed size as sent
	/// by another VM.
	double raw_to_packed_ratio = 15;

	/// Number of VMs of other failure domains to try if none of the own failure domain is usable; traffic
	/// between failure domains is expensive.
	std::size_t max_remote_sources = 3;
};

/// \brief Chooses the source of each read. All VMs of a failure domain rank its VMs in the same order, by
/// link bandwidth and then by a hash of their ids, so that they mostly agree on the reader; disagreement only
/// costs a few extra calls.
class source_selector
{
  public:
	/// \param self This VM, as other VMs see it.
	explicit source_selector(peer self, source_tuning tuning = {});

	/// \brief Sets the known VMs; this VM itself need not be among them.
	void set_peers(std::vector<peer> peers);

	/// \brief The other VMs in order of preference, those of the own failure domain first.
	[[nodiscard]] const std::vector<peer>& peers() const noexcept { return peers_; }

	/// \brief Returns the VM to read changes of a table from; none for the registry itself.
	[[nodiscard]] std::optional<peer> choose(const std::string& table, instant now) const;

	/// \brief Returns the VM to read a full table from; none for the registry itself. In each failure domain
	/// a few VMs of the highest rank read the registry, and the others are distributed over their copies.
	[[nodiscard]] std::optional<peer> choose_for_full_read(const std::string& table, instant now) const;

	/// \brief Returns when the back-off of the registry after a failure ends; none if it may be asked now.
	[[nodiscard]] std::optional<instant> registry_backoff_until(instant now) const;

	/// \brief Returns the rank of this VM: the number of VMs of its failure domain that are preferred over
	/// it.
	[[nodiscard]] std::size_t rank() const;

	/// \brief Records that a source is unreachable, or that it responded but reads the registry through
	/// another VM itself: two VMs that read each other's copies would both become stale.
	/// \param source None for the registry itself.
	void record_unusable(const std::optional<peer>& source, instant now);

	/// \brief Records that a VM's copy of a table is stale.
	void record_stale_copy(const peer& source, const std::string& table, instant now);

	/// \brief Records that a VM has lost the registry: none of its copies is used for a while.
	void record_registry_loss(const peer& source, instant now);

	/// \brief Records a response from the registry itself or from a VM that reads it.
	/// \param source None for the registry itself.
	void record_usable(const std::optional<peer>& source);

  private:
	struct backoff
	{
		instant until;
		unsigned failures{};
	};

	[[nodiscard]] std::vector<double> local_links() const;
	[[nodiscard]] std::size_t full_reader_count() const;
	[[nodiscard]] bool is_backing_off(const std::string& name, instant now) const;
	[[nodiscard]] duration max_registry_backoff() const;
	[[nodiscard]] bool is_usable(const peer& candidate, const std::string& table, instant now) const;
	[[nodiscard]] bool should_read_registry(const std::string& table, instant now) const;

	peer self_;
	source_tuning tuning_;

	/// All peers in order of preference: those of the own failure domain first.
	std::vector<peer> peers_;
	std::map<std::string, backoff> backoffs_;

	/// When stale copies may be asked for again, by VM and table; an empty table name stands for all tables.
	std::map<std::pair<vm_id, std::string>, instant> stale_copies_;
};
} // namespace gingerdyke::control
