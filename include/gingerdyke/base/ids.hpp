// SPDX-License-Identifier: MIT
// Strong types for the names of things: a workspace id can't be passed for a replica id.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gingerdyke
{
/// \brief A name that is told apart from other kinds of names by its tag.
template <typename Tag>
class string_id
{
  public:
	string_id() = default;

	explicit string_id(std::string value) : value_(std::move(value)) {}

	/// \brief The name as text.
	[[nodiscard]] const std::string& str() const noexcept { return value_; }

	/// \brief True where no name was given.
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
using vm_id = string_id<struct vm_tag>;
using request_id = string_id<struct request_tag>;
using row_id = string_id<struct row_tag>;
using idempotency_key = string_id<struct idempotency_tag>;

/// \brief A model at one of its versions, written `model@version`.
struct version_ref
{
	model_id model;
	std::string version;

	auto operator<=>(const version_ref&) const = default;

	/// \brief The written form, `model@version`.
	[[nodiscard]] std::string str() const { return model.str() + "@" + version; }

	/// \brief True where no version is named.
	[[nodiscard]] bool empty() const noexcept { return model.empty(); }

	/// \brief Reads `model@version`; a text without `@` names a model and leaves the version empty.
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

/// \brief One run of a process on a VM: a VM that restarts under the same name has a higher one.
struct vm_incarnation
{
	vm_id vm;
	std::uint64_t incarnation{};

	auto operator<=>(const vm_incarnation&) const = default;
};
} // namespace gingerdyke
