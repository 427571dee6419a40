// SPDX-License-Identifier: MIT
// Connects the registry to the data path: applies configuration, replicas and version shifts, and writes
// the plans of version shifts and the evidence on new versions.
#pragma once

#include <gingerdyke/base/suspend_detector.hpp>
#include <gingerdyke/control/coordinator_hooks.hpp>
#include <gingerdyke/control/load_board.hpp>
#include <gingerdyke/control/pace_board.hpp>
#include <gingerdyke/control/relay_server.hpp>
#include <gingerdyke/control/report_board.hpp>
#include <gingerdyke/control/shared_store.hpp>
#include <gingerdyke/control/silence_reports.hpp>
#include <gingerdyke/control/suspect_exchange.hpp>
#include <gingerdyke/control/suspect_rows.hpp>
#include <gingerdyke/control/table_follower.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <variant>

namespace gingerdyke::control
{
/// \brief Layout of the registry tables that the coordinator reads and writes, defined by the platform
/// adapter.
struct registry_layout
{
	/// Table written by operators: the configuration and orders to shift versions.
	std::string operator_table;

	/// Table in which replicas register.
	std::string replica_table;

	/// The router's own table: VMs, plans of version shifts and suspected requests.
	std::string own_table;

	/// The router's table of evidence on new versions, by VM. It changes often, and only VMs that read the
	/// registry for others need it.
	std::string evidence_table;

	/// Content of a row of the operators' table.
	using operator_statement = std::variant<std::monostate, routing::catalog_ptr, rollout::shift_order>;

	/// Decodes a row of the operators' table; findings if the row is malformed.
	std::function<checked<operator_statement>(const row&)> read_operator_row;

	/// Returns the failure domain whose evacuation a row of the operators' table orders for as long as the
	/// row exists; none if the key belongs to another kind of row.
	std::function<std::optional<failure_domain_id>(const std::string& key)> evacuated_domain;

	/// Decodes a row of the replicas' table.
	std::function<checked<routing::replica>(const row&)> read_replica_row;

	/// Returns the unknown fields of a row of the replicas' table.
	std::function<std::vector<std::string>(const row&)> unknown_replica_fields;

	/// Returns the row that shows operators the state of a shift.
	std::function<row_change::put(const rollout::shift_plan&)> status_row;
};

/// \brief Tuning of `coordinator`. Waits are those of long polls.
struct coordinator_tuning
{
	/// Wait of polls for the operators' table. It bounds how long this VM, which other VMs may read through,
	/// takes to notice that it has lost the registry. The default is for a limit of 2 s; see `tuning_for`.
	duration operator_poll_wait = std::chrono::milliseconds{700};

	/// Wait of polls for the replicas' table. Changes arrive at once unless a response is lost; until the
	/// loss is noticed, requests are still sent to draining replicas. See `tuning_for`.
	duration replica_poll_wait = std::chrono::milliseconds{2400};

	/// Wait of polls for the router's own table; changes arrive at once all the same.
	duration own_poll_wait = std::chrono::seconds{4};

	/// Wait of polls for the evidence table; evidence is rare, and a longer wait means fewer calls.
	duration evidence_poll_wait = std::chrono::seconds{10};

	/// Time for which a VM has to read the registry before it follows the evidence table; many VMs read the
	/// registry only briefly, until another reader takes over.
	duration evidence_delay = std::chrono::milliseconds{1500};

	/// Delay that collects changes of replicas, so that many at once cost one call.
	duration batch_delay = std::chrono::milliseconds{150};

	/// Tuning of reads through other VMs.
	shared_store_tuning sharing;

	/// Delay before a failed registration is retried.
	duration register_retry_delay = std::chrono::milliseconds{700};
};

/// \brief Returns the tuning for a deployment.
/// \param propagation_limit Time within which a change of the configuration has to be in force on all VMs,
/// and after which no request is sent to a draining replica. A shorter limit means more calls to the
/// registry.
[[nodiscard]] coordinator_tuning tuning_for(duration propagation_limit);

/// \brief Follows the registry for a gateway, directly or through another VM, and serves it to other VMs.
class coordinator
{
  public:
	/// \param self This VM, as other VMs reach it.
	/// \param reporter Name under which this VM reports evidence: its name and incarnation.
	coordinator(proxy::gateway& gateway, row_store& registry, registry_layout layout, peer self,
		std::string reporter, const random_source& random, coordinator_tuning tuning = {},
		coordinator_hooks hooks = {});

	/// \brief Starts to listen for other VMs and to follow the registry.
	/// \returns The error that prevents listening; none on success.
	[[nodiscard]] proxy::error_code start();
	void stop();

	/// \brief Schedules the next write; to be called after requests have added evidence.
	void schedule_write();

	/// \brief To be called after a replica exited while it was running requests.
	void on_suspicion();

