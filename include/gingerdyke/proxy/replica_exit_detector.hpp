// SPDX-License-Identifier: MIT
// Detects that a replica's process has exited, and which requests ran on it.
#pragma once

#include <functional>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/quarantine/replica_runs.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace gingerdyke::proxy
{
/// \brief The exit of a replica's process, and the keys of the requests that ran on it.
struct replica_exit
{
	routing::replica_ptr replica;
	quarantine::process_instance process;
	std::vector<quarantine::content_key> contents;
};

/// \brief What is known of a replica's process after a request to it ended without a whole response.
enum class process_state
{
	/// It accepts connections.
	running,
	exited,
	/// Its host does not answer.
	unknown,
};

/// \brief Tuning of `replica_exit_detector`.
struct replica_exit_tuning
{
	/// Exits within this window have a common cause if there are at least `min_correlated` of them: a request
	/// that crashes replicas is sent to one after the other. When a rack lost power, the loss of all its
	/// replicas was noticed within 15 ms on a quiet network.
	duration correlation_window = std::chrono::milliseconds{200};
	std::size_t min_correlated = 3;

	/// Timeout of the probe connection. If it expires, the process is not known to have exited, as a network
	/// partition looks the same. The host of a process that has exited refuses the connection within one
	/// round trip.
	duration connect_timeout = std::chrono::milliseconds{400};
};

/// \brief Watches the replicas on which this VM's requests run. An aborted response alone is no proof of an
/// exit, as replicas abort some and keep running. Therefore a probe connection is opened: if it is refused,
/// the process has exited.
class replica_exit_detector
{
  public:
	/// \brief Callbacks for an exit: `presumed` is called first, and `resolved` as soon as it is known
	/// whether the process has exited.
	struct hooks
	{
		std::function<void(const replica_exit&)> presumed;

		/// \param correlated Processes that exited or are presumed to have exited at the same time; empty
		/// if this exit was a single one.
		std::function<void(const replica_exit&, bool has_exited,
			const std::vector<quarantine::process_instance>& correlated)>
			resolved;
	};

	replica_exit_detector(asio::io_context& context, hooks callbacks, replica_exit_tuning tuning = {});

	/// \brief Records that a replica's response was cut off or did not start.
	void record_broken_response(const routing::replica_ptr& target, instant now);

	/// \brief Records that a replica refused a connection.
	void record_refused_connection(const routing::replica_ptr& target, instant now);

	/// \brief Calls a hook once it is known whether a replica's process runs: at once if its exit is known,
	/// otherwise after the probe in progress or a new one.
	void when_state_known(const routing::replica_ptr& target, std::function<void(process_state)> hook);

	/// \brief Calls a hook once, after the next presumed exit is resolved.
	void when_resolved(std::function<void()> hook) { resolved_hooks_.push_back(std::move(hook)); }

	/// \brief The runs of requests on replicas.
	[[nodiscard]] quarantine::replica_runs& runs() noexcept { return runs_; }
	[[nodiscard]] const quarantine::replica_runs& runs() const noexcept { return runs_; }

  private:
	struct probe;

	[[nodiscard]] std::optional<replica_exit> presume(const routing::replica_ptr& target, instant now);
	void begin_probe(const routing::replica_ptr& target, quarantine::process_instance process);
	void end_probe(quarantine::process_instance process, process_state found);
	void resolve(const replica_exit& exited, bool has_exited);
	[[nodiscard]] std::vector<quarantine::process_instance> correlated_processes(instant now);

	asio::io_context& context_;
	hooks hooks_;
	replica_exit_tuning tuning_;
	quarantine::replica_runs runs_;

	struct recent_exit
	{
		quarantine::process_instance process;
		instant at;
	};

	/// Recent exits, including presumed ones.
	std::vector<recent_exit> recent_exits_;
	std::vector<std::function<void()>> resolved_hooks_;

	/// Processes that are presumed to have exited.
	std::set<quarantine::process_instance> presumed_processes_;

	/// Processes for which a probe is in progress, with what to call at its end.
	std::map<quarantine::process_instance, std::vector<std::function<void(process_state)>>> probes_;

	/// Lets the handler of a probe detect that this object was destroyed.
	std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};
} // namespace gingerdyke::proxy
