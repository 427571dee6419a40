// SPDX-License-Identifier: MIT
// Requests under which replicas ended, in the registry: one row for each, read by all VMs. So they are known
// to VMs of other failure domains, and after all VMs were lost.
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
/// Beginning of the keys of these rows.
inline constexpr std::string_view suspect_prefix = "suspect/";

/// \brief A suspicion as its row tells it.
struct stored_suspicion
{
	quarantine::suspicion known;

	/// When a replica last ended under the request.
	registry_time last_end{};
};

/// \brief Writes a suspicion as the value of its row.
[[nodiscard]] std::string write_suspicion(const stored_suspicion& what);

/// \brief Reads a suspicion; findings where the value is none.
[[nodiscard]] checked<stored_suspicion> read_suspicion(const row& from);

/// \brief Tuning of `suspect_rows`.
struct suspect_rows_tuning
{
	/// News is gathered for this long: one end brings one write for all requests that stood beside it.
	/// Knowledge must be everywhere within the users' 3 s; a report takes 0.2 s and a feed as long.
	duration batch_delay = std::chrono::milliseconds{200};

	/// A write that failed is made again after this time.
	duration again = std::chrono::milliseconds{700};

	/// Rows are removed once nothing is forgotten any more by them.
	duration lifetime = quarantine::suspect_tuning{}.lifetime;

	/// Rows written, or removed, in one change: it has 100 entries at most, and each row takes two of them,
	/// its condition and itself. A larger change is refused as a whole, and nothing would be stored.
	std::size_t most_rows = 50;
};

/// \brief Keeps the rows and the list of suspects in step.
class suspect_rows
{
  public:
	suspect_rows(proxy::asio::io_context& context, row_store& registry, quarantine::suspect_list& suspects,
		std::string table, suspect_rows_tuning tuning = {});

	/// \brief Takes a row that changed or went.
	void on_row(const row& one, instant now);

	/// \brief Notes the registry's clock. Rows that came before it was known are taken now.
	void note_registry_time(registry_time at, instant now);

	/// \brief Notes whether this VM reads the registry for others.
	void note_reads_registry(bool reads_registry) { reads_registry_ = reads_registry; }

	/// \brief To be called when the list has news: sets the moment to write them.
	void arm();
	void stop();

  private:
	void arm_after(duration pause);
	void write();
	[[nodiscard]] row_change change_for(const std::vector<quarantine::suspicion>& news, instant now) const;
	[[nodiscard]] row_change::condition unchanged(const std::string& key) const;
	void on_written(const std::vector<quarantine::suspicion>& written, const row_change& change,
		const store_result<change_result>& answer);
	void on_changed_meanwhile(const row_change& tried, const std::vector<row>& present, instant now);
	void remove_old(instant now);
	void take(const row& one, instant now);

	row_store& registry_;
	quarantine::suspect_list& suspects_;
	std::string table_;
	suspect_rows_tuning tuning_;
	proxy::boot_timer timer_;

	/// The registry's clock less this VM's; none: not known yet.
	std::optional<duration> offset_;

	/// Rows that came before the registry's clock was known.
	std::vector<row> early_;

	struct known_row
	{
		row_version version{};

		/// The last end that it tells of; none: it can't be read.
		std::optional<instant> last_end;
	};

	/// The rows as this VM saw them last. Each is written on the condition that it is still the same: else
	/// ends that another VM stored a moment ago would be lost, and after a loss of all VMs two ends of three
	/// known.
	std::map<std::string, known_row> rows_;
	bool reads_registry_ = false;
	bool is_armed_ = false;
	bool is_writing_ = false;
};
} // namespace gingerdyke::control
