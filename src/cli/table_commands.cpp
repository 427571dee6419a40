// SPDX-License-Identifier: MIT
// The commands that work on the table and on a node's state: check, plan, apply, export, status, explain.
#include <cstdlib>
#include <fstream>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/cli/commands.hpp>
#include <gingerdyke/cli/options.hpp>
#include <gingerdyke/node/settings.hpp>
#include <gingerdyke/table/table.hpp>
#include <httplib.h>
#include <iostream>

namespace gingerdyke::cli
{
namespace
{
constexpr time_t answer_seconds = 15;
constexpr std::size_t session_key_bytes = 32;
constexpr std::size_t change_id_bytes = 16;
constexpr int indent = 2;
constexpr const char* key_variable = "GINGERDYKE_OPERATOR_KEY";

std::vector<option_spec> node_options()
{
	return {
		{"node", true, "a node's HTTP address, HOST:PORT"},
		{"key-file", true, "file that holds the operator key; else the variable GINGERDYKE_OPERATOR_KEY"},
	};
}

/// One change that brings the table nearer to the declarations.
struct planned_change
{
	std::string id;
	std::int64_t expected{};
	json before;
	json after;
};

/// Calls of one node, as an operator.
class node_caller
{
  public:
	/// Throws where no key is given.
	explicit node_caller(const parsed_options& options)
		: at_(node::endpoint::parse(options.value("node"))), client_(at_.host, at_.port)
	{
		std::string key;
		if (options.has("key-file"))
		{
			std::ifstream file{options.value("key-file")};
			std::getline(file, key);
		}
		else if (const char* given = std::getenv(key_variable))
		{
			key = given;
		}
		client_.set_read_timeout(answer_seconds);
		client_.set_default_headers({{"Authorization", "Bearer " + key}});
	}

	/// The answer's status and body; status 0 where there was no answer.
	std::pair<int, json> get(const std::string& path) { return read(client_.Get(path)); }

	std::pair<int, json> post(const std::string& path, const json& body)
	{
		return read(client_.Post(path, body.dump(), "application/json"));
	}

  private:
	static std::pair<int, json> read(const httplib::Result& result)
	{
		if (!result)
		{
			return {0, httplib::to_string(result.error())};
		}
		auto body = json::parse(result->body, nullptr, false);
		return {result->status, body.is_discarded() ? json(result->body) : std::move(body)};
	}