  private:
	void on_operator_table(const std::vector<row>& rows);
	void on_operator_rows(const std::vector<row>& rows);
	void on_operator_row(const row& table_row);
	void on_replica_rows(const std::vector<row>& rows);
	void apply_replica_row(const row& table_row, routing::replica_set& replicas);
	void on_replicas(const std::vector<row>& rows);
	void record_unknown_fields(const row& table_row);
	[[nodiscard]] std::optional<routing::replica> read_replica(const row& table_row) const;
	void on_own_rows(const std::vector<row>& rows);
	void on_plan_row(const row& table_row);
	void follow_evidence();
	void on_evidence_rows(const std::vector<row>& rows);
	void on_evidence_row(const row& table_row);
	void on_vm_row(const row& table_row);
	void on_own_table_restored();
	void publish_vms();
	void register_self();
	void start_remaining_followers();
	[[nodiscard]] table_follower* follower_of(const std::string& table);
	[[nodiscard]] const table_cache* find_copy(const std::string& table);
	void apply_catalog(const routing::catalog_ptr& catalog);
	void expire_replicas();
	void write_due_changes();
	void write(const rollout::shift_write& shift);
	void on_written(store_result<change_result> result);

	// Exchange with other VMs.
	void on_copy_confirmed(const std::string& table, instant newest_at);
	[[nodiscard]] shared_store_tuning sharing_tuning() const;
	[[nodiscard]] shared_store_hooks store_hooks();
	[[nodiscard]] relay_server_hooks server_hooks();
	[[nodiscard]] suspect_exchange_hooks exchange_hooks();
	[[nodiscard]] std::optional<peer_report> make_report(
		const std::string& table, bool is_first_contact) const;
	void on_peer_report(const peer_report& report);
	[[nodiscard]] peer_summary summary_for(const std::string& reporter);
	[[nodiscard]] std::vector<quarantine::suspicion> suspects_for(const std::string& reporter);
	[[nodiscard]] bool meet(const std::string& reporter);
	void on_peer_summary(const peer_summary& summary);
	void check_machine_suspension();
	void apply_limits(const std::vector<routing::limit_update>& limits);
	[[nodiscard]] std::vector<routing::replica_silence> own_silences(instant now) const;
	void update_paces(instant now);
	[[nodiscard]] path_report own_paths() const;
	[[nodiscard]] std::vector<routing::unreachable_service> reported_paths(instant now) const;
	void apply_path_summary(const path_summary& summary);
	void apply_suspects(const std::vector<quarantine::suspicion>& suspects);
	void apply_suspensions(const std::vector<rollout::shift_suspension>& suspended);
	void update_remote_work(std::vector<routing::replica_work> work);

	proxy::gateway& gateway_;
	registry_layout layout_;
	peer self_;
	std::string reporter_;
	coordinator_tuning tuning_;
	coordinator_hooks hooks_;
	source_selector source_selector_;
	shared_store shared_store_;
	relay_server relay_server_;
	report_board reports_;
	load_board service_loads_;
	silence_reports silences_;
	pace_board paces_;
	instant paces_updated_at_;
	path_board path_reports_;

	/// Digest of what this VM knows of services that others can't reach.
	path_digest known_paths_{};
	suspect_rows suspect_rows_;
	suspect_exchange suspect_exchange_;

	/// When the processes that report to this VM, or exchange suspects with it, did so last.
	std::map<std::string, instant> met_reporters_;
	suspend_detector suspend_detector_;
	std::map<vm_id, peer> vms_;
	proxy::boot_timer register_timer_;
	proxy::boot_timer write_timer_;
	proxy::boot_timer expire_timer_;
	proxy::boot_timer evidence_timer_;
	table_follower operator_follower_;
	table_follower replica_follower_;
	table_follower own_follower_;
	table_follower evidence_follower_;
	bool remaining_followers_started_ = false;
	bool registration_checked_ = false;
	bool reads_registry_ = false;
	bool follows_evidence_ = false;
};

/// \brief Encodes a plan as the value of its row.
[[nodiscard]] std::string write_plan(const rollout::shift_plan& plan);

/// \brief Decodes a plan; findings if the value is malformed.
[[nodiscard]] checked<rollout::shift_plan> read_plan(const row& from);

/// \brief Encodes evidence as the value of its row.
[[nodiscard]] std::string write_evidence(const rollout::shift_evidence& evidence);

/// \brief Encodes a VM as the value of its row.
[[nodiscard]] std::string write_vm(const peer& vm);

/// \brief Decodes a VM; findings if the value is malformed.
[[nodiscard]] checked<peer> read_vm(const row& from);

/// \brief Decodes evidence; findings if the value is malformed.
[[nodiscard]] checked<rollout::shift_evidence> read_evidence(const row& from);
} // namespace gingerdyke::control
