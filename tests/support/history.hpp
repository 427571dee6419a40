// SPDX-License-Identifier: MIT
// What happened in one run of the small world: the promises are checked over this record alone.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/base/units.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gingerdyke::test
{
/// \brief How a request ended, as its caller saw it.
enum class answer_kind
{
	whole,
	not_run,
	unknown,
	replayed,
	/// The connection broke: the entry VM was lost.
	broken,
};

/// \brief One request.
struct request_record
{
	request_id id;
	workspace_id workspace;
	std::string key;
	bool repeatable{};
	std::string session;
	vm_id vm;
	instant sent;
	duration queue_limit{};
	std::vector<std::pair<instant, answer_kind>> answers;
	std::vector<std::uint64_t> chunks;
	std::set<std::string> chunk_owners;

	/// Versions whose chunks the caller was given.
	std::set<version_ref> chunk_versions;
	std::uint64_t tokens_wanted{};
	bool caller_left{};
};

/// \brief One time that an upstream began to work.
struct run_record
{
	request_id request;
	workspace_id workspace;
	version_ref version;
	replica_id replica;
	vm_id vm;
	instant at;
	bool resumed{};

	/// The session handle that the run was dispatched with; empty for a service.
	std::string session;

	/// What the VM's copy of the table said at that moment.
	bool allowed_by_copy{};
	bool withdrawn_by_copy{};

	/// How long the upstream had been leaving; none: it was not.
	std::optional<duration> leaving_for;
};

/// \brief One committed edit.
struct commit_record
{
	revision at;
	instant when;

	/// Versions that this edit withdrew.
	std::set<version_ref> withdrawn;
};

/// \brief A VM's revision when it changed.
struct copy_record
{
	vm_id vm;
	std::uint64_t incarnation{};
	revision at;
	instant when;
};

/// \brief A time in which a VM could not be reached, or could reach nothing.
struct outage_record
{
	vm_id vm;
	instant from;
	instant to;
};

/// \brief A planned stop.
struct stop_record
{
	vm_id vm;
	instant begun;
	std::optional<instant> drained;
};

/// \brief Everything that happened.
struct history
{
	std::map<request_id, request_record> requests;
	std::vector<run_record> runs;
	std::vector<commit_record> commits;
	std::vector<copy_record> copies;
	std::vector<outage_record> outages;
	std::vector<stop_record> stops;

	/// VMs killed, with the time.
	std::map<vm_id, instant> killed;

	/// Ledger rows at the end.
	std::map<std::string, json> bills;

	/// Revision of each VM that lives at the end.
	std::map<vm_id, revision> final_revisions;

	instant end;

	/// What happened, in order, as readable lines; for golden files and for a failed check.
	std::vector<std::string> lines;
};
} // namespace gingerdyke::test
