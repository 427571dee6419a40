// SPDX-License-Identifier: MIT
// The active configuration: routes, services, workspaces and limits, indexed for lookup by the data path.
#pragma once

#include <cstddef>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/routing/priority_order.hpp>
#include <gingerdyke/routing/region_map.hpp>
#include <gingerdyke/scaling/scaling_limits.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gingerdyke::routing
{
using route_id = string_id<struct route_tag>;

/// \brief Version number of the configuration; a higher one replaces a lower one.
using config_version = quantity<struct config_version_tag>;

/// \brief One service of a route's weighted traffic split.
struct weighted_service
{
	service_id service;
	unsigned weight{};
};

/// \brief Configuration of one route.
struct route
{
	route_id id;
	std::string host;

	/// Begins and ends with a slash.
	std::string path_prefix;

	/// Requests are idempotent: the same request may be executed more than once.
	bool repeatable{};

	/// The response is a stream of server-sent events.
	bool streams{};

	/// A broken stream may be resumed at another replica after its last event.
	bool resumable{};

	/// Requests need no API key.
	bool is_public{};

	/// Replicas cache prompt prefixes, so requests with a common prefix should go to the same replica.
	bool caches_prefixes{};

	/// Services that the traffic is split over, by weight; never empty.
	std::vector<weighted_service> services;

	/// Every request gets a final response within this time, if only an error.
	duration time_limit{};

	/// Latency objective: a response that begins within this time meets it.
	duration latency_objective{};

	/// Longest interval between two events of a stream that meets the objective; none: unbounded.
	std::optional<duration> max_event_interval;

	/// Maximum number of replicas that one request may be sent to.
	unsigned attempts{1};

	/// Priority, 0 is the highest; a workspace's own priority takes precedence.
	unsigned priority{};

	/// Regions in which its requests may be served.
	allowed_regions regions{};

	/// Models that may answer, smallest first; empty: the client names the model.
	std::vector<model_id> models;

	/// \brief Whether a request may be sent again after it may have been executed.
	[[nodiscard]] bool is_retryable() const noexcept { return streams ? resumable : repeatable; }
};

/// \brief A model that a service's engines run, with its price.
struct priced_model
{
	model_id model;

	/// Price per 1,000 generated tokens; a prompt token costs a quarter of a generated one.
	double cost{};
};

/// \brief Load limit of a service's replicas while they are cold, that is, warming up after their start.
struct cold_limit
{
	/// Requests per second from all VMs together.
	double requests_per_s{};

	/// How long a replica is cold after its start.
	duration warmup_time{};

	auto operator<=>(const cold_limit&) const = default;
};

/// \brief Configuration of one service.
struct service
{
	service_id id;

	/// Connections that one replica accepts from all VMs together; 0: no limit configured.
	unsigned connections_per_replica{};

	/// Its replicas are model engines, which batch requests and cache prompt prefixes.
	bool is_engine{};

	/// Empty if the service is not an engine.
	std::vector<priced_model> models;

	/// Load limit of a cold replica; none: no limit configured.
	std::optional<cold_limit> cold;

	/// Limits on the number of its replicas; none: the number is not up to the router.
	std::optional<scaling::scaling_limits> scaling{};

	/// \brief Price of a model relative to the most expensive one of the service, which is about its
	/// relative compute time too. Returns 1 if the model or its price is not known.
	[[nodiscard]] double relative_cost(const model_id& model) const;
};

/// \brief A workspace, to which API keys belong.
struct workspace
{
	workspace_id id;

	/// Takes precedence over the route's priority if set.
	std::optional<unsigned> priority;

	/// Regions in which its requests may be served, in addition to the limit of their route.
	allowed_regions regions{};
};

/// \brief Limits on the size of a client's request and on the time that a client may take.
struct caller_limits
{
	std::size_t header_bytes{16384};
	std::size_t body_bytes{4U << 20U};
	duration header_timeout{std::chrono::seconds{3}};
	duration idle_timeout{std::chrono::seconds{15}};
};

/// \brief Content of one configuration, before it is indexed.
struct catalog_data
{
	config_version version;
	std::vector<route> routes;
	std::vector<service> services;
	std::vector<workspace> workspaces;

	/// Maps an API key to the index of its workspace.
	std::unordered_map<std::string, std::size_t> keys;

	/// Whether requests need an API key at all.
	bool needs_keys{};

	caller_limits limits;
};

/// \brief An immutable, indexed configuration; each request uses the one that was active when it started.
class catalog
{
  public:
	explicit catalog(catalog_data data);

	[[nodiscard]] config_version version() const noexcept { return data_.version; }

	/// \brief Finds the route for a request: among those of the host, the one with the longest prefix of
	/// the path.
	/// \param host Value of the `Host` header; a port is ignored.
	/// \param path Path of the request target, without the query.
	/// \returns The route, or null if there is none.
	[[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

	/// \brief Finds the workspace that an API key belongs to, or null.
	[[nodiscard]] const workspace* find_workspace(const std::string& key) const;

	/// \brief Finds a service by its id, or null.
	[[nodiscard]] const service* find_service(const service_id& id) const;

	[[nodiscard]] const std::vector<route>& routes() const noexcept { return data_.routes; }

	[[nodiscard]] const std::vector<service>& services() const noexcept { return data_.services; }

	/// \brief Order of requests by the priorities of this configuration.
	[[nodiscard]] const priority_order& priorities() const noexcept { return priorities_; }

	/// \brief Returns the number of priorities of a service's routes that are more urgent than a route's.
	[[nodiscard]] unsigned more_urgent_priorities(const route& than, const service_id& of_service) const;

	[[nodiscard]] const caller_limits& limits() const noexcept { return data_.limits; }

	[[nodiscard]] bool needs_keys() const noexcept { return data_.needs_keys; }

	[[nodiscard]] std::size_t route_count() const noexcept { return data_.routes.size(); }

  private:
	catalog_data data_;
	priority_order priorities_;

	/// Priorities of each service's routes.
	std::map<service_id, std::set<unsigned>> route_priorities_;

	/// Routes of each host, longest prefix first.
	std::unordered_map<std::string, std::vector<const route*>> by_host_;
	std::unordered_map<std::string, const service*> by_service_;
};

using catalog_ptr = std::shared_ptr<const catalog>;

/// \brief Picks the service that a request of a route goes to, in proportion to the weights.
/// \param hash Hash of the key whose requests must go to the same service, such as the session id;
/// equal hashes pick the same service.
[[nodiscard]] const service_id& pick_service(const route& route, std::uint64_t hash);
} // namespace gingerdyke::routing
