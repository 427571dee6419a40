// SPDX-License-Identifier: MIT
// The failure domains that operators evacuate; their replicas get no requests.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <set>

namespace gingerdyke::routing
{
/// \brief Keeps the set of evacuated failure domains.
class evacuated_domains
{
  public:
	/// \brief Called when the evacuation of a failure domain begins or is withdrawn.
	using change_hook = std::function<void(const failure_domain_id&, bool is_evacuated)>;

	explicit evacuated_domains(change_hook changed) : changed_(std::move(changed)) {}

	/// \brief Begins the evacuation of a failure domain.
	void add(const failure_domain_id& domain);

	/// \brief Ends the evacuation of a failure domain.
	void remove(const failure_domain_id& domain);

	/// \brief Ends all evacuations but the given ones, because the operators have withdrawn them.
	void retain(const std::set<failure_domain_id>& active);

	/// \brief Whether a failure domain is evacuated.
	[[nodiscard]] bool contains(const failure_domain_id& domain) const { return domains_.contains(domain); }

	[[nodiscard]] std::size_t size() const noexcept { return domains_.size(); }

  private:
	change_hook changed_;
	std::set<failure_domain_id> domains_;
};
} // namespace gingerdyke::routing
