// SPDX-License-Identifier: MIT
// Statements of replicas, their entries and operators that this program does not know, so that a new one is
// seen on the day on which it begins.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace gingerdyke::proxy
{
/// \brief Where a statement stood.
enum class statement_source
{
	/// Header of a replica's answer.
	answer,
	/// Field of a replica's entry in the registry.
	replica_entry,
	/// Row of the operators' table.
	operator_row,
};

/// \brief The word for a source.
[[nodiscard]] const char* name_of(statement_source source) noexcept;

/// \brief Counts statements that are not known, and tells of each name once.
class unknown_statements
{
  public:
	/// \brief Told of a name that was not seen before, and who made the statement.
	using new_name_hook = std::function<void(statement_source, const std::string& name, const std::string& sender)>;

	explicit unknown_statements(new_name_hook on_new_name) : new_name_hook_(std::move(on_new_name)) {}

	/// \brief Notes one statement. Names beyond a number, and the ends of long ones, are only counted.
	void note(statement_source source, std::string_view name, const std::string& sender);

	/// \brief Statements noted so far.
	[[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  private:
	new_name_hook new_name_hook_;
	std::set<std::string> names_;
	std::uint64_t count_ = 0;
};
} // namespace gingerdyke::proxy
