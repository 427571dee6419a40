// SPDX-License-Identifier: MIT
// Stand-ins of the platform: table service, list of VMs, rating service.
#include "faults.hpp"
#include "memory_store.hpp"
#include "roles.hpp"
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/platform/clients.hpp>

namespace gingerdyke::standin
{
namespace
{

struct table_service
{
	std::mutex mutex;
	memory_store store;
	faults fault;
	std::uint64_t transactions{};

	void run(const httplib::Request& request, httplib::Response& response)
	{
		const auto mode = fault.next();
		if (mode == "down" || mode == "limit")
		{
			response.status = mode == "down" ? http_status::unavailable : http_status::too_many_requests;
			return;
		}
		const auto transaction = store::transaction_from(json::parse(request.body, nullptr, false));
		if (!transaction)
		{
			response.status = http_status::bad_request;
			return;
		}
		store::answer answer;
		{
			const std::lock_guard lock{mutex};
			++transactions;
			answer = store.run(*transaction);
		}
		if (mode == "lost-answer")
		{
			// The effect stands; what comes back tells nothing.
			response.status = http_status::server_error;
			return;
		}
		response.set_content(store::to_json(answer).dump(), "application/json");
	}

	void dump(const httplib::Request& request, httplib::Response& response)
	{
		const std::lock_guard lock{mutex};
		const json rows = store.rows(request.get_param_value("table"));
		response.set_content(rows.dump(), "application/json");
	}
};

struct vm_list
{
	std::mutex mutex;
	membership::member_list list;
	faults fault;

	void fetch(httplib::Response& response)
	{
		if (fault.next() == "down")
		{
			response.status = http_status::unavailable;
			return;
		}
		const std::lock_guard lock{mutex};
		response.set_content(platform::to_json(list).dump(), "application/json");
	}

	/// Takes a whole new list; the revision is counted here.
	void put(const httplib::Request& request, httplib::Response& response)
	{
		auto value = json::parse(request.body, nullptr, false);
		if (value.is_object())
		{
			value["revision"] = 0;
		}
		auto read = platform::members_from(value);
		if (!read)
		{
			response.status = http_status::bad_request;
			return;
		}
		const std::lock_guard lock{mutex};
		read->list_revision = list.list_revision + 1;
		list = std::move(*read);
	}

	/// Changes the state of one VM: `{"vm", "state"}`.
	void patch(const httplib::Request& request, httplib::Response& response)
	{
		const auto value = json::parse(request.body, nullptr, false);
		const auto state = value.is_object() ? value.value("state", "") : "";
		const std::lock_guard lock{mutex};
		for (auto& one : list.members)
		{
			if (one.vm.str() == value.value("vm", ""))
			{
				one.state = state == "live"      ? membership::member_state::live
							: state == "leaving" ? membership::member_state::draining
												 : membership::member_state::gone;
				++list.list_revision;
				return;
			}
		}
		response.status = http_status::bad_request;
	}
};
} // namespace

void add_table_service(httplib::Server& server, const cli::parsed_options& /*options*/)
{
	const auto state = std::make_shared<table_service>();
	state->fault.attach(server);
	server.Post(
		"/v1/transactions", [state](const auto& request, auto& response) { state->run(request, response); });
	server.Get("/dump", [state](const auto& request, auto& response) { state->dump(request, response); });
	server.Get("/counts",
		[state](const auto& /*request*/, auto& response)
		{
			const std::lock_guard lock{state->mutex};
			response.set_content(json{{"transactions", state->transactions}}.dump(), "application/json");
		});
}

void add_vm_list(httplib::Server& server, const cli::parsed_options& /*options*/)
{
	const auto state = std::make_shared<vm_list>();
	state->fault.attach(server);
	server.Get("/v1/vms", [state](const auto& /*request*/, auto& response) { state->fetch(response); });
	server.Put("/v1/vms", [state](const auto& request, auto& response) { state->put(request, response); });
	server.Patch(
		"/v1/vms", [state](const auto& request, auto& response) { state->patch(request, response); });
}

void add_rating_service(httplib::Server& server, const cli::parsed_options& options)
{
	struct rating_state
	{
		faults fault;
		double good_share{};
	};
	const auto state = std::make_shared<rating_state>();
	state->good_share = std::strtod(options.value("good-share", "0.9").c_str(), nullptr);
	state->fault.attach(server);
	server.Post("/v1/ratings",
		[state](const httplib::Request& request, httplib::Response& response)
		{
			const auto mode = state->fault.next();
			if (mode == "down" || mode == "limit")
			{
				response.status = mode == "down" ? http_status::unavailable : http_status::too_many_requests;
				return;
			}
			constexpr double scale = 1.0 / 18446744073709551616.0;
			const auto draw = static_cast<double>(stable_hash(request.body)) * scale;
			response.set_content(json{{"good", draw < state->good_share}}.dump(), "application/json");
		});
}
} // namespace gingerdyke::standin