	node::endpoint at_;
	httplib::Client client_;
};

/// Prints an answer that is not what was hoped for.
exit_code report(const std::pair<int, json>& answer)
{
	const auto& [status, body] = answer;
	if (status == 0)
	{
		std::cerr << "gingerdyke: the node can't be reached: " << body.get<std::string>() << "\n";
		return exit_code::unreachable;
	}
	const auto message =
		body.is_object() && body.contains("error") ? body["error"].value("message", "") : body.dump();
	std::cerr << "gingerdyke: " << status << ": " << message << "\n";
	if (body.is_object() && body.contains("error") && body["error"].contains("standing"))
	{
		std::cerr << "row " << body["error"]["row"] << "\nstands: " << body["error"]["standing"].dump(indent)
				  << "\nwanted: " << body["error"]["wanted"].dump(indent) << "\n";
	}
	return status == http_status::accepted ? exit_code::unreachable : exit_code::rejected;
}

std::vector<planned_change> changes_between(const json& standing, const table::row_set& declared)
{
	std::vector<planned_change> changes;
	for (const auto& [id, row] : declared)
	{
		const auto known = standing.contains(id.str());
		const auto before = known ? standing.at(id.str()).at("value") : json(nullptr);
		const auto expected = known ? standing.at(id.str()).at("revision").get<std::int64_t>() : 0;
		if (before != row.value)
		{
			changes.push_back({id.str(), expected, before, row.value});
		}
	}
	for (const auto& [id, row] : standing.items())
	{
		if (!declared.contains(row_id{id}))
		{
			changes.push_back({id, row.at("revision").get<std::int64_t>(), row.at("value"), nullptr});
		}
	}
	return changes;
}

void print_change(const planned_change& change)
{
	const char sign = change.before.is_null() ? '+' : change.after.is_null() ? '-' : '~';
	std::cout << sign << " " << change.id << "\n";
	if (sign != '~')
	{
		return;
	}
	auto columns = change.before;
	columns.update(change.after);
	for (const auto& [column, unused] : columns.items())
	{
		const auto before = change.before.value(column, json(nullptr));
		const auto after = change.after.value(column, json(nullptr));
		if (before != after)
		{
			std::cout << "    " << column << ": " << before.dump() << " -> " << after.dump() << "\n";
		}
	}
}

checked<json_source> load_declarations(const std::string& path)
{
	auto source = json_source::load(path);
	if (!source)
	{
		return source;
	}
	auto compiled = table::table::compile(*source);
	if (!compiled)
	{
		return tl::make_unexpected(std::move(compiled.error()));
	}
	return source;
}

/// What plan and apply have in common: reads the file and the node's table, and compares.
struct comparison
{
	exit_code status{exit_code::ok};
	std::vector<planned_change> changes;
};

comparison compare(node_caller& node, const std::string& path)
{
	const auto source = load_declarations(path);
	if (!source)
	{
		std::cerr << to_text(source.error());
		return {exit_code::rejected, {}};
	}
	const auto answer = node.get("/table");
	if (answer.first != http_status::ok)
	{
		return {report(answer), {}};
	}
	return {exit_code::ok, changes_between(answer.second.at("rows"), table::rows_of(*source))};
}

/// A first session key is made up here; later the text that stands for it leaves it as it is.
json value_to_send(const planned_change& change)
{
	auto value = change.after;
	const bool first_key = change.id == "settings/global" && change.before.is_null() &&
						   value.value("session_key", "") == table::kept_secret;
	if (first_key)
	{
		value["session_key"] = random_hex(session_key_bytes);
	}
	return value;
}

std::optional<parsed_options> options_with_node(
	const std::string& usage, const arguments& args, std::size_t operands, int& status)
{
	auto options = parse_options(usage, node_options(), args, status);
	if (options && (!options->has("node") || options->operands.size() != operands))
	{
		std::cerr << "usage: " << usage << "\n";
		status = static_cast<int>(exit_code::usage);
		return std::nullopt;
	}
	return options;
}

exit_code print_get(const parsed_options& options, const std::string& path)
{
	node_caller node{options};
	const auto answer = node.get(path);
	if (answer.first != http_status::ok)
	{
		return report(answer);
	}
	std::cout << answer.second.dump(indent) << "\n";
	return exit_code::ok;
}
} // namespace

exit_code check(const arguments& args)
{
	int status = 0;
	const auto options = parse_options("gingerdyke check FILE...", {}, args, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	if (options->operands.empty())
	{
		std::cerr << "gingerdyke check: name at least one file\n";
		return exit_code::usage;
	}
	findings wrong;
	for (const auto& path : options->operands)
	{
		const auto source = json_source::load(path);
		if (!source)
		{
			wrong.insert(wrong.end(), source.error().begin(), source.error().end());
			continue;
		}
		const bool is_table = source->value().is_object() && source->value().contains("rows");
		findings here;
		if (is_table)
		{
			const auto compiled = table::table::compile(*source);
			here = compiled ? findings{} : compiled.error();
		}
		else
		{
			const auto settings = node::read_settings(*source);
			here = settings ? findings{} : settings.error();
		}
		wrong.insert(wrong.end(), here.begin(), here.end());
	}
	std::cout << to_text(wrong);
	std::cout << wrong.size() << " finding(s) in " << options->operands.size() << " file(s)\n";
	return wrong.empty() ? exit_code::ok : exit_code::rejected;
}

exit_code plan(const arguments& args)
{
	int status = 0;
	const auto options =
		options_with_node("gingerdyke plan --node HOST:PORT [--key-file FILE] TABLE.json", args, 1, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	node_caller node{*options};
	const auto compared = compare(node, options->operands.front());
	for (const auto& change : compared.changes)
	{
		print_change(change);
	}
	if (compared.status != exit_code::ok)
	{
		return compared.status;
	}
	std::cout << compared.changes.size() << " row(s) to change\n";
	return compared.changes.empty() ? exit_code::ok : exit_code::changes;
}

exit_code apply(const arguments& args)
{
	int status = 0;
	const auto options =
		options_with_node("gingerdyke apply --node HOST:PORT [--key-file FILE] TABLE.json", args, 1, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	node_caller node{*options};
	const auto compared = compare(node, options->operands.front());
	if (compared.status != exit_code::ok || compared.changes.empty())
	{
		std::cout << (compared.status == exit_code::ok ? "nothing to change\n" : "");
		return compared.status;
	}
	json body{{"change_id", random_hex(change_id_bytes)}, {"rows", json::array()}};
	for (const auto& change : compared.changes)
	{
		print_change(change);
		body["rows"].push_back(
			{{"id", change.id}, {"expected", change.expected}, {"value", value_to_send(change)}});
	}
	// The change id makes a second try harmless, so an unclear answer is asked for once more.
	auto answer = node.post("/table/apply", body);
	if (answer.first == 0 || answer.first == http_status::accepted)
	{
		answer = node.post("/table/apply", body);
	}
	if (answer.first != http_status::ok)
	{
		return report(answer);
	}
	std::cout << compared.changes.size() << " row(s) changed, revision " << answer.second.at("revision")
			  << "\n";
	return exit_code::ok;
}

exit_code export_table(const arguments& args)
{
	int status = 0;
	const auto options =
		options_with_node("gingerdyke export --node HOST:PORT [--key-file FILE]", args, 0, status);
	if (!options)
	{
		return static_cast<exit_code>(status);
	}
	node_caller node{*options};
	const auto answer = node.get("/table");
	if (answer.first != http_status::ok)
	{
		return report(answer);
	}
	auto rows = json::object();
	for (const auto& [id, row] : answer.second.at("rows").items())
	{
		rows[id] = row.at("value");
	}
	std::cout << json{{"rows", rows}}.dump(indent) << "\n";
	return exit_code::ok;
}

exit_code status(const arguments& args)
{
	int exit_status = 0;
	const auto options =
		options_with_node("gingerdyke status --node HOST:PORT [--key-file FILE]", args, 0, exit_status);
	return options ? print_get(*options, "/status") : static_cast<exit_code>(exit_status);
}

exit_code explain(const arguments& args)
{
	int status = 0;
	const auto options = options_with_node(
		"gingerdyke explain --node HOST:PORT [--key-file FILE] REQUEST-ID", args, 1, status);
	return options ? print_get(*options, "/explain/" + options->operands.front())
				   : static_cast<exit_code>(status);
}
} // namespace gingerdyke::cli
