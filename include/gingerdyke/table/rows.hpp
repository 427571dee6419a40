// SPDX-License-Identifier: MIT
// The rows of the table, typed, as operators mean them.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <string>
#include <vector>

namespace gingerdyke::table
{
/// \brief Where a version stands in its life.
enum class version_state
{
	/// Answers a bounded number of requests while it is judged.
	trial,
	/// Answers any request.
	stable,
	/// Goes on with its sessions; none opens.
	draining,
	/// Receives no new work at all.
	withdrawn,
};

/// \brief Row `version/MODEL@VERSION`.
struct version_row
{
	version_ref ref;
	version_state state{version_state::stable};

	/// Share of a model's new requests that may go to this version while under trial, 0 to 1.
	double trial_share{};

	/// Share of a model's new requests among its stable versions, relative to theirs.
	double weight{1};

	/// Share of answers that may fail before the version is taken for bad, 0 to 1.
	double tolerated_failures{};

	micro_cost cost_per_thousand;

	/// Share of answers rated good, as known before any evidence, 0 to 1.
	double quality_prior{};

	/// Revision of this row: suspensions hold for one revision only.
	revision at;
};

/// \brief Row `class/NAME`: how requests wait.
struct class_row
{
	class_id id;

	/// 0 is the most urgent; sent to engines as their priority.
	int rank{};

	/// How long a request may queue for room; 0: it is refused at once.
	duration queue_limit{};
};

/// \brief Row `workspace/NAME`: a customer.
struct workspace_row
{
	workspace_id id;

	/// SHA-256 of each API key, in hexadecimal.
	std::vector<std::string> key_digests;

	/// Allowed versions: `model@version` or `model@*`.
	std::vector<version_ref> allowed;

	/// Allowed plain services.
	std::vector<service_id> services;

	class_id default_class;

	/// Requests a second over all failure domains; 0: no limit.
	double requests_per_second{};

	/// Share of answers that must be good, 0 to 1.
	double quality_target{};
};

/// \brief Row `operator/NAME`: who may edit the table.
struct operator_row
{
	operator_id id;
	std::vector<std::string> key_digests;
};

/// \brief Row `replica/NAME`: one model engine.
struct replica_row
{
	replica_id id;
	failure_domain_id failure_domain;

	/// HTTP address, `ip:port`.
	std::string address;

	std::vector<version_ref> versions;

	/// Requests that one entry VM may have open at it.
	unsigned slots{};

	/// Whether it refuses orders with an old epoch.
	bool checks_fences{};
};

/// \brief A call of a plain service that may not be repeated.
struct unrepeatable_rule
{
	std::string method;
	std::string path_prefix;
};

/// \brief One process of a plain service.
struct service_endpoint
{
	failure_domain_id failure_domain;
	std::string address;
	vm_id vm;
};

/// \brief Row `service/NAME`: a plain service beside the engines.
struct service_row
{
	service_id id;
	std::vector<service_endpoint> endpoints;
	std::vector<unrepeatable_rule> not_repeatable;

	/// Price of one call.
	micro_cost cost_per_call;
};

/// \brief Row `cascade/NAME`: models from cheap to strong, callable under one name.
struct cascade_row
{
	cascade_id id;
	std::vector<model_id> steps;
};

/// \brief Row `settings/global`.
struct settings_row
{
	/// Key that signs session handles.
	std::string session_key;

	/// A version under trial is served only while the table was confirmed this recently.
	duration trial_freshness{};

	/// Largest number of unjudged requests a permit owner lets out at once.
	unsigned permit_batch{};
};
} // namespace gingerdyke::table
