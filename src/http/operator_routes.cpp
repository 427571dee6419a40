// SPDX-License-Identifier: MIT
// The operators' calls.
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/base/json_schema.hpp>
#include <gingerdyke/http/answers.hpp>
#include <gingerdyke/http/operator_routes.hpp>

namespace gingerdyke::http
{
namespace
{
constexpr std::size_t change_id_bytes = 16;

/// Answers an edit's outcome.
struct outcome_writer
{
	httplib::Response& response;

	void operator()(const table::edit_committed& outcome) const
	{
		set_json(response, http_status::ok, {{"revision", outcome.at.value()}});
	}

	void operator()(const table::edit_conflict& outcome) const
	{
		auto body = error_body(http_status::conflict, "edit-conflict",
			"the row was edited by somebody else: nothing was changed");
		const auto shown = [&](const std::optional<json>& value)
		{ return value ? table::redacted(outcome.row, *value) : json(nullptr); };
		body["error"]["row"] = outcome.row.str();
		body["error"]["standing"] = {
			{"revision", outcome.standing_at.value()}, {"value", shown(outcome.standing)}};
		body["error"]["wanted"] = shown(outcome.wanted);
		set_json(response, http_status::conflict, body);
	}

	void operator()(const table::edit_invalid& outcome) const
	{
		set_findings(response, http_status::unprocessable, "edit-invalid", outcome.wrong);
	}

	void operator()(const table::edit_not_made& outcome) const
	{
		response.set_header("Retry-After", "2");
		set_error(response, http_status::unavailable, "edit-not-made", outcome.reason);
	}

	void operator()(const table::edit_unknown& outcome) const
	{
		auto body = error_body(http_status::accepted, "edit-unknown",
			"the table service did not answer: the edit may be in force or not; send it again with the same "
			"change id to find out");
		body["error"]["change_id"] = outcome.change_id;
		set_json(response, http_status::accepted, body);
	}
};

class operator_handler
{
  public:
	operator_handler(node::host& node, const node::settings& settings, const metrics::registry& metrics)
		: node_(node), settings_(settings), metrics_(metrics)
	{
	}

	/// Who calls; empty, with the answer set, where it is no operator.
	std::string authorize(const httplib::Request& request, httplib::Response& response) const
	{
		response.set_header("Gingerdyke-Outcome", node::name_of(node::outcome::not_run));
		const auto digest = bearer_digest(request);
		const auto table = node_.table();
		const auto* row = table ? table->operator_by_key(digest) : nullptr;
		if (row != nullptr)
		{
			return row->id.str();
		}
		const bool bootstrapping = !table || !table->has_operators();
		if (bootstrapping && !digest.empty() && digest == settings_.bootstrap_operator_sha256)
		{
			return "bootstrap";
		}
		if (table && table->workspace_by_key(digest) != nullptr)
		{
			set_error(response, http_status::forbidden, "not-an-operator",
				"this key is a workspace's, not an operator's");
		}
		else
		{
			set_error(response, http_status::unauthorized, "invalid-key", "no operator has this key");
		}
		return {};
	}

	void get_table(httplib::Response& response) const
	{
		set_json(response, http_status::ok, node_.ask(node::query_kind::rows));
	}

	void get_status(httplib::Response& response) const
	{
		set_json(response, http_status::ok, node_.ask(node::query_kind::status));
	}

	void get_metrics(httplib::Response& response) const
	{
		response.set_content(metrics_.prometheus_text(), "text/plain; version=0.0.4");
	}

	void explain(const httplib::Request& request, httplib::Response& response) const
	{
		const auto explanation = node_.ask(node::query_kind::explain, request.matches[1]);
		if (explanation.is_null())
		{
			set_error(response, http_status::not_found, "not-in-memory",
				"this VM does not remember the request: ask the one that answered it");
			return;
		}
		set_json(response, http_status::ok, explanation);
	}

	/// A merge patch (RFC 7396) of one row, or its removal.
	void change_row(const httplib::Request& request, httplib::Response& response, const std::string& author,
		bool removes) const
	{
		const auto expected = revision_of(request.get_header_value("If-Match"));
		if (!expected)
		{
			set_error(response, http_status::precondition_required, "no-if-match",
				"name the row's revision in If-Match (0: the row is not there yet)");
			return;
		}
		const row_id id{request.matches[1]};
		table::row_edit edit{id, *expected, std::nullopt};
		if (!removes)
		{
			const auto patch = json_source::parse("body", request.body);
			if (!patch || !patch->value().is_object())
			{
				const findings not_object{{{"body", "", 0}, "expected an object: the columns to change"}};
				set_findings(response, http_status::bad_request, "invalid-request",
					patch ? not_object : patch.error());
				return;
			}
			const auto rows = node_.ask(node::query_kind::rows).at("rows");
			auto value = rows.contains(id.str()) ? rows.at(id.str()).at("value") : json::object();
			value.merge_patch(patch->value());
			edit.value = std::move(value);
		}
		commit({0, change_id_of(request), author, {std::move(edit)}}, response);
	}

