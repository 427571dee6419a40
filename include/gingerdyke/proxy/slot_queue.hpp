// SPDX-License-Identifier: MIT
// Requests that wait for a slot of a brittle replica.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <list>
#include <map>
#include <memory>

namespace gingerdyke::proxy
{
/// \brief What became of a waiting request when a slot was free.
enum class slot_outcome
{
	/// It was sent to a replica.
	sent,
	/// It can't use the slot and keeps its place.
	waiting,
	/// It no longer waits and has not used the slot.
	ended,
};

/// \brief Gives free slots to the requests that have waited longest.
class slot_queue
{
  public:
	/// \brief Tries to send a waiting request.
	using resume_hook = std::function<slot_outcome()>;

	explicit slot_queue(asio::io_context& context) : context_(context) {}

	/// \brief Adds a request behind those that wait for the same service.
	void add(const service_id& service, resume_hook resume)
	{
		waiting_[service].push_back(std::move(resume));
	}

	/// \brief Records that a slot of a service's replica is free. The waiting requests are resumed from the
	/// event loop, since the request that held the slot is still being handled.
	void record_free(const service_id& service);

	/// \brief Whether a slot is about to be offered to waiting requests. A request that arrives now must not
	/// take it.
	[[nodiscard]] bool is_slot_reserved(const service_id& service) const { return free_.contains(service); }

	/// \brief Number of requests that wait for a service; includes those that ended since the last slot.
	[[nodiscard]] std::size_t waiting_count(const service_id& service) const;

  private:
	void offer_slots(const service_id& service);
	[[nodiscard]] bool offer_slot(std::list<resume_hook>& waiting);

	asio::io_context& context_;
	std::map<service_id, std::list<resume_hook>> waiting_;

	/// Slots that have not been offered yet.
	std::map<service_id, unsigned> free_;

	/// Lets a posted handler detect that this object was destroyed.
	std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
} // namespace gingerdyke::proxy
