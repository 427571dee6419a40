// SPDX-License-Identifier: MIT
// The platform's registry as the product uses it: tables of rows, followed by their changes, written under
// conditions. The platform adapter speaks to it; tests put a stand-in behind the same interface.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <gingerdyke/rollout/version_shift.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace gingerdyke::control
{
using rollout::registry_time;
using rollout::row_version;

/// \brief One row, or the news that it is gone.
struct row
{
	std::string table;
	std::string key;
	std::string value;
	row_version version;
	bool removed{};
};

/// \brief Rows that a call answered with.
struct row_batch
{
	std::vector<row> rows;

	/// Newest version that the registry had; the next call continues there.
	row_version newest;

	/// The registry's steady clock.
	registry_time at{};

	/// How old the answer was when it was given: 0 from the registry itself, more from another VM's copy.
	duration age{};

	/// From a VM that reads the registry through another one.
	bool is_second_hand{};

	/// How long the call was held before it was answered, at least: an answer without news, given after the
	/// whole wait, tells that there was none all that time.
	duration held{};
};

/// \brief Why a call gave no rows.
enum class store_error
{
	/// No answer, or none in time.
	unreachable,
	/// It answers that it can't serve now.
	unavailable,
	/// The history that the call continues from is gone: everything has to be read again.
	history_gone,
	/// What it answered can't be understood.
	bad_answer,
};

/// \brief The word for an error.
[[nodiscard]] const char* name_of(store_error error) noexcept;

/// \brief A change of several rows, all or none.
struct row_change
{
	struct condition
	{
		std::string table;
		std::string key;

		/// Version that the row must have; 0: there must be none.
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
	std::vector<removal> removes;
};

/// \brief Outcome of a change.
struct change_answer
{
	/// False where a condition did not hold; `rows` are then the rows as they are.
	bool done{};
	std::vector<row> rows;
};

template <typename T>
using store_result = tl::expected<T, store_error>;

/// \brief The registry. Calls return at once; hooks are called later on the same event loop.
class row_store
{
  public:
	virtual ~row_store() = default;

	/// \brief Reads a whole table, over as many calls as it takes.
	virtual void read_all(const std::string& table, std::function<void(store_result<row_batch>)> done) = 0;

	/// \brief Waits for changes of a table.
	/// \param after Version to continue from.
	/// \param wait How long to wait where there are none.
	virtual void follow(const std::string& table, row_version after, duration wait,
		std::function<void(store_result<row_batch>)> done) = 0;

	/// \brief Gives up all calls under way; they end as unreachable.
	virtual void abandon() = 0;

	/// \brief Makes a change.
	virtual void change(const row_change& what, std::function<void(store_result<change_answer>)> done) = 0;
};
} // namespace gingerdyke::control
