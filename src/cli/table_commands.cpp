// SPDX-License-Identifier: MIT
// Commands that read or change the table or read the state of a node: check, plan, apply, export, status,
// explain.
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
constexpr time_t read_timeout_seconds = 15;
constexpr std::size_t session_key_bytes = 32;
constexpr std::size_t change_id_bytes = 16;
constexpr int indent = 2;
constexpr const char* key_env_variable = "GINGERDYKE_OPERATOR_KEY";

std::vector<option_spec> node_options()
{
	return {
		{"node", true, "HTTP address of a node, HOST:PORT"},
		{"key-file", true,
			"file with the operator key; defaults to the environment variable GINGERDYKE_OPERATOR_KEY"},
	};
}

/// Change of one row that makes the table match the declared rows.
struct planned_change
{
	std::string id;
	std::int64_t expected{};
	json before;
	json after;
};

/// HTTP client for the operator API of a node.
class node_client
{
  public:
	/// Reads the operator key from the file given by `--key-file`, or from the environment.
	explicit node_client(const parsed_options& options)
		: endpoint_(node::endpoint::parse(options.value("node"))), client_(endpoint_.host, endpoint_.port)
	{
		std::string key;
		if (options.has("key-file"))
		{
			std::ifstream file{options.value("key-file")};
			std::getline(file, key);
		}
		else if (const char* env_key = std::getenv(key_env_variable))
		{
			key = env_key;
		}
		client_.set_read_timeout(read_timeout_seconds);
		client_.set_default_headers({{"Authorization", "Bearer " + key}});
	}

	/// Returns the status and body of the response; status 0 and the error message if there was none.
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

	node::endpoint endpoint_;
	httplib::Client client_;
};

/// Prints an error response and returns the exit code for it.
exit_code report_error(const std::pair<int, json>& response)
{
	const auto& [status, body] = response;
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
		std::cerr << "row " << body["error"]["row"] << "\ncurrent: " << body["error"]["standing"].dump(indent)
				  << "\nrequested: " << body["error"]["wanted"].dump(indent) << "\n";
	}
	return status == http_status::accepted ? exit_code::unreachable : exit_code::rejected;
}

std::vector<planned_change> diff_rows(const json& current, const table::row_set& declared)
{
	std::vector<planned_change> changes;
	for (const auto& [id, row] : declared)
	{
		const auto exists = current.contains(id.str());
		const auto before = exists ? current.at(id.str()).at("value") : json(nullptr);
		const auto expected = exists ? current.at(id.str()).at("revision").get<std::int64_t>() : 0;
		if (before != row.value)
		{
			changes.push_back({id.str(), expected, before, row.value});
		}
	}
	for (const auto& [id, row] : current.items())
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

/// Result of comparing a table file with the table of a node; used by `plan` and `apply`.
struct table_diff
{
	exit_code status{exit_code::ok};
	std::vector<planned_change> changes;
};

table_diff diff_with_node(node_client& node, const std::string& path)
{
	const auto source = load_declarations(path);
	if (!source)
	{
		std::cerr << to_text(source.error());
		return {exit_code::rejected, {}};
	}
	const auto response = node.get("/table");
	if (response.first != http_status::ok)
	{
		return {report_error(response), {}};
	}
	return {exit_code::ok, diff_rows(response.second.at("rows"), table::rows_of(*source))};
}

/// Returns the row value to send. A placeholder stands for the session key in files: for a new row it is
/// replaced by a random key, for an existing row the node keeps its current key.
json request_value(const planned_change& change)
{
	auto value = change.after;
	const bool is_new_session_key = change.id == "settings/global" && change.before.is_null() &&
									value.value("session_key", "") == table::kept_secret;
	if (is_new_session_key)
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
	node_client node{options};
	const auto response = node.get(path);
	if (response.first != http_status::ok)
	{
		return report_error(response);
	}
	std::cout << response.second.dump(indent) << "\n";
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
		std::cerr << "gingerdyke check: at least one file is required\n";
		return exit_code::usage;
	}
	findings errors;
	for (const auto& path : options->operands)
	{
		const auto source = json_source::load(path);
		if (!source)
		{
			errors.insert(errors.end(), source.error().begin(), source.error().end());
			continue;
		}
		const bool is_table = source->value().is_object() && source->value().contains("rows");
		findings file_findings;
		if (is_table)
		{
			const auto compiled = table::table::compile(*source);
			file_findings = compiled ? findings{} : compiled.error();
		}
		else
		{
			const auto settings = node::read_settings(*source);
			file_findings = settings ? findings{} : settings.error();
		}
		errors.insert(errors.end(), file_findings.begin(), file_findings.end());
	}
	std::cout << to_text(errors);
	std::cout << errors.size() << " finding(s) in " << options->operands.size() << " file(s)\n";
	return errors.empty() ? exit_code::ok : exit_code::rejected;
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
	node_client node{*options};
	const auto diff = diff_with_node(node, options->operands.front());
	for (const auto& change : diff.changes)
	{
		print_change(change);
	}
	if (diff.status != exit_code::ok)
	{
		return diff.status;
	}
	std::cout << diff.changes.size() << " row(s) to change\n";
	return diff.changes.empty() ? exit_code::ok : exit_code::changes;
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
	node_client node{*options};
	const auto diff = diff_with_node(node, options->operands.front());
	if (diff.status != exit_code::ok || diff.changes.empty())
	{
		std::cout << (diff.status == exit_code::ok ? "nothing to change\n" : "");
		return diff.status;
	}
	json body{{"change_id", random_hex(change_id_bytes)}, {"rows", json::array()}};
	for (const auto& change : diff.changes)
	{
		print_change(change);
		body["rows"].push_back(
			{{"id", change.id}, {"expected", change.expected}, {"value", request_value(change)}});
	}
	// The change id makes the request idempotent, so it is retried once if the result is unknown.
	auto response = node.post("/table/apply", body);
	if (response.first == 0 || response.first == http_status::accepted)
	{
		response = node.post("/table/apply", body);
	}
	if (response.first != http_status::ok)
	{
		return report_error(response);
	}
	std::cout << diff.changes.size() << " row(s) changed, revision " << response.second.at("revision")
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
	node_client node{*options};
	const auto response = node.get("/table");
	if (response.first != http_status::ok)
	{
		return report_error(response);
	}
	auto rows = json::object();
	for (const auto& [id, row] : response.second.at("rows").items())
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
