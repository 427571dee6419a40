// SPDX-License-Identifier: MIT
// A transactional table service in memory: what the stand-in serves over HTTP and the tests drive directly.
#pragma once

#include <gingerdyke/platform/store_types.hpp>
#include <map>
#include <string>

namespace gingerdyke::standin
{
/// \brief Tables of rows, with a version a row and one commit sequence.
class memory_store
{
  public:
	/// \brief Runs a transaction, all of it or nothing.
	[[nodiscard]] store::answer run(const store::transaction& transaction);

	/// \brief The rows of a table, removed ones left out.
	[[nodiscard]] std::map<std::string, json> rows(const std::string& table) const;

  private:
	struct stored
	{
		json value;
		store::version at{};
		bool erased{};
	};

	using table_rows = std::map<std::string, stored>;

	[[nodiscard]] store::row standing(const std::string& table, const std::string& key) const;
	[[nodiscard]] bool holds(const store::operation& operation) const;
	[[nodiscard]] store::result apply(const store::operation& operation, store::version at);
	[[nodiscard]] store::result look(const store::operation& operation) const;

	std::map<std::string, table_rows> tables_;
	store::version sequence_ = 0;
};
} // namespace gingerdyke::standin
