// SPDX-License-Identifier: MIT
// Connections to replicas: kept for reuse, within this VM's share of what each replica accepts.
#pragma once

#include <gingerdyke/proxy/upstream_link.hpp>
#include <map>
#include <vector>

namespace gingerdyke::proxy
{
/// \brief Tuning of `upstream_pool`.
struct pool_tuning
{
	/// Part of the time for which a replica says it keeps an idle connection that is used here: whole seconds
	/// are stated, and a request may be on the way when the time is over.
	double keep_alive_factor = 0.6;

	/// An idle connection older than this carries only requests that may run again: a replica may have
	/// dropped it silently.
	duration max_trusted_idle = std::chrono::seconds{1};
};

/// \brief Keeps connections by replica.
class upstream_pool
{
  public:
	/// \param id_field Name of the header in which answers repeat the request's id.
	upstream_pool(asio::io_context& context, std::string id_field, pool_tuning tuning = {});

	/// \brief A connection to a replica: an idle one, else a new one.
	/// \param may_run_again The request may be sent again where the connection turns out to be dead.
	[[nodiscard]] std::shared_ptr<upstream_connection> acquire(
		const routing::replica_ptr& to, bool may_run_again, instant now);

	/// \brief Takes back a connection whose request is over; keeps it where it may be used again.
	void release(const std::shared_ptr<upstream_connection>& connection, instant now);

	/// \brief Connections to a replica, idle and in use.
	[[nodiscard]] unsigned connection_count(const replica_id& id) const;

	/// \brief Idle connections to a replica.
	[[nodiscard]] std::size_t idle_count(const replica_id& id) const;

	/// \brief Closes idle connections to a replica that is gone or started again; those in use are closed
	/// when they are given back.
	void close_idle_connections(const replica_id& id);

  private:
	struct idle_connection
	{
		std::shared_ptr<upstream_connection> connection;
		instant since;
	};

	struct entry
	{
		/// The process that the connections lead to.
		routing::replica_incarnation incarnation;
		std::vector<idle_connection> idle_connections;
		unsigned in_use{};
	};

	[[nodiscard]] entry& entry_of(const routing::replica& to);
	static void close_idle(entry& of);
	[[nodiscard]] bool is_usable(const idle_connection& one, bool may_run_again, instant now) const;
	void remove_idle(const replica_id& id, const upstream_connection* connection);

	asio::io_context& context_;
	std::string id_field_;
	pool_tuning tuning_;
	std::map<replica_id, entry> entries_;
};
} // namespace gingerdyke::proxy
