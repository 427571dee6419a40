// SPDX-License-Identifier: MIT
// Tells other VMs directly of requests that crash replicas, where the registry does not pass them on: while
// it stores nothing, and when a VM has just started.
#pragma once

#include <gingerdyke/control/relay_client.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace gingerdyke::control
{
/// Name that the polls of an exchange ask for. No registry has such a table, so older builds answer with
/// their summary only.
inline constexpr const char* suspect_exchange_table = "suspect-exchange";

/// \brief Callbacks of `suspect_exchange`.
struct suspect_exchange_hooks
{
	/// Returns this VM's report; all that it knows if the other VM's process has not been told yet.
	std::function<peer_report(bool is_first_contact)> make_report;

	/// Called with what another VM knows.
	std::function<void(const peer_summary&)> summary_received;

	/// Whether this VM has evidence that is new to others.
	std::function<bool()> has_untold;

	/// Whether the registry does not take evidence at present.
	std::function<bool()> is_registry_failing;

	/// Returns the number of VMs of this failure domain that are preferred over this one.
	std::function<std::size_t()> rank;
};

/// \brief Tuning of `suspect_exchange`.
struct suspect_exchange_tuning
{
	/// Time between two exchanges. A write to the registry takes less.
	duration interval = std::chrono::milliseconds{500};

	/// Number of VMs of a failure domain that tell those of the others.
	std::size_t tellers = 2;

	/// VMs of each failure domain that are told, and that a VM asks when it starts.
	std::size_t told_per_domain = 1;
	std::size_t asked_of_own_domain = 2;

	/// Failure domains that are told or asked at a time.
	std::size_t max_domains = 8;

	/// Time limit of a response.
	duration response_timeout = std::chrono::milliseconds{500};
};

/// \brief Exchanges suspects with VMs that this VM does not read the registry through.
class suspect_exchange
{
  public:
	suspect_exchange(proxy::asio::io_context& context, peer self, suspect_exchange_hooks hooks,
		suspect_exchange_tuning tuning = {});

	/// \brief Sets the known VMs, in order of preference within their failure domain. The first time some of
	/// them are asked what they know.
	void set_peers(std::vector<peer> peers);

	/// \brief Schedules an exchange; to be called when evidence has changed.
	void schedule();

	void stop();

  private:
	void on_timer();
	void greet();
	void tell();
	void call(const peer& other);
	[[nodiscard]] std::vector<peer> first_of(const failure_domain_id& domain, std::size_t count) const;
	[[nodiscard]] std::vector<failure_domain_id> other_domains() const;
	[[nodiscard]] std::shared_ptr<relay_client> client_of(const peer& other);
	void drop_unneeded_client(const peer& other);

	proxy::asio::io_context& context_;
	peer self_;
	suspect_exchange_hooks hooks_;
	suspect_exchange_tuning tuning_;
	proxy::boot_timer timer_;
	std::vector<peer> peers_;
	std::map<vm_id, std::shared_ptr<relay_client>> clients_;

	/// VMs that did not respond lately; others of their failure domain are asked in their place.
	std::set<vm_id> unreachable_;
	bool is_scheduled_ = false;
	bool has_greeted_ = false;
};
} // namespace gingerdyke::control
