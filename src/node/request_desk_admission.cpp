// SPDX-License-Identifier: MIT
// Admission: who asks, for what, in which session and class, and whether there is room under its limit.
#include <algorithm>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/node/request_desk.hpp>
#include <gingerdyke/session/handle.hpp>

namespace gingerdyke::node
{
namespace
{

bool matches(const table::unrepeatable_rule& rule, const arrival& request)
{
	return rule.method == request.method && request.path.starts_with(rule.path_prefix);
}
} // namespace

std::optional<request_desk::refusal> request_desk::admit(record& record, instant now)
{
	record.table = parts_.spread.current();
	if (!record.table)
	{
		return refusal{http_status::unavailable, "no-table", "this VM has not read the table yet",
			limits_.default_retry_after};
	}
	record.workspace = record.table->workspace_by_key(record.in.key_digest);
	if (record.workspace == nullptr)
	{
		return refusal{
			http_status::unauthorized, "invalid-key", "no workspace has this API key", std::nullopt};
	}
	const auto wanted =
		record.in.wanted_class.empty() ? record.workspace->default_class : record.in.wanted_class;
	const auto* row = record.table->class_of(wanted);
	if (row == nullptr)
	{
		return refusal{
			http_status::bad_request, "unknown-class", "no class is named " + wanted.str(), std::nullopt};
	}
	record.request_class = wanted;
	record.rank = row->rank;
	record.arrived = now;
	record.not_before = now;
	record.queue_until = now + row->queue_limit;
	if (auto wrong = check_session(record))
	{
		return wrong;
	}
	if (auto wrong = record.in.kind == request_kind::service ? check_service(record) : check_target(record))
	{
		return wrong;
	}
	return check_rate(record, now);
}

std::optional<request_desk::refusal> request_desk::check_session(record& record)
{
	if (record.in.session.empty())
	{
		return std::nullopt;
	}
	const auto handle = session::verify(record.in.session, record.table->settings().session_key);
	if (!handle)
	{
		return refusal{http_status::bad_request, "invalid-session", "the session handle was not minted here",
			std::nullopt};
	}
	if (handle->workspace != record.workspace->id)
	{
		return refusal{
			http_status::forbidden, "foreign-session", "the session is another workspace's", std::nullopt};
	}
	const auto* version = record.table->version(handle->version);
	if (version == nullptr || version->state == table::version_state::withdrawn)
	{
		return refusal{http_status::gone, "session-ended",
			"the session's version " + handle->version.str() + " was withdrawn: open a new session",
			std::nullopt};
	}
	record.session_version = handle->version;
	return std::nullopt;
}

std::optional<request_desk::refusal> request_desk::check_target(record& record)
{
	record.repeatable = !record.in.declared_unrepeatable && record.in.key.empty();
	const auto target = version_ref::parse(record.in.target);
	record.cascade = record.table->cascade(cascade_id{record.in.target});
	const auto versions = record.table->versions_of(target.model);
	if (record.cascade == nullptr && versions.empty())
	{
		return refusal{http_status::not_found, "model_not_found",
			"no model or cascade is named " + record.in.target, std::nullopt};
	}
	if (!target.version.empty() && record.table->version(target) == nullptr)
	{
		return refusal{http_status::not_found, "model_not_found", "no version is named " + record.in.target,
			std::nullopt};
	}
	if (record.session_version)
	{
		const auto& held = *record.session_version;
		const bool in_cascade =
			record.cascade != nullptr && std::find(record.cascade->steps.begin(), record.cascade->steps.end(),
											 held.model) != record.cascade->steps.end();
		const bool same_model = held.model == target.model && (target.version.empty() || target == held);
		if (!in_cascade && !same_model)
		{
			return refusal{http_status::bad_request, "session-mismatch",
				"the session holds " + held.str() + ", not " + record.in.target, std::nullopt};
		}
	}
	const auto allowed = [&](const model_id& model)
	{
		const auto list = record.table->versions_of(model);
		return std::any_of(list.begin(), list.end(),
			[&](const auto* one) { return record.table->allows(*record.workspace, one->ref); });
	};
	const bool any_allowed = record.cascade != nullptr ? std::any_of(record.cascade->steps.begin(),
															 record.cascade->steps.end(), allowed)
							 : target.version.empty()  ? allowed(target.model)
													   : record.table->allows(*record.workspace, target);
	if (!any_allowed)
	{
		return refusal{http_status::forbidden, "model-not-allowed",
			"the workspace may not use " + record.in.target, std::nullopt};
	}
	return std::nullopt;
}

std::optional<request_desk::refusal> request_desk::check_service(record& record)
{
	const service_id id{record.in.target};
	record.service = record.table->service(id);
	if (record.service == nullptr)
	{
		return refusal{
			http_status::not_found, "service_not_found", "no service is named " + id.str(), std::nullopt};
	}
	const auto& allowed = record.workspace->services;
	if (std::find(allowed.begin(), allowed.end(), id) == allowed.end())
	{
		return refusal{http_status::forbidden, "service-not-allowed",
			"the workspace may not call " + id.str(), std::nullopt};
	}
	const auto& rules = record.service->not_repeatable;
	const bool ruled =
		std::any_of(rules.begin(), rules.end(), [&](const auto& rule) { return matches(rule, record.in); });
	record.repeatable = !ruled && !record.in.declared_unrepeatable && record.in.key.empty();
	return std::nullopt;
}

std::optional<request_desk::refusal> request_desk::check_rate(record& record, instant now)
{
	const auto wait = parts_.limiter.admit(*record.table, *record.workspace, now);
	if (!wait)
	{
		return std::nullopt;
	}
	return refusal{
		http_status::too_many_requests, "workspace-limit", "the workspace is at its request limit", wait};
}

desk_step request_desk::on_arrival(arrival request, instant now)
{
	desk_step step;
	const auto ref = request.ref;
	auto& record = *records_.emplace(ref, std::make_unique<request_desk::record>()).first->second;
	refs_[request.id] = ref;
	record.trace.id = request.id;
	record.bill.request = request.id;
	record.in = std::move(request);
	const auto why = admit(record, now);
	record.bill.workspace = record.workspace == nullptr ? workspace_id{} : record.workspace->id;
	const bool limited = why && why->status == http_status::too_many_requests && why->retry_after;
	if (limited && now + *why->retry_after <= record.queue_until)
	{
		record.rate_pending = true;
		enqueue(record, now + *why->retry_after);
		return step;
	}
	if (why)
	{
		refuse(record, *why, now, step);
		return step;
	}
	proceed(record, now, step);
	return step;
}
} // namespace gingerdyke::node
