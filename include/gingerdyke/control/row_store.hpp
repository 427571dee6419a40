// SPDX-License-Identifier: MIT
// Interface to the platform's registry: versioned tables of rows with change feeds and conditional writes.
// The platform adapter implements it; tests use a scripted implementation.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <gingerdyke/rollout/version_shift.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gingerdyke::control
{
using rollout::registry_time;
using rollout::row_version;

/// \brief Rises when the registry returns from an older copy. Versions of one era say nothing on another's.
using registry_era = quantity<struct registry_era_tag>;

/// \brief A row of a table, or the tombstone of a removed row.
struct row
{
	std::string table;
	std::string key;
	std::string value;
	row_version version;
	bool removed{};
};

/// \brief The rows returned by one read, with their version and age.
struct row_batch
{
	std::vector<row> rows;

	/// Newest version that the registry had; the next call continues from it.
	row_version newest;

	/// Era of these versions; none if the source does not tell.
	std::optional<registry_era> era{};

	/// Reading of the registry's steady clock when it responded.
	registry_time at{};

	/// Age of the data when the response was given: 0 for the registry itself, more for another VM's copy.
	duration age{};

	/// True if the responding VM itself reads the registry through another VM.
	bool is_relayed{};

	/// Lower bound on how long the call was held before it was answered. A response without changes after the
	/// full wait proves that there were none during that time.
	duration held{};
};

/// \brief Reasons why a read returns no rows.
enum class store_error
{
	/// No response within the time limit.
	unreachable,
	/// The registry, or the VM that was asked, reports that it cannot serve the request at present.
	unavailable,
	/// The history to continue from has been discarded; the table has to be read in full again.
	history_gone,
	/// The response is malformed.
	bad_response,
	/// The changes exceed what this VM accepts; the table has to be read in full.
	too_large,
};

/// \brief Whether the table has to be read in full, while its source is well.
[[nodiscard]] inline bool needs_full_read(store_error error) noexcept
{
	return error == store_error::history_gone || error == store_error::too_large;
}

/// \brief Returns the name of an error as it is logged.
[[nodiscard]] const char* name_of(store_error error) noexcept;

/// \brief A transaction over several rows: all of it is applied or none.
struct row_change
{
	struct condition
	{
		std::string table;
		std::string key;

		/// Required version of the row; 0 if the row must not exist.
		row_version version;
	};

	struct put
	{
		std::string table;
		std::string key;
		std::string value;
	};

	struct removal
	{
		std::string table;
		std::string key;
	};

	std::vector<condition> conditions;
	std::vector<put> puts;
	std::vector<removal> removals;
};

/// \brief Outcome of a transaction.
struct change_result
{
	/// False if a condition did not hold; `rows` then holds the current rows.
	bool committed{};
	std::vector<row> rows;

	/// Newest version that the registry had when it answered: at least that of the rows just written.
	row_version newest{};
};

template <typename T>
using store_result = tl::expected<T, store_error>;

/// \brief Asynchronous access to the registry. Calls return at once; their callbacks run later on the same
/// event loop.
class row_store
{
  public:
	virtual ~row_store() = default;

	/// \brief Reads a full table, in as many calls as it takes.
	virtual void read_all(const std::string& table, std::function<void(store_result<row_batch>)> done) = 0;

	/// \brief Returns the changes of a table after a version, waiting for some if there are none (long
	/// polling).
	/// \param after Version to continue from.
	/// \param wait How long to wait if there are no changes.
	virtual void follow(const std::string& table, row_version after, duration wait,
		std::function<void(store_result<row_batch>)> done) = 0;

	/// \brief Abandons all pending reads; they fail with `store_error::unreachable`.
	virtual void abandon() = 0;

	/// \brief Applies a transaction.
	virtual void change(
		const row_change& transaction, std::function<void(store_result<change_result>)> done) = 0;
};
} // namespace gingerdyke::control
