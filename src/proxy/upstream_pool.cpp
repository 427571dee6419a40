// SPDX-License-Identifier: MIT
// Pool of connections to replicas.
#include <algorithm>
#include <gingerdyke/proxy/upstream_pool.hpp>

namespace gingerdyke::proxy
{
upstream_pool::upstream_pool(asio::io_context& context, std::string id_field,
	std::shared_ptr<limits::memory_account> memory, pool_tuning tuning)
	: context_(context), id_field_(std::move(id_field)), memory_(std::move(memory)), tuning_(tuning)
{
}

std::shared_ptr<upstream_connection> upstream_pool::acquire(
	const routing::replica_ptr& to, bool may_run_again, instant now)
{
	auto& pooled = entry_of(*to);
	++pooled.in_use;
	// The most recently used connection is the least likely to be dead.
	while (!pooled.idle_connections.empty())
	{
		const auto last = std::move(pooled.idle_connections.back());
		pooled.idle_connections.pop_back();
		if (is_usable(last, may_run_again, now))
		{
			return last.connection;
		}
		last.connection->close();
	}
	return std::make_shared<upstream_connection>(context_, to, id_field_, memory_);
}

bool upstream_pool::has_usable_connection(const routing::replica& to, bool may_run_again, instant now) const
{
	const auto found = entries_.find(to.id);
	if (found == entries_.end() || found->second.incarnation != to.incarnation)
	{
		return false;
	}
	const auto& idle = found->second.idle_connections;
	return std::any_of(idle.begin(), idle.end(),
		[&](const idle_connection& candidate) { return is_usable(candidate, may_run_again, now); });
}

/// The entry for a replica's current process. Connections to the previous process under the same id are
/// discarded.
upstream_pool::entry& upstream_pool::entry_of(const routing::replica& to)
{
	const auto found = entries_.find(to.id);
	if (found != entries_.end() && found->second.incarnation != to.incarnation)
	{
		close_idle(found->second);
		entries_.erase(found);
	}
	return entries_.try_emplace(to.id, entry{to.incarnation, {}, 0}).first->second;
}

void upstream_pool::close_idle(entry& target_entry)
{
	for (const auto& candidate : std::exchange(target_entry.idle_connections, {}))
	{
		candidate.connection->close();
	}
}

void upstream_pool::release(const std::shared_ptr<upstream_connection>& connection, instant now)
{
	const auto id = connection->target()->id;
	const auto found = entries_.find(id);
	if (found == entries_.end() || found->second.incarnation != connection->target()->incarnation)
	{
		connection->close();
		return;
	}
	--found->second.in_use;
	if (!connection->reusable())
	{
		connection->close();
		return;
	}
	connection->on_idle_close([this, id, raw = connection.get()] { remove_idle(id, raw); });
	found->second.idle_connections.push_back({connection, now});
}

unsigned upstream_pool::connection_count(const replica_id& id) const
{
	const auto found = entries_.find(id);
	return found == entries_.end()
			   ? 0
			   : found->second.in_use + static_cast<unsigned>(found->second.idle_connections.size());
}

std::size_t upstream_pool::idle_count(const replica_id& id) const
{
	const auto found = entries_.find(id);
	return found == entries_.end() ? 0 : found->second.idle_connections.size();
}

void upstream_pool::close_idle_connections(const replica_id& id)
{
	const auto found = entries_.find(id);
	if (found == entries_.end())
	{
		return;
	}
	close_idle(found->second);
	if (found->second.in_use == 0)
	{
		entries_.erase(found);
	}
}

bool upstream_pool::is_usable(const idle_connection& candidate, bool may_run_again, instant now) const
{
	const auto idle = now - candidate.since;
	if (!may_run_again && idle > tuning_.max_trusted_idle)
	{
		return false;
	}
	const auto keep_alive = candidate.connection->keep_alive_time();
	return !keep_alive || static_cast<double>(idle.count()) <
							  static_cast<double>(keep_alive->count()) * tuning_.keep_alive_factor;
}

void upstream_pool::remove_idle(const replica_id& id, const upstream_connection* connection)
{
	const auto found = entries_.find(id);
	if (found != entries_.end())
	{
		std::erase_if(found->second.idle_connections, [connection](const idle_connection& candidate)
			{ return candidate.connection.get() == connection; });
	}
}
} // namespace gingerdyke::proxy
