// SPDX-License-Identifier: MIT
// Handling of a request: which replica it may be sent to, and which one is chosen.
#include <algorithm>
#include <gingerdyke/proxy/exchange.hpp>

namespace gingerdyke::proxy
{
routing::replica_ptr exchange::choose_replica() const
{
	const auto now = steady_now();
	if (shared_.suspects().is_near_quarantine(content_keys_, now))
	{
		// If a replica's process exited while it ran this request and another one that is near quarantine,
		// both would be quarantined, even if one of them merely ran beside the cause twice.
		const auto unshared = choose_replica_among([&](const routing::replica& candidate)
			{ return !shared_.runs_another_suspect(candidate, content_keys_, now); });
		if (unshared)
		{
			return unshared;
		}
	}
	return choose_replica_among([](const routing::replica&) { return true; });
}

routing::replica_ptr exchange::choose_replica_among(const replica_filter& allowed) const
{
	const auto now = steady_now();
	auto& versions = shared_.versions();
	std::string version = versions.version_for(service_id_, session_hash_, now);
	routing::selection criteria;
	criteria.service = service_id_;
	criteria.affinity = route_->caches_prefixes ? prompt_.prefix_hash : 0;
	criteria.model_weight = model_weight();
	criteria.shared_work = prompt_.prefix_tokens * criteria.model_weight;
	criteria.own_work = prompt_.input_tokens * criteria.model_weight;
	criteria.is_engine = targets_engine();
	criteria.usable = [&](const routing::replica& candidate)
	{
		const bool was_tried =
			std::find(tried_replicas_.begin(), tried_replicas_.end(), candidate.id) != tried_replicas_.end();
		return !was_tried && (version.empty() || candidate.version == version) &&
			   shared_.is_region_allowed(candidate.domain, *route_, workspace_) &&
			   versions.is_in_use(candidate, now) && has_path(candidate) && has_free_connection(candidate) &&
			   shared_.may_send(candidate, now) && allowed(candidate);
	};
	criteria.is_silent = [&](const routing::replica& candidate)
	{ return shared_.silences().is_avoided(candidate, now); };
	if (targets_engine())
	{
		criteria.is_full = [&](const routing::replica& candidate) { return is_full(candidate); };
	}
	criteria.pace = [&](const routing::replica& candidate) { return shared_.paces().factor(candidate, now); };
	auto chosen = shared_.selector().choose(criteria, now);
	if (!chosen)
	{
		version = versions.fallback_for(service_id_, session_hash_, now);
		chosen = version.empty() ? nullptr : shared_.selector().choose(criteria, now);
	}
	return chosen;
}

/// Whether a further connection may be tried after those that failed.
bool exchange::may_connect() const
{
	const auto& tuning = shared_.tuning();
	const auto unanswered_connections = failed_connections_ - refused_connections_;
	const auto has_alternative = [this] { return origin_ || choose_peer(); };
	return failed_connections_ < tuning.max_failed_connections &&
		   (unanswered_connections < tuning.max_unanswered_connections_before_forwarding ||
			   !has_alternative());
}

bool exchange::has_path(const routing::replica& candidate) const
{
	const auto& paths = shared_.paths();
	return paths.accepts_connections(candidate) ||
		   (paths.carries_requests(candidate) &&
			   shared_.pool().has_usable_connection(candidate, route_->is_retryable(), steady_now()));
}

bool exchange::has_free_connection(const routing::replica& candidate) const
{
	const auto limit = service_ == nullptr ? 0 : service_->connections_per_replica;
	if (limit == 0 || shared_.pool().idle_count(candidate.id) > 0)
	{
		return true;
	}
	// Replicas reset connections beyond their limit, which counts the connections of all VMs.
	const auto share = limit / shared_.vm_count();
	return shared_.pool().connection_count(candidate.id) < std::max(shared_.tuning().min_connections, share);
}

bool exchange::targets_engine() const
{
	return service_ != nullptr && service_->is_engine;
}

/// A smaller model does the same work in less engine time.
double exchange::model_weight() const
{
	if (service_ == nullptr)
	{
		return 1;
	}
	if (!route_->models.empty())
	{
		return service_->relative_cost(route_->models[model_step_.index]);
	}
	const auto* requested_model = request_.find(shared_.names().model);
	return requested_model == nullptr ? 1 : service_->relative_cost(model_id{*requested_model});
}

bool exchange::is_full(const routing::replica& engine) const
{
	return targets_engine() && shared_.full_replicas().is_full(engine, request_priority(), steady_now());
}

/// Whether the engines that may still be tried are all believed to have no room.
bool exchange::are_engines_full() const
{
	const auto to = targets_engine() ? choose_replica() : nullptr;
	return to && is_full(*to);
}

routing::cascade_room exchange::cascade_room() const
{
	return {shared_.rooms().slots_in_use(service_id_, steady_now()), request_priority(),
		catalog_->more_urgent_priorities(*route_, service_id_)};
}

double exchange::work_before_first_token(const routing::replica& engine) const
{
	const auto own = prompt_.expected_prefill_tokens() * model_weight();
	return shared_.selector().work_at(engine, steady_now()) + own;
}

/// Expected time to the first token if the request were sent to the replica now.
duration exchange::time_to_first_token(const routing::replica& engine) const
{
	const auto now = steady_now();
	const auto by_service =
		shared_.first_token_times(service_id_).expected(work_before_first_token(engine), now);
	return scaled(by_service, shared_.paces().factor(engine, now));
}
} // namespace gingerdyke::proxy
