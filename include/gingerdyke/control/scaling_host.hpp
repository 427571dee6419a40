// SPDX-License-Identifier: MIT
// Orders replicas while this VM holds that duty.
#pragma once

#include <gingerdyke/control/duty_receiver.hpp>
#include <gingerdyke/control/lease_keeper.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/scaling/capacity_plan.hpp>
#include <gingerdyke/scaling/load_target.hpp>
#include <gingerdyke/scaling/order_book.hpp>
#include <gingerdyke/scaling/recent_maximum.hpp>

namespace gingerdyke::control
{
/// Key prefix of the rows of the numbers needed, in the table of leases.
inline constexpr std::string_view need_key_prefix = "scaling/";

/// \brief Encodes the number of replicas that a service needs as the value of its row.
[[nodiscard]] std::string write_need(double needed);

/// \brief Decodes the number of replicas needed; findings if the value is malformed.
[[nodiscard]] checked<double> read_need(const row& from);

/// \brief Tuning of `scaling_host`.
struct scaling_host_tuning
{
	/// Interval at which the load is measured and numbers are decided.
	duration interval = std::chrono::seconds{1};

	/// Pause between two reductions of a service. Each takes warm replicas away, and its effect on the load
	/// shows only after requests in progress have ended.
	duration reduction_pause = std::chrono::seconds{4};

	/// Time for which the replicas must not have changed before the first decision: after a start of all,
	/// they register one after the other.
	duration settling_time = std::chrono::milliseconds{1500};

	/// Time for which fewer replicas on demand must suffice before some are given back.
	duration on_demand_memory = std::chrono::seconds{4};

	/// Relative change of a number needed that is stored for the next holder.
	double min_stored_change = 0.05;

	/// Largest reduction at a time, relative to the number needed before.
	double max_reduction = 0.15;
};

/// \brief Measures load and orders replicas.
class scaling_host
{
  public:
	/// \param table Table of leases.
	scaling_host(proxy::gateway& gateway, row_store& registry, duty_receiver& receiver, lease_keeper& lease,
		vm_id vm, std::string table, scaling_host_tuning tuning = {});

	/// \brief To be called when this VM has taken the lease.
	void on_lease_taken();

	/// \brief To be called when this VM may act as holder of the duty.
	void act();

	void stop();

  private:
	struct service_state
	{
		scaling::load_target load;

		/// Replicas that have to be left after the loss of a failure domain; none before the first decision.
		std::optional<double> needed;
		instant reduced_at;

		/// The number that is stored for the next holder; 0: none.
		double stored_need{};

		/// Replicas that run, and since when.
		unsigned running{};
		instant unchanged_since;

		/// Replicas on demand that were lately needed in each failure domain.
		std::map<failure_domain_id, scaling::recent_maximum> on_demand;
	};

	void tick();
	void schedule();
	void read_needs();
	void on_needs(const std::vector<row>& rows);
	void store_needs();
	void decide(const routing::service& service, instant now);
	[[nodiscard]] bool is_settled(
		service_state& state, const std::vector<scaling::domain_capacity>& domains, instant now) const;
	void order_all(const routing::service& service, service_state& state,
		const std::vector<scaling::domain_capacity>& domains, instant now);
	void update_need(service_state& state, std::size_t domains, bool is_shifting, instant now) const;
	[[nodiscard]] std::vector<scaling::domain_capacity> capacity_of(
		const routing::service& service, instant now) const;
	[[nodiscard]] bool takes_requests(const routing::replica& replica, instant now) const;
	[[nodiscard]] scaling::service_load load_of(const routing::service& service, instant now);
	void order(const scaling::replica_order& order, unsigned running, duration boot_time, instant now);
	void on_ordered(const scaling::replica_order& order, duty_outcome outcome);

	proxy::gateway& gateway_;
	row_store& registry_;
	duty_receiver& receiver_;
	lease_keeper& lease_;
	vm_id vm_;
	std::string table_;
	scaling_host_tuning tuning_;
	scaling::order_book orders_;
	std::map<service_id, service_state> services_;
	proxy::boot_timer timer_;
	bool is_scheduled_ = false;

	/// Whether what the predecessor stored was read since this VM took the lease.
	bool knows_needs_ = false;
	bool is_reading_needs_ = false;
};
} // namespace gingerdyke::control