	/// Several rows at once: `{"change_id", "rows": [{"id", "expected", "value"}]}`.
	void apply(const httplib::Request& request, httplib::Response& response, const std::string& author) const
	{
		const auto body = json_source::parse("body", request.body);
		if (!body)
		{
			set_findings(response, http_status::bad_request, "invalid-request", body.error());
			return;
		}
		findings wrong;
		static const json_schema schema{
			R"({"type": "object", "additionalProperties": false, "required": ["rows"],
			"properties": {"change_id": {"type": "string", "minLength": 8, "maxLength": 128}, "rows": {"type": "array", "minItems": 1,
			"items": {"type": "object", "additionalProperties": false, "required": ["id", "expected", "value"],
			"properties": {"id": {"type": "string"}, "expected": {"type": "integer", "minimum": 0},
			"value": {"type": ["object", "null"]}}}}}})"};
		schema.check(*body, "", wrong);
		if (!wrong.empty())
		{
			set_findings(response, http_status::bad_request, "invalid-request", wrong);
			return;
		}
		const auto& value = body->value();
		table::edit_request edit;
		edit.change_id = value.value("change_id", change_id_of(request));
		edit.author = author;
		for (const auto& row : value.at("rows"))
		{
			std::optional<json> wanted;
			if (!row.at("value").is_null())
			{
				wanted = row.at("value");
			}
			edit.rows.push_back({row_id{row.at("id").get<std::string>()},
				revision{row.at("expected").get<std::int64_t>()}, std::move(wanted)});
		}
		commit(std::move(edit), response);
	}

  private:
	static std::optional<revision> revision_of(const std::string& text)
	{
		const auto digits = text.size() > 1 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
		if (digits.empty() || digits.find_first_not_of("0123456789") != std::string::npos)
		{
			return std::nullopt;
		}
		return revision{std::strtoll(digits.c_str(), nullptr, 10)};
	}

	static std::string change_id_of(const httplib::Request& request)
	{
		const auto given = request.get_header_value("Idempotency-Key");
		return given.empty() ? random_hex(change_id_bytes) : given;
	}

	void commit(table::edit_request edit, httplib::Response& response) const
	{
		const auto outcome = node_.edit(std::move(edit));
		std::visit(outcome_writer{response}, outcome);
	}

	node::host& node_;
	const node::settings& settings_;
	const metrics::registry& metrics_;
};
} // namespace

void add_operator_routes(httplib::Server& server, node::host& node, const node::settings& settings,
	const metrics::registry& metrics)
{
	const auto handler = std::make_shared<operator_handler>(node, settings, metrics);
	const auto guarded = [handler](auto call)
	{
		return [handler, call](const httplib::Request& request, httplib::Response& response)
		{
			const auto author = handler->authorize(request, response);
			if (!author.empty())
			{
				call(request, response, author);
			}
		};
	};
	using request_type = const httplib::Request&;
	using response_type = httplib::Response&;
	using author_type = const std::string&;
	server.Get("/table", guarded([handler](request_type, response_type response, author_type)
							 { handler->get_table(response); }));
	server.Get("/status", guarded([handler](request_type, response_type response, author_type)
							  { handler->get_status(response); }));
	server.Get("/metrics", guarded([handler](request_type, response_type response, author_type)
							   { handler->get_metrics(response); }));
	server.Get(R"(/explain/(.+))", guarded([handler](request_type request, response_type response,
											   author_type) { handler->explain(request, response); }));
	server.Patch(R"(/table/rows/(.+))",
		guarded([handler](request_type request, response_type response, author_type author)
			{ handler->change_row(request, response, author, false); }));
	server.Delete(R"(/table/rows/(.+))",
		guarded([handler](request_type request, response_type response, author_type author)
			{ handler->change_row(request, response, author, true); }));
	server.Post(
		"/table/apply", guarded([handler](request_type request, response_type response, author_type author)
							{ handler->apply(request, response, author); }));
}
} // namespace gingerdyke::http
