// SPDX-License-Identifier: MIT
// What the platform's transactional table service understands: typed operations and their results.
#pragma once

#include <cstdint>
#include <gingerdyke/base/json_source.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gingerdyke::store
{
/// \brief Commit sequence of the table service; a row's version is that of its last write, 0 where absent.
using version = std::int64_t;

/// \brief Writes a row where none stands; where one stands it is left, and the transaction goes on.
struct insert
{
	std::string table;
	std::string key;
	json value;
};

/// \brief Writes a row whose version is the expected one; else the whole transaction is refused.
struct put_if
{
	std::string table;
	std::string key;
	version expected{};
	json value;
};

/// \brief Removes a row that holds exactly this value; else it is left, and the transaction goes on.
struct erase_if
{
	std::string table;
	std::string key;
	json value;
};

/// \brief Reads a row.
struct read
{
	std::string table;
	std::string key;
};

/// \brief Reads the rows of a table written after a version, oldest first.
struct scan
{
	std::string table;
	version after{};
	std::size_t limit{};
};

using operation = std::variant<insert, put_if, erase_if, read, scan>;

/// \brief A transaction: all of it or nothing.
using transaction = std::vector<operation>;

/// \brief A row as it stands; without a value where it is absent.
struct row
{
	std::string key;
	version at{};
	std::optional<json> value;
};

/// \brief Result of one operation. `applied` tells whether an insert or erase took effect.
struct result
{
	bool applied{};
	row standing;
	std::vector<row> rows;
};

/// \brief What became of a transaction.
enum class verdict
{
	/// Took effect whole; the results hold.
	committed,
	/// An expectation failed; nothing took effect, the results show what stands.
	conflict,
	/// Refused before any effect: rate limit, or the service could not be reached at all.
	refused,
	/// Sent, but no answer came: it may have taken effect, now or later.
	no_answer,
};

/// \brief The answer to a transaction.
struct answer
{
	verdict what{verdict::no_answer};
	version sequence{};
	std::vector<result> results;
};

/// \brief The order in which calls pass the limiter of platform calls.
enum class priority
{
	claim,
	bill,
	table,
	other,
};

/// \brief Wire form of a transaction.
[[nodiscard]] json to_json(const transaction& transaction);

/// \brief Reads the wire form of a transaction.
[[nodiscard]] checked<transaction> transaction_from(const json& value);

/// \brief Wire form of an answer.
[[nodiscard]] json to_json(const answer& answer);

/// \brief Reads the wire form of an answer; one that can't be read is `no_answer`.
[[nodiscard]] answer answer_from(const json& value);
} // namespace gingerdyke::store
