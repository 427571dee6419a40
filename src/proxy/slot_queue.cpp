// SPDX-License-Identifier: MIT
// Requests that wait for a slot of a brittle replica.
#include <gingerdyke/proxy/slot_queue.hpp>

namespace gingerdyke::proxy
{
void slot_queue::record_free(const service_id& service)
{
	if (!waiting_.contains(service) || ++free_[service] > 1)
	{
		return;
	}
	asio::post(context_,
		[this, service, alive = std::weak_ptr<bool>{alive_}]
		{
			if (!alive.expired())
			{
				offer_slots(service);
			}
		});
}

std::size_t slot_queue::waiting_count(const service_id& service) const
{
	const auto found = waiting_.find(service);
	return found == waiting_.end() ? 0 : found->second.size();
}

void slot_queue::offer_slots(const service_id& service)
{
	// Requests that are added while slots are offered are kept behind these.
	auto waiting = std::exchange(waiting_[service], {});
	while (free_[service] > 0 && offer_slot(waiting))
	{
		--free_[service];
	}
	free_.erase(service);
	auto& added = waiting_[service];
	added.splice(added.begin(), waiting);
	if (added.empty())
	{
		waiting_.erase(service);
	}
}

/// \returns Whether a request took the slot.
bool slot_queue::offer_slot(std::list<resume_hook>& waiting)
{
	for (auto candidate = waiting.begin(); candidate != waiting.end();)
	{
		const auto outcome = (*candidate)();
		candidate = outcome == slot_outcome::waiting ? std::next(candidate) : waiting.erase(candidate);
		if (outcome == slot_outcome::sent)
		{
			return true;
		}
	}
	return false;
}
} // namespace gingerdyke::proxy
