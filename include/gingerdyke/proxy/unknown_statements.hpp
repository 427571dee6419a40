// SPDX-License-Identifier: MIT
// Counts statements with unknown names in response headers, registry entries and operator rows, and reports
// each new name as soon as it appears.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace gingerdyke::proxy
{
/// \brief Where a statement was found.
enum class statement_source
{
	/// Header of a replica's response.
	response_header,
	/// Field of a replica's entry in the registry.
	replica_entry,
	/// Row of the operators' table.
	operator_row,
};

/// \brief Name of a source, as logs show it.
[[nodiscard]] const char* name_of(statement_source source) noexcept;

/// \brief Counts statements with unknown names and reports each name once.
class unknown_statements
{
  public:
	/// \brief Called with a name that was not seen before, and the sender of the statement.
	using new_name_hook =
		std::function<void(statement_source, const std::string& name, const std::string& sender)>;

	explicit unknown_statements(new_name_hook on_new_name) : new_name_hook_(std::move(on_new_name)) {}

	/// \brief Counts one statement. The number of names that are reported and the length of a name are
	/// bounded; statements beyond that are only counted.
	void record(statement_source source, std::string_view name, const std::string& sender);

	/// \brief Number of statements so far.
	[[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  private:
	new_name_hook new_name_hook_;
	std::set<std::string> names_;
	std::uint64_t count_ = 0;
};
} // namespace gingerdyke::proxy
