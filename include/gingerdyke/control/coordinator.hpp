// SPDX-License-Identifier: MIT
// Connects the registry to the data path: configuration, replicas and version shifts in, plans and evidence out.
#pragma once

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

	/// Table of our own: plans and evidence of version shifts.
	std::string shift_table;

	/// What a row of the operators' table says.
	using operator_news = std::variant<std::monostate, routing::catalog_ptr, rollout::shift_order>;

	/// Reads a row of the operators' table; findings where it can't be understood.
	std::function<checked<operator_news>(const row&)> read_operator_row;

	/// Reads a row of the replicas' table.
	std::function<checked<routing::replica>(const row&)> read_replica_row;

	/// The row in which operators look up how a shift stands.
	std::function<row_change::put(const rollout::shift_plan&)> status_row;
};

/// \brief Follows the registry for a gateway.
class coordinator
{
  public:
	/// \param reporter Name under which this VM reports evidence: its name and incarnation.
	coordinator(proxy::gateway& gateway, row_store& store, registry_layout layout, std::string reporter,
		random_source random, follower_tuning tuning = {});

	void start();
	void stop();

	/// \brief To be called after requests have brought evidence: sets the next moment to write.
	void arm();

  private:
	void on_operator_rows(const std::vector<row>& rows);
	void on_replica_rows(const std::vector<row>& rows);
	void on_replicas(const std::vector<row>& rows);
	void on_shift_rows(const std::vector<row>& rows);
	void take_catalog(const routing::catalog_ptr& catalog);
	void expire_replicas();
	void write_due();
	void write(const rollout::shift_write& what);
	void on_written(store_result<change_answer> answer);

	proxy::gateway& gateway_;
	row_store& store_;
	registry_layout layout_;
	std::string reporter_;
	proxy::asio::steady_timer write_timer_;
	proxy::asio::steady_timer expire_timer_;
	table_follower operators_;
	table_follower replicas_;
	table_follower shifts_;
};

/// \brief Writes a plan as the value of its row.
[[nodiscard]] std::string write_plan(const rollout::shift_plan& plan);

/// \brief Reads a plan; findings where the value is none.
[[nodiscard]] checked<rollout::shift_plan> read_plan(const row& from);

/// \brief Writes evidence as the value of its row.
[[nodiscard]] std::string write_evidence(const rollout::shift_evidence& evidence);

/// \brief Reads evidence; findings where the value is none.
[[nodiscard]] checked<rollout::shift_evidence> read_evidence(const row& from);
} // namespace gingerdyke::control
