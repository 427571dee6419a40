// SPDX-License-Identifier: MIT
// What two VMs say to each other about a request that one forwards for the other, in one header each way.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/routing/catalog.hpp>
#include <gingerdyke/routing/size_policy.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gingerdyke::proxy
{
/// \brief Header of a forwarded request, with `forwarding_terms`.
inline constexpr const char* forwarding_header = "Gingerdyke-Forwarding";

/// \brief Header of the response to it, with `forwarding_result`.
inline constexpr const char* forwarding_result_header = "Gingerdyke-Forwarding-Result";

/// \brief Terms of a forwarded request.
struct forwarding_terms
{
	/// VM that accepted the request from its caller.
	vm_id origin;

	/// Attempts made so far, and how many there may be in all.
	unsigned attempts_made{};
	unsigned max_attempts{};

	/// Model to begin with, on routes where the router chooses it.
	routing::size_step model_step;

	/// Configuration by which the origin accepted the request.
	std::int64_t config_version{};
};

/// \brief How a VM ended a forwarded request.
enum class forwarding_outcome
{
	/// The response is a replica's.
	answered,
	/// The request was not run, and no other VM could do better.
	refused,
	/// This VM can't serve the request; it was not run, and another VM may serve it.
	unavailable,
	/// The request may have run.
	failed,
};

/// \brief Result of a forwarded request.
struct forwarding_result
{
	forwarding_outcome outcome{forwarding_outcome::failed};

	/// Attempts made in all.
	unsigned attempts_made{};

	/// Replica of the last attempt; empty if there was none.
	replica_id replica;
};

/// \brief Encodes terms as the value of their header.
[[nodiscard]] std::string write_terms(const forwarding_terms& terms);

/// \brief Decodes terms; none if the value is malformed.
[[nodiscard]] std::optional<forwarding_terms> read_terms(std::string_view value);

/// \brief Encodes a result as the value of its header.
[[nodiscard]] std::string write_result(const forwarding_result& result);

/// \brief Decodes a result; none if the value is malformed.
[[nodiscard]] std::optional<forwarding_result> read_result(std::string_view value);

/// \brief Returns the limits on connections of forwarding VMs.
/// \param callers Limits on callers, which the forwarded requests have passed.
[[nodiscard]] routing::caller_limits forwarding_limits(routing::caller_limits callers);
} // namespace gingerdyke::proxy
