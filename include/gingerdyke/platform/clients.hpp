// SPDX-License-Identifier: MIT
// Clients of the platform's services, over HTTP. Blocking; each is used by one thread at a time.
#pragma once

#include <gingerdyke/membership/member.hpp>
#include <gingerdyke/node/settings.hpp>
#include <gingerdyke/platform/store_types.hpp>
#include <memory>
#include <optional>

namespace httplib
{
class Client;
struct Response;
} // namespace httplib

namespace gingerdyke::platform
{
/// \brief Calls the transactional table service.
class store_client
{
  public:
	explicit store_client(const node::endpoint& at);
	~store_client();

	store_client(const store_client&) = delete;
	store_client& operator=(const store_client&) = delete;
	store_client(store_client&&) = delete;
	store_client& operator=(store_client&&) = delete;

	/// \brief Runs a transaction; tells apart what surely had no effect from what may have had one.
	[[nodiscard]] store::answer run(const store::transaction& transaction);

  private:
	std::unique_ptr<httplib::Client> client_;
};

/// \brief Reads the platform's list of VMs.
class member_client
{
  public:
	explicit member_client(const node::endpoint& at);
	~member_client();

	member_client(const member_client&) = delete;
	member_client& operator=(const member_client&) = delete;
	member_client(member_client&&) = delete;
	member_client& operator=(member_client&&) = delete;

	/// \brief Reads the list; nothing where it can't be had.
	[[nodiscard]] std::optional<membership::member_list> fetch();

  private:
	std::unique_ptr<httplib::Client> client_;
};

/// \brief Whether a response of the platform is valid. If it isn't, its fault is logged and the connection,
/// on which the rest of it may follow, closed. \param call Path of the call, for the log.
[[nodiscard]] bool accept_response(
	httplib::Client& client, const httplib::Response& response, const char* call);

/// \brief A list of VMs on the wire.
[[nodiscard]] json to_json(const membership::member_list& list);

/// \brief Reads a list of VMs; nothing where it is not one.
[[nodiscard]] std::optional<membership::member_list> members_from(const json& value);
} // namespace gingerdyke::platform
