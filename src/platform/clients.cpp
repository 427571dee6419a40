// SPDX-License-Identifier: MIT
// Clients of the platform's services, over HTTP.
#include <algorithm>
#include <array>
#include <gingerdyke/base/http_status.hpp>
#include <gingerdyke/http/response_check.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/platform/clients.hpp>

namespace gingerdyke::platform
{
namespace
{
constexpr time_t connect_seconds = 1;
constexpr time_t answer_seconds = 3;
constexpr std::array state_names{"live", "leaving", "gone"};

std::unique_ptr<httplib::Client> make_client(const node::endpoint& at)
{
	auto client = std::make_unique<httplib::Client>(at.host, at.port);
	client->set_tcp_nodelay(true);
	client->set_keep_alive(true);
	client->set_connection_timeout(connect_seconds);
	client->set_read_timeout(answer_seconds);
	client->set_write_timeout(answer_seconds);
	return client;
}
} // namespace

bool accept_response(httplib::Client& client, const httplib::Response& response, const char* call)
{
	const auto* fault = http::find_response_fault(response);
	if (fault != nullptr)
	{
		log::write(log::level::warn, "invalid response of a platform service",
			{{"call", call}, {"status", response.status}, {"fault", fault}});
		client.stop();
	}
	return fault == nullptr;
}

store_client::store_client(const node::endpoint& at) : client_(make_client(at)) {}

store_client::~store_client() = default;

store::answer store_client::run(const store::transaction& transaction)
{
	constexpr const char* call = "/v1/transactions";
	const auto result = client_->Post(call, store::to_json(transaction).dump(), "application/json");
	if (!result)
	{
		const bool unsent = result.error() == httplib::Error::Connection ||
							result.error() == httplib::Error::ConnectionTimeout;
		return {unsent ? store::verdict::refused : store::verdict::no_answer, 0, {}};
	}
	if (!accept_response(*client_, *result, call))
	{
		return {};
	}
	if (result->status == http_status::too_many_requests || result->status == http_status::unavailable)
	{
		return {store::verdict::refused, 0, {}};
	}
	if (result->status != http_status::ok)
	{
		return {};
	}
	return store::answer_from(json::parse(result->body, nullptr, false));
}

member_client::member_client(const node::endpoint& at) : client_(make_client(at)) {}

member_client::~member_client() = default;

std::optional<membership::member_list> member_client::fetch()
{
	constexpr const char* call = "/v1/vms";
	const auto result = client_->Get(call);
	if (!result || !accept_response(*client_, *result, call) || result->status != http_status::ok)
	{
		return std::nullopt;
	}
	return members_from(json::parse(result->body, nullptr, false));
}

json to_json(const membership::member_list& list)
{
	auto vms = json::array();
	for (const auto& one : list.members)
	{
		vms.push_back({{"vm", one.vm.str()}, {"failure_domain", one.failure_domain.str()},
			{"kind", one.kind == membership::member_kind::entry ? "entry" : "upstream"},
			{"state", state_names.at(static_cast<std::size_t>(one.state))}, {"address", one.address}});
	}
	return {{"revision", list.list_revision}, {"vms", vms}};
}

std::optional<membership::member_list> members_from(const json& value)
{
	try
	{
		membership::member_list list;
		list.list_revision = value.at("revision").get<std::int64_t>();
		for (const auto& one : value.at("vms"))
		{
			const auto state = one.at("state").get<std::string>();
			const auto known = std::find(state_names.begin(), state_names.end(), state);
			if (known == state_names.end())
			{
				return std::nullopt;
			}
			const auto kind = one.at("kind") == "entry" ? membership::member_kind::entry
														: membership::member_kind::upstream;
			list.members.push_back({vm_id{one.at("vm").get<std::string>()},
				failure_domain_id{one.at("failure_domain").get<std::string>()}, kind,
				static_cast<membership::member_state>(known - state_names.begin()),
				one.value("address", "")});
		}
		return list;
	}
	catch (const json::exception&)
	{
		return std::nullopt;
	}
}
} // namespace gingerdyke::platform
