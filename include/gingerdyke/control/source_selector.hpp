// SPDX-License-Identifier: MIT
// Where a VM reads the registry: itself, or through another VM. Calls to the registry are priced, and at
// hundreds of VMs too many; so in each failure domain one VM reads it and the others read that one's copy.
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
/// \brief Another VM that answers from its copy.
struct peer
{
	vm_id vm;
	failure_domain_id domain;
	routing::address at;

	/// What its link carries; a reader sends every change to all VMs of its failure domain.
	unsigned link_mbps{};

	auto operator<=>(const peer&) const = default;
};

/// \brief Tuning of `source_selector`.
struct source_tuning
{
	/// VMs of a failure domain that read the registry themselves.
	unsigned readers = 1;

	/// A source that can't be reached is left alone for this time, doubled each time up to the longest.
	duration first_rest = std::chrono::milliseconds{500};
	duration longest_rest = std::chrono::seconds{30};

	/// VMs of a failure domain that look for a lost registry as often as that, and how long the others leave
	/// it alone at most: with the time limit of a call well within the 3 s after which the users count a VM
	/// as in touch again. If all VMs looked as often, their calls would go on by the thousand.
	std::size_t scouts = 2;
	duration follower_rest = std::chrono::milliseconds{1250};

	/// A VM with an old copy is not asked for this time. Short, and always the same: it tells so at once, and
	/// it has a new copy as soon as it finds a reader.
	duration old_copy_rest = std::chrono::milliseconds{500};

	/// How many times more bytes a whole table takes from the registry than packed from another VM: entries
	/// of replicas in the registry's JSON and base64.
	double raw_to_packed = 15;

	/// Sources of other failure domains that are tried where none of the own one is left: bytes between
	/// failure domains are dear.
	std::size_t far_sources = 3;
};

/// \brief Chooses the source to read from. All VMs of a failure domain rank it alike, by link and then by a
/// hash, so that they mostly agree who reads; where they don't, a few calls are made too many.
class source_selector
{
  public:
	/// \param self This VM as others see it.
	explicit source_selector(peer self, source_tuning tuning = {});

	/// \brief Takes the VMs that are known; itself need not be among them.
	void set_peers(std::vector<peer> peers);

	/// \brief The VM to read a table from; none: the registry itself.
	[[nodiscard]] std::optional<peer> choose(const std::string& table, instant now) const;

	/// \brief The VM to read a whole table from; none: the registry itself. In each failure domain a few of
	/// the first in rank read the registry, and the others share in their copies.
	[[nodiscard]] std::optional<peer> choose_whole(const std::string& table, instant now) const;

	/// \brief Until when the registry is left alone, since it failed lately; none: it may be asked.
	[[nodiscard]] std::optional<instant> registry_rest(instant now) const;

	/// \brief VMs of the own failure domain that are asked before this one.
	[[nodiscard]] std::size_t position() const;

	/// \brief Notes that a source can't be reached (none: the registry itself), or that it answered but reads
	/// the registry through another VM: two VMs that read each other's copies would both grow old.
	void note_unusable(const std::optional<peer>& source, instant now);

	/// \brief Notes that a VM's copy of a table is old.
	void note_old(const peer& source, const std::string& table, instant now);

	/// \brief Notes that a VM has lost the registry: none of its copies is to be used.
	void note_out_of_contact(const peer& source, instant now);

	/// \brief Notes that a source answered that reads the registry, or the registry itself.
	void note_good(const std::optional<peer>& source);

  private:
	struct rest
	{
		instant until;
		unsigned times{};
	};

	[[nodiscard]] std::vector<double> near_links() const;
	[[nodiscard]] std::size_t whole_readers() const;
	[[nodiscard]] bool rests(const std::string& name, instant now) const;
	[[nodiscard]] duration longest_registry_rest() const;
	[[nodiscard]] bool is_usable(const peer& one, const std::string& table, instant now) const;
	[[nodiscard]] bool reads_itself(const std::string& table, instant now) const;

	peer self_;
	source_tuning tuning_;

	/// All peers in the order in which they are asked: the own failure domain first.
	std::vector<peer> peers_;
	std::map<std::string, rest> rests_;

	/// Until when the copies of VMs are not asked for, by VM and table; an empty name stands for all tables.
	std::map<std::pair<vm_id, std::string>, instant> old_copies_;
};
} // namespace gingerdyke::control
