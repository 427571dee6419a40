// SPDX-License-Identifier: MIT
// Pool of connections to replicas.
#pragma once

#include <gingerdyke/proxy/upstream_connection.hpp>
#include <map>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Tuning of `upstream_pool`.
struct pool_tuning
{
	/// Fraction of a replica's stated keep-alive time after which an idle connection is no longer reused:
	/// replicas state whole seconds, and a request may be in flight when the time expires.
	double keep_alive_factor = 0.6;

	/// A connection that was idle for longer carries only repeatable requests: the replica may have dropped
	/// it silently.
	duration max_trusted_idle = std::chrono::seconds{1};
};

/// \brief Pools connections by replica.
class upstream_pool
{
  public:
	/// \param id_field Name of the header in which responses repeat the request id.
	/// \param memory Account of what the connections keep of responses.
	upstream_pool(asio::io_context& context, std::string id_field,
		std::shared_ptr<limits::memory_account> memory, pool_tuning tuning = {});

	/// \brief Returns an idle connection to a replica, or else a new one.
	/// \param may_run_again Whether the request may be sent again if the connection turns out to be dead.
	[[nodiscard]] std::shared_ptr<upstream_connection> acquire(
		const routing::replica_ptr& to, bool may_run_again, instant now);

	/// \brief Whether `acquire` would return an idle connection.
	[[nodiscard]] bool has_usable_connection(
		const routing::replica& to, bool may_run_again, instant now) const;

	/// \brief Returns a connection whose request has ended. It is kept if it can be reused.
	void release(const std::shared_ptr<upstream_connection>& connection, instant now);

	/// \brief Number of connections to a replica, idle and in use.
	[[nodiscard]] unsigned connection_count(const replica_id& id) const;

	/// \brief Number of idle connections to a replica.
	[[nodiscard]] std::size_t idle_count(const replica_id& id) const;

	/// \brief Closes the idle connections to a replica that is gone or has restarted; those in use are closed
	/// when they are released.
	void close_idle_connections(const replica_id& id);

  private:
	struct idle_connection
	{
		std::shared_ptr<upstream_connection> connection;
		instant since;
	};

	struct entry
	{
		/// The replica process that the connections lead to.
		routing::replica_incarnation incarnation;
		std::vector<idle_connection> idle_connections;
		unsigned in_use{};
	};

	[[nodiscard]] entry& entry_of(const routing::replica& to);
	static void close_idle(entry& target_entry);
	[[nodiscard]] bool is_usable(const idle_connection& candidate, bool may_run_again, instant now) const;
	void remove_idle(const replica_id& id, const upstream_connection* connection);

	asio::io_context& context_;
	std::string id_field_;
	std::shared_ptr<limits::memory_account> memory_;
	pool_tuning tuning_;
	std::map<replica_id, entry> entries_;
};
} // namespace gingerdyke::proxy
