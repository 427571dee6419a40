// SPDX-License-Identifier: MIT
// A transactional table service in memory.
#include "memory_store.hpp"
#include <algorithm>

namespace gingerdyke::standin
{
namespace
{
/// Table and key of an operation on one row.
struct row_name
{
	std::string table;
	std::string key;
};

struct namer
{
	row_name operator()(const store::scan& op) const { return {op.table, {}}; }

	template <typename Operation>
	row_name operator()(const Operation& op) const
	{
		return {op.table, op.key};
	}
};
} // namespace

store::row memory_store::standing(const std::string& table, const std::string& key) const
{
	store::row row{key, 0, std::nullopt};
	const auto found = tables_.find(table);
	if (found == tables_.end() || !found->second.contains(key))
	{
		return row;
	}
	const auto& stored = found->second.at(key);
	row.at = stored.at;
	if (!stored.erased)
	{
		row.value = stored.value;
	}
	return row;
}

bool memory_store::holds(const store::operation& operation) const
{
	const auto* put = std::get_if<store::put_if>(&operation);
	return put == nullptr || standing(put->table, put->key).at == put->expected;
}

store::result memory_store::look(const store::operation& operation) const
{
	const auto name = std::visit(namer{}, operation);
	store::result result{false, standing(name.table, name.key), {}};
	const auto* scan = std::get_if<store::scan>(&operation);
	const auto found = tables_.find(name.table);
	if (scan == nullptr || found == tables_.end())
	{
		return result;
	}
	for (const auto& [key, stored] : found->second)
	{
		if (stored.at > scan->after)
		{
			result.rows.push_back(standing(name.table, key));
		}
	}
	std::sort(
		result.rows.begin(), result.rows.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
	// Rows of one commit stay together: a page may be longer than asked for, never shorter while rows are
	// left.
	auto end = std::min(scan->limit, result.rows.size());
	while (end > 0 && end < result.rows.size() && result.rows[end].at == result.rows[end - 1].at)
	{
		++end;
	}
	result.rows.resize(end);
	return result;
}

store::result memory_store::apply(const store::operation& operation, store::version at)
{
	store::result result = look(operation);
	const auto name = std::visit(namer{}, operation);
	auto& row = tables_[name.table][name.key];
	if (const auto* insert = std::get_if<store::insert>(&operation))
	{
		if (!result.standing.value)
		{
			row = {insert->value, at, false};
			result.applied = true;
		}
	}
	else if (const auto* put = std::get_if<store::put_if>(&operation))
	{
		row = {put->value, at, false};
		result.applied = true;
	}
	else if (const auto* erase = std::get_if<store::erase_if>(&operation))
	{
		if (result.standing.value && *result.standing.value == erase->value)
		{
			row = {nullptr, at, true};
			result.applied = true;
		}
	}
	if (row.at == 0)
	{
		tables_[name.table].erase(name.key);
	}
	result.standing = standing(name.table, name.key);
	return result;
}

store::answer memory_store::run(const store::transaction& transaction)
{
	store::answer answer;
	if (!std::all_of(transaction.begin(), transaction.end(), [&](const auto& op) { return holds(op); }))
	{
		answer.what = store::verdict::conflict;
		answer.sequence = sequence_;
		for (const auto& operation : transaction)
		{
			answer.results.push_back(look(operation));
		}
		return answer;
	}
	const auto reads = [](const store::operation& op)
	{ return std::holds_alternative<store::read>(op) || std::holds_alternative<store::scan>(op); };
	const bool only_reads = std::all_of(transaction.begin(), transaction.end(), reads);
	sequence_ += only_reads ? 0 : 1;
	const auto at = sequence_;
	answer.what = store::verdict::committed;
	answer.sequence = at;
	for (const auto& operation : transaction)
	{
		answer.results.push_back(reads(operation) ? look(operation) : apply(operation, at));
	}
	return answer;
}

std::map<std::string, json> memory_store::rows(const std::string& table) const
{
	std::map<std::string, json> result;
	const auto found = tables_.find(table);
	if (found == tables_.end())
	{
		return result;
	}
	for (const auto& [key, stored] : found->second)
	{
		if (!stored.erased)
		{
			result.emplace(key, stored.value);
		}
	}
	return result;
}
} // namespace gingerdyke::standin
