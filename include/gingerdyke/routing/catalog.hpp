// SPDX-License-Identifier: MIT
// The configuration in force: routes, services, workspaces and limits, as the data path looks them up.
#pragma once

#include <cstddef>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gingerdyke::routing
{
using route_id = string_id<struct route_tag>;

/// \brief Number of the configuration; a higher one replaces a lower one.
using config_version = quantity<struct config_version_tag>;

/// \brief One service of a route's split.
struct weighted_service
{
	service_id service;
	unsigned weight{};
};

/// \brief What the operator says of one route.
struct route
{
	route_id id;
	std::string host;

	/// Begins and ends with a slash.
	std::string path_prefix;

	/// A request may run more than once.
	bool repeatable{};

	/// The answer is a stream of server-sent events.
	bool streams{};

	/// A broken stream may go on at another replica after its last event.
	bool resumable{};

	/// Needs no key.
	bool is_public{};

	/// Replicas keep parts of the prompt, so that requests sharing them belong together.
	bool keeps_prefixes{};

	/// Services that take the traffic, by weight; never empty.
	std::vector<weighted_service> services;

	/// A request is answered within this time, with whatever final answer there is then.
	duration time_limit{};

	/// An answer that begins within this time is in time.
	duration objective{};

	/// Longest pause between two events of an answer in time; none: no bound.
	std::optional<duration> longest_pause;

	/// Replicas that one request may be sent to.
	unsigned attempts{1};

	/// Rank, 0 first; a workspace's own rank goes before it.
	unsigned priority{};

	/// Models that may answer, smallest first; empty: the caller names the model.
	std::vector<model_id> models;

	/// \brief Whether a request may be sent again after it may have run.
	[[nodiscard]] bool may_run_again() const noexcept { return streams ? resumable : repeatable; }
};

/// \brief A model of a service's engines with its price.
struct priced_model
{
	model_id model;

	/// Price per 1,000 generated tokens; a token read costs a quarter.
	double cost{};
};

/// \brief What a replica of a service bears while it is cold.
struct cold_limit
{
	/// Requests a second, of all VMs together.
	double requests_per_s{};

	/// For how long it is cold after its start.
	duration start_time{};

	auto operator<=>(const cold_limit&) const = default;
};

/// \brief What the operator says of one service.
struct service
{
	service_id id;

	/// Connections that one replica accepts from all VMs together; 0: no bound stated.
	unsigned connections_per_replica{};

	/// Its replicas are engines that batch requests and keep parts of prompts.
	bool is_engine{};

	/// Empty where the service is no engine.
	std::vector<priced_model> models;

	/// What a replica bears while it is cold; none: no limit is stated.
	std::optional<cold_limit> cold;

	/// \brief The share of the dearest model's price that a model costs: about the share of its time too. 1
	/// where the model or its price is not known.
	[[nodiscard]] double relative_cost(const model_id& model) const;
};

/// \brief A workspace with the keys that belong to it.
struct workspace
{
	workspace_id id;

	/// Goes before the route's rank where there is one.
	std::optional<unsigned> priority;
};

/// \brief Bounds on what a caller may send, and how long it may take.
struct caller_limits
{
	std::size_t header_bytes{16384};
	std::size_t body_bytes{4U << 20U};
	duration header_time{std::chrono::seconds{3}};
	duration idle_time{std::chrono::seconds{15}};
};

/// \brief Everything one configuration says, before it is indexed.
struct catalog_data
{
	config_version version;
	std::vector<route> routes;
	std::vector<service> services;
	std::vector<workspace> workspaces;

	/// Key to the index of its workspace.
	std::unordered_map<std::string, std::size_t> keys;

	/// Whether requests need a key at all.
	bool needs_keys{};

	caller_limits limits;
};

/// \brief An immutable, indexed configuration; requests keep the one that they started with.
class catalog
{
  public:
	explicit catalog(catalog_data data);

	[[nodiscard]] config_version version() const noexcept { return data_.version; }

	/// \brief The route for a request: the longest prefix that begins the path, among those of the host.
	/// \param host Value of the `Host` header; a port is ignored.
	/// \param path Path of the target, without the query.
	/// \returns The route, or null where there is none.
	[[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

	/// \brief The workspace that a key belongs to, or null.
	[[nodiscard]] const workspace* find_workspace(const std::string& key) const;

	/// \brief A service by its name, or null.
	[[nodiscard]] const service* find_service(const service_id& id) const;

	[[nodiscard]] const std::vector<service>& services() const noexcept { return data_.services; }

	[[nodiscard]] const caller_limits& limits() const noexcept { return data_.limits; }

	[[nodiscard]] bool needs_keys() const noexcept { return data_.needs_keys; }

	[[nodiscard]] std::size_t route_count() const noexcept { return data_.routes.size(); }

  private:
	catalog_data data_;

	/// Routes of each host, longest prefix first.
	std::unordered_map<std::string, std::vector<const route*>> by_host_;
	std::unordered_map<std::string, const service*> by_service_;
};

using catalog_ptr = std::shared_ptr<const catalog>;

/// \brief The service that a request of a route goes to.
/// \param point Hash of what must stay together, such as the session; the same point gives the same service.
[[nodiscard]] const service_id& pick_service(const route& route, std::uint64_t point);
} // namespace gingerdyke::routing
