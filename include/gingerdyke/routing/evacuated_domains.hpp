// SPDX-License-Identifier: MIT
// The failure domains whose replicas get nothing, because operators evacuate them.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <set>

namespace gingerdyke::routing
{
/// \brief Keeps which failure domains are evacuated.
class evacuated_domains
{
  public:
	/// \brief Told of a failure domain whose evacuation began, or was withdrawn.
	using change_hook = std::function<void(const failure_domain_id&, bool is_evacuated)>;

	explicit evacuated_domains(change_hook changed) : changed_(std::move(changed)) {}

	/// \brief Takes an order to evacuate a failure domain.
	void add(const failure_domain_id& domain);

	/// \brief Takes the news that an order was withdrawn.
	void remove(const failure_domain_id& domain);

	/// \brief Drops all orders but those that stand: the others were withdrawn.
	void retain(const std::set<failure_domain_id>& standing);

	/// \brief Whether a failure domain's replicas are to get nothing.
	[[nodiscard]] bool contains(const failure_domain_id& domain) const { return domains_.contains(domain); }

	[[nodiscard]] std::size_t size() const noexcept { return domains_.size(); }

  private:
	change_hook changed_;
	std::set<failure_domain_id> domains_;
};
} // namespace gingerdyke::routing
