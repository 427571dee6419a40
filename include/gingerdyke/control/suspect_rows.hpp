// SPDX-License-Identifier: MIT
// Stores in the registry the requests during which replicas exited, one row each, read by all VMs. The
// requests are thereby known to VMs of other failure domains, also after a restart of all VMs.
#pragma once

#include <gingerdyke/base/finding.hpp>
#include <gingerdyke/control/row_store.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <gingerdyke/quarantine/suspect_list.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gingerdyke::control
{
/// Key prefix of the rows of suspected requests.
inline constexpr std::string_view suspect_key_prefix = "suspect/";

/// \brief A suspicion as stored in its row.
struct stored_suspicion
{
	quarantine::suspicion evidence;

	/// When a replica last exited during the request.
	registry_time last_exit_at{};
};

/// \brief Encodes a suspicion as the value of its row.
/// \param clock_offset How far the registry's clock is ahead of this VM's.
[[nodiscard]] std::string write_suspicion(const stored_suspicion& stored, duration clock_offset = {});

/// \brief Decodes a suspicion; findings if the value is malformed.
/// \param clock_offset How far the registry's clock is ahead of this VM's.
[[nodiscard]] checked<stored_suspicion> read_suspicion(const row& from, duration clock_offset = {});

/// \brief Tuning of `suspect_rows`.
struct suspect_rows_tuning
{
	/// Delay that collects changes, so that one exit causes one write for all requests that were in
	/// progress on the replica. Suspicions have to reach all VMs within the required 3 s; a report and a
	/// change feed take 0.2 s each.
	duration batch_delay = std::chrono::milliseconds{200};

	/// Delay before a failed write is retried.
	duration retry_delay = std::chrono::milliseconds{700};

	/// Age at which rows are removed, since the list ignores them from then on.
	duration lifetime = quarantine::suspect_tuning{}.lifetime;

	/// Evidence that the registry has not taken for this long has to be told in another way.
	duration overdue_after = std::chrono::seconds{1};

	/// Maximum number of rows written or removed in one transaction. The registry rejects transactions of
	/// more than 100 entries as a whole, and each row takes two: its condition and its change.
	std::size_t max_rows_per_change = 50;
};

/// \brief Synchronizes the list of suspects with its registry rows.
class suspect_rows
{
  public:
	suspect_rows(proxy::asio::io_context& context, row_store& registry, quarantine::suspect_list& suspects,
		std::string table, suspect_rows_tuning tuning = {});

	/// \brief Applies a row that changed or was removed.
	void on_row(const row& table_row, instant now);

	/// \brief Records that the registry returned from an older copy: nothing is known of the rows that it
	/// has.
	void on_table_restored();

	/// \brief Records the registry's clock and applies the rows that arrived before it was known.
	void record_registry_time(registry_time at, instant now);

	/// \brief Records whether this VM reads the registry for others.
	void record_reads_registry(bool reads_registry) { reads_registry_ = reads_registry; }

	/// \brief Schedules a write; to be called when the list has changes to store.
	void schedule_store();

	/// \brief Whether the registry has not taken a write of evidence for some time.
	[[nodiscard]] bool is_overdue(instant now) const
	{
		return waiting_since_ && now - *waiting_since_ > tuning_.overdue_after;
	}

	void stop();

  private:
	void write_after(duration pause);
	void write();
	[[nodiscard]] row_change make_change(
		const std::vector<quarantine::suspicion>& to_store, instant now) const;
	[[nodiscard]] row_change::condition unchanged_condition(const std::string& key) const;
	void on_written(const std::vector<quarantine::suspicion>& written, const row_change& change,
		const store_result<change_result>& result);
	void on_conflict(const row_change& attempted, const std::vector<row>& current_rows, instant now);
	void remove_expired(instant now);
	void apply_row(const row& table_row, instant now);

	row_store& registry_;
	quarantine::suspect_list& suspects_;
	std::string table_;
	suspect_rows_tuning tuning_;
	proxy::boot_timer timer_;

	/// Offset of the registry's clock from this VM's; none if not known yet.
	std::optional<duration> registry_clock_offset_;

	/// Rows that arrived before the registry's clock was known.
	std::vector<row> rows_before_clock_;

	struct known_row
	{
		row_version version{};

		/// When a replica last exited during the request; none if the row is malformed.
		std::optional<instant> last_exit_at;
	};

	/// The rows as last seen by this VM. Each write is conditional on the row being unchanged; otherwise
	/// exits stored by another VM a moment ago would be overwritten, and after a restart of all VMs fewer of
	/// them would be known.
	std::map<std::string, known_row> rows_;
	/// Since when evidence has been waiting to be written; none: the registry has responded since.
	std::optional<instant> waiting_since_;
	bool reads_registry_ = false;
	bool is_write_scheduled_ = false;
	bool is_writing_ = false;
};
} // namespace gingerdyke::control
