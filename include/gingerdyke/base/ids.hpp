// SPDX-License-Identifier: MIT
// Strong types for identifiers: a workspace id can't be passed where a replica id is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gingerdyke
{
/// \brief A string identifier. The tag makes identifiers of different kinds distinct types.
template <typename Tag>
class string_id
{
  public:
	string_id() = default;

	explicit string_id(std::string value) : value_(std::move(value)) {}

	/// \brief The identifier as a string.
	[[nodiscard]] const std::string& str() const noexcept { return value_; }

	/// \brief Whether the identifier is unset.
	[[nodiscard]] bool empty() const noexcept { return value_.empty(); }

	auto operator<=>(const string_id&) const = default;

  private:
	std::string value_;
};

using workspace_id = string_id<struct workspace_tag>;
using model_id = string_id<struct model_tag>;
using class_id = string_id<struct class_tag>;
using replica_id = string_id<struct replica_tag>;
using service_id = string_id<struct service_tag>;
using cascade_id = string_id<struct cascade_tag>;
using operator_id = string_id<struct operator_tag>;
using failure_domain_id = string_id<struct failure_domain_tag>;
using region_id = string_id<struct region_tag>;
using vm_id = string_id<struct vm_tag>;
using request_id = string_id<struct request_tag>;
using row_id = string_id<struct row_tag>;
using idempotency_key = string_id<struct idempotency_tag>;

/// \brief A version of a model, written `model@version`.
struct version_ref
{
	model_id model;
	std::string version;

	auto operator<=>(const version_ref&) const = default;

	/// \brief Formats the reference as `model@version`.
	[[nodiscard]] std::string str() const { return model.str() + "@" + version; }

	/// \brief Whether the reference is unset.
	[[nodiscard]] bool empty() const noexcept { return model.empty(); }

	/// \brief Parses `model@version`. Without `@` the text is the model, and the version is empty.
	[[nodiscard]] static version_ref parse(std::string_view text)
	{
		const auto at = text.find('@');
		if (at == std::string_view::npos)
		{
			return {model_id{std::string{text}}, {}};
		}
		return {model_id{std::string{text.substr(0, at)}}, std::string{text.substr(at + 1)}};
	}
};

/// \brief One process instance on a VM. The incarnation number increases with each restart under the same VM
/// id.
struct vm_incarnation
{
	vm_id vm;
	std::uint64_t incarnation{};

	auto operator<=>(const vm_incarnation&) const = default;
};
} // namespace gingerdyke
