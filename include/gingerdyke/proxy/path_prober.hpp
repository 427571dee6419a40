// SPDX-License-Identifier: MIT
// Probes lost paths to replicas with connections that carry no request.
#pragma once

#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/routing/path_monitor.hpp>
#include <memory>
#include <set>

namespace gingerdyke::proxy
{
/// \brief Opens the connections that a `path_monitor` asks for and records how they end.
class path_prober
{
  public:
	/// \param connect_timeout Time after which a connection that does not come up counts as unanswered.
	path_prober(asio::io_context& context, routing::path_monitor& paths, duration connect_timeout);

	/// \brief Sets the timer of the next probe; to be called when a path was lost.
	void schedule();

  private:
	struct probe;

	void probe_due();
	void begin(const routing::replica_ptr& to);

	asio::io_context& context_;
	routing::path_monitor& paths_;
	duration connect_timeout_;
	boot_timer timer_;

	/// Lets the handler of a probe detect that this object was destroyed.
	std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
} // namespace gingerdyke::proxy
