// SPDX-License-Identifier: MIT
// Connects the registry to the data path: configuration, replicas and version shifts in, plans and evidence
// out.
#pragma once

#include <gingerdyke/base/suspend_detector.hpp>
#include <gingerdyke/control/relay_server.hpp>
#include <gingerdyke/control/report_board.hpp>
#include <gingerdyke/control/shared_store.hpp>
#include <gingerdyke/control/suspect_rows.hpp>
#include <gingerdyke/control/table_follower.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <variant>

namespace gingerdyke::control
{
/// \brief How the platform lays out what the coordinator reads and writes; the adapter's part.
struct registry_layout
{
	/// Table of what operators write: the configuration and orders to shift versions.
	std::string operator_table;

	/// Table in which replicas register.
	std::string replica_table;

	/// Table of our own: the VMs, and the plans of version shifts.
	std::string own_table;

	/// Table of our own: what VMs saw of new versions. It changes often, and only the VMs that read the
	/// registry for others need it.
	std::string evidence_table;

	/// What a row of the operators' table says.
	using operator_news = std::variant<std::monostate, routing::catalog_ptr, rollout::shift_order>;

	/// Reads a row of the operators' table; findings where it can't be understood.
	std::function<checked<operator_news>(const row&)> read_operator_row;

	/// The failure domain that a row of the operators' table orders to evacuate for as long as the row is
	/// there; none: it is another row.
	std::function<std::optional<failure_domain_id>(const std::string& key)> evacuated_domain;

	/// Reads a row of the replicas' table.
	std::function<checked<routing::replica>(const row&)> read_replica_row;

	/// Fields of a row of the replicas' table that are not known.
	std::function<std::vector<std::string>(const row&)> unknown_replica_fields;

	/// The row in which operators look up how a shift stands.
	std::function<row_change::put(const rollout::shift_plan&)> status_row;
};

/// \brief Tuning of `coordinator`; waits are those of calls to the registry.
struct coordinator_tuning
{
	/// The configuration is asked for this often even without news: others read it through this VM, and have
	/// to notice in time that this VM has lost the registry. For a limit of 2 s; see `tuning_for`.
	duration operator_wait = std::chrono::milliseconds{700};

	/// The replicas' table: news comes at once, but for an answer that is lost on its way. As long as that
	/// stays unnoticed, requests go to replicas that leave; see `tuning_for`.
	duration replica_wait = std::chrono::milliseconds{2400};

	/// Our own rows: news comes at once all the same.
	duration other_wait = std::chrono::seconds{4};

	/// Evidence, which is rare: a call that waits longer costs less.
	duration evidence_wait = std::chrono::seconds{10};

	/// A VM reads the registry for this long before it follows evidence: many do so for a moment only, while
	/// another reader takes over.
	duration evidence_delay = std::chrono::milliseconds{1500};

	/// Changes of replicas are gathered this long, so that many at once cost one call.
	duration gather = std::chrono::milliseconds{150};

	/// How it reads through other VMs.
	shared_store_tuning sharing;

	/// A VM that could not register tries again after this time.
	duration register_again = std::chrono::milliseconds{700};
};

/// \brief Tuning for a deployment.
/// \param news_limit A change of the configuration is to be in force everywhere within this time, and
/// nothing is to be sent later to a replica that leaves. The shorter, the more calls to the registry.
[[nodiscard]] coordinator_tuning tuning_for(duration news_limit);

/// \brief Follows the registry for a gateway, itself or through another VM, and lets other VMs do so.
class coordinator
{
  public:
	/// \param self This VM as others reach it.
	/// \param reporter Name under which this VM reports evidence: its name and incarnation.
	coordinator(proxy::gateway& gateway, row_store& registry, registry_layout layout, peer self,
		std::string reporter, const random_source& random, coordinator_tuning tuning = {});

	/// \brief Begins to listen for other VMs and to follow the registry.
	/// \returns What stands against listening; none where all is well.
	[[nodiscard]] proxy::error_code start();
	void stop();

	/// \brief To be called after requests have brought evidence: sets the next moment to write.
	void arm();

	/// \brief To be called after a replica ended under requests.
	void on_suspicion() { suspects_.arm(); }

  private:
	void on_operator_table(const std::vector<row>& rows);
	void on_operator_rows(const std::vector<row>& rows);
	void on_operator_row(const row& one);
	void on_replica_rows(const std::vector<row>& rows);
	void on_replicas(const std::vector<row>& rows);
	/// Replicas that rows name, and the ids of rows that can't be read.
	void note_unknown_fields(const row& one);
	[[nodiscard]] std::optional<routing::replica> read_replica(const row& one) const;
	void on_own_rows(const std::vector<row>& rows);
	void on_plan_row(const row& one);
	void follow_evidence();
	void on_evidence_rows(const std::vector<row>& rows);
	void on_evidence_row(const row& one);
	void on_vm_row(const row& one);
	void note_vms();
	void register_self();
	void start_rest();
	[[nodiscard]] table_follower* follower_of(const std::string& table);
	void take_catalog(const routing::catalog_ptr& catalog);
	void expire_replicas();
	void write_due();
	void write(const rollout::shift_write& what);
	void on_written(store_result<change_answer> answer);

	// What VMs that read through each other tell one another.
	void on_vouched(const std::string& table, instant newest_at);
	[[nodiscard]] shared_store_tuning sharing_tuning() const;
	[[nodiscard]] shared_store_hooks store_hooks();
	[[nodiscard]] relay_server_hooks server_hooks();
	[[nodiscard]] std::optional<peer_report> report_with(const std::string& table) const;
	void on_report(const peer_report& report);
	[[nodiscard]] peer_summary summary_for(const std::string& reporter);
	void on_summary(const peer_summary& summary);
	void note_suspension();
	void take_limits(const std::vector<routing::limit_news>& limits);
	void take_suspects(const std::vector<quarantine::suspicion>& suspects);
	void take_suspensions(const std::vector<rollout::shift_suspension>& suspended);
	void note_work_of_others(std::vector<routing::replica_work> work);

	proxy::gateway& gateway_;
	registry_layout layout_;
	peer self_;
	std::string reporter_;
	coordinator_tuning tuning_;
	source_selector sources_;
	shared_store store_;
	relay_server relay_;
	report_board board_;
	suspect_rows suspects_;
	suspend_detector suspensions_;
	std::map<vm_id, peer> vms_;
	proxy::boot_timer register_timer_;
	proxy::boot_timer write_timer_;
	proxy::boot_timer expire_timer_;
	proxy::boot_timer evidence_timer_;
	table_follower operators_;
	table_follower replicas_;
	table_follower own_;
	table_follower evidence_;
	bool rest_started_ = false;
	bool looked_for_self_ = false;
	bool reads_registry_ = false;
	bool follows_evidence_ = false;
};

/// \brief Writes a plan as the value of its row.
[[nodiscard]] std::string write_plan(const rollout::shift_plan& plan);

/// \brief Reads a plan; findings where the value is none.
[[nodiscard]] checked<rollout::shift_plan> read_plan(const row& from);

/// \brief Writes evidence as the value of its row.
[[nodiscard]] std::string write_evidence(const rollout::shift_evidence& evidence);

/// \brief Writes a VM as the value of its row.
[[nodiscard]] std::string write_vm(const peer& vm);

/// \brief Reads a VM; findings where the value is none.
[[nodiscard]] checked<peer> read_vm(const row& from);

/// \brief Reads evidence; findings where the value is none.
[[nodiscard]] checked<rollout::shift_evidence> read_evidence(const row& from);
} // namespace gingerdyke::control
