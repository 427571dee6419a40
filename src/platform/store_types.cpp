// SPDX-License-Identifier: MIT
// Wire form of the table service's transactions and answers.
#include <gingerdyke/platform/store_types.hpp>

namespace gingerdyke::store
{
namespace
{
struct operation_writer
{
	json operator()(const insert& op) const
	{
		return {{"op", "insert"}, {"table", op.table}, {"key", op.key}, {"value", op.value}};
	}

	json operator()(const put_if& op) const
	{
		return {{"op", "put_if"}, {"table", op.table}, {"key", op.key}, {"expected", op.expected},
			{"value", op.value}};
	}

	json operator()(const erase_if& op) const
	{
		return {{"op", "erase_if"}, {"table", op.table}, {"key", op.key}, {"value", op.value}};
	}

	json operator()(const read& op) const { return {{"op", "read"}, {"table", op.table}, {"key", op.key}}; }

	json operator()(const scan& op) const
	{
		return {{"op", "scan"}, {"table", op.table}, {"after", op.after}, {"limit", op.limit}};
	}
};

operation operation_from(const json& value)
{
	const auto kind = value.at("op").get<std::string>();
	const auto table = value.at("table").get<std::string>();
	if (kind == "scan")
	{
		return scan{table, value.at("after").get<version>(), value.at("limit").get<std::size_t>()};
	}
	const auto key = value.at("key").get<std::string>();
	if (kind == "insert")
	{
		return insert{table, key, value.at("value")};
	}
	if (kind == "put_if")
	{
		return put_if{table, key, value.at("expected").get<version>(), value.at("value")};
	}
	if (kind == "erase_if")
	{
		return erase_if{table, key, value.at("value")};
	}
	if (kind == "read")
	{
		return read{table, key};
	}
	throw std::invalid_argument("unknown operation " + kind);
}

json row_to_json(const row& row)
{
	json value{{"key", row.key}, {"at", row.at}};
	if (row.value)
	{
		value["value"] = *row.value;
	}
	return value;
}

row row_from(const json& value)
{
	row result{value.at("key").get<std::string>(), value.at("at").get<version>(), std::nullopt};
	if (value.contains("value"))
	{
		result.value = value.at("value");
	}
	return result;
}

constexpr std::array verdict_names{"committed", "conflict", "refused", "no_answer"};
} // namespace

json to_json(const transaction& transaction)
{
	auto operations = json::array();
	for (const auto& op : transaction)
	{
		operations.push_back(std::visit(operation_writer{}, op));
	}
	return {{"operations", operations}};
}

checked<transaction> transaction_from(const json& value)
{
	try
	{
		transaction result;
		for (const auto& op : value.at("operations"))
		{
			result.push_back(operation_from(op));
		}
		return result;
	}
	catch (const std::exception& error)
	{
		return tl::make_unexpected(findings{{{"transaction", "/operations", 0}, error.what()}});
	}
}

json to_json(const answer& answer)
{
	auto results = json::array();
	for (const auto& one : answer.results)
	{
		json written{{"applied", one.applied}, {"standing", row_to_json(one.standing)}};
		for (const auto& row : one.rows)
		{
			written["rows"].push_back(row_to_json(row));
		}
		results.push_back(std::move(written));
	}
	const auto name = verdict_names.at(static_cast<std::size_t>(answer.what));
	return {{"verdict", name}, {"sequence", answer.sequence}, {"results", results}};
}

answer answer_from(const json& value)
{
	try
	{
		answer result;
		const auto name = value.at("verdict").get<std::string>();
		const auto known = std::find(verdict_names.begin(), verdict_names.end(), name);
		if (known == verdict_names.end())
		{
			return {};
		}
		result.what = static_cast<verdict>(known - verdict_names.begin());
		result.sequence = value.at("sequence").get<version>();
		for (const auto& one : value.at("results"))
		{
			struct result read_result
			{
				one.at("applied").get<bool>(), row_from(one.at("standing")), {}
			};
			for (const auto& row : one.value("rows", json::array()))
			{
				read_result.rows.push_back(row_from(row));
			}
			result.results.push_back(std::move(read_result));
		}
		return result;
	}
	catch (const json::exception&)
	{
		return {};
	}
}
} // namespace gingerdyke::store
