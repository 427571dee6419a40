// SPDX-License-Identifier: MIT
// Store that reads the registry through another VM if that VM's copy is fresh enough. A VM that reads the
// registry itself is called a reader; see source_selector.hpp.
#pragma once

#include <gingerdyke/control/era_tracker.hpp>
#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/control/source_selector.hpp>
#include <gingerdyke/control/table_cache.hpp>

namespace gingerdyke::control
{
/// \brief Tuning of `shared_store`.
struct shared_store_tuning
{
	/// The table that is polled most often. The age of a VM's copy of it shows whether that VM still reaches
	/// the registry; other tables are polled with longer waits, so their copies look fresh for longer.
	std::string liveness_table;

	/// Maximum age of another VM's copy of any table; beyond it that VM may have lost the registry. A reader
	/// polls the registry with a wait of `coordinator_tuning::operator_poll_wait`, and each response confirms
	/// its copy; the rest of the required 2 s remains for learning of a change.
	duration max_peer_copy_age = std::chrono::milliseconds{1100};

	/// Once this VM's copy of a table is this old, it asks the registry whatever other VMs offer. Trying a
	/// chain of failed or stale sources takes seconds, during which requests are routed by a configuration,
	/// or to a replica, that should have been given up within the required 2 s.
	duration max_own_copy_age = std::chrono::milliseconds{1500};

	/// Ratio of the wait of a poll to another VM to that of a poll to the registry; polls within a failure
	/// domain cost next to nothing.
	double peer_wait_ratio = 0.25;

	/// A VM of at least this rank that has run out of sources waits for `takeover_wait` and then tries its
	/// sources once more; by then the VM next in rank has taken over as the reader. Otherwise all VMs of a
	/// failure domain would call the registry when they lose their reader.
	std::size_t takeover_wait_min_rank = 2;

	/// Back-off of a failed source plus a margin.
	duration takeover_wait = std::chrono::milliseconds{550};

	/// Timeout for reading a full table from another VM, which may have to read it itself first if it has
	/// just started. The waiting VM is not ready meanwhile, so it asks the registry after this time. After a
	/// restart of all VMs, those of the highest rank have read 3,000 replicas 1.6 s after their start on
	/// links of 10 Mbit/s and 0.12 of a core, and in a tenth of that on links of 200 Mbit/s and half a core.
	duration full_read_timeout = std::chrono::milliseconds{1900};

	/// Number of sources that one call tries before it asks the registry; only one if the VM waits to become
	/// ready. If two sources have stale copies, either the reader was just lost and its successor has not
	/// taken over yet, or the registry itself is unreachable; only the registry can tell which.
	unsigned max_follow_sources = 2;
	unsigned max_full_read_sources = 1;

	/// While this VM's copy of the liveness table is overdue as well, only that table's calls try the
	/// registry, which is enough to detect its return. Calls for other tables retry after this time.
	duration liveness_retry_delay = std::chrono::milliseconds{250};

	/// Time limit of a response, added to the wait of its poll.
	duration response_timeout = std::chrono::milliseconds{250};
};

/// \brief Callbacks of `shared_store`.
struct shared_store_hooks
{
	/// Returns the report to send with a poll for changes of a table; none for most tables. On the first
	/// contact the other VM's process knows nothing of this VM yet.
	std::function<std::optional<peer_report>(const std::string& table, bool is_first_contact)> report;

	/// Returns this VM's copy of a table; null if it has none.
	std::function<const table_cache*(const std::string& table)> find_copy;

	/// Called with each summary received.
	std::function<void(const peer_summary&)> summary_received;

	/// Called when this VM starts or stops reading the liveness table from the registry itself.
	std::function<void(bool reads_registry)> reader_role_changed;

	/// Called when the copy of a table is known to have been the newest at a moment: a call for its changes
	/// is waiting at the registry, and the registry answered another call meanwhile.
	std::function<void(const std::string& table, instant newest_at)> copy_confirmed;
};

/// \brief A `row_store` that reads from the registry or another VM's copy, and writes to the registry.
class shared_store : public row_store
{
  public:
	shared_store(proxy::asio::io_context& context, row_store& registry, source_selector& sources,
		shared_store_hooks hooks, shared_store_tuning tuning = {});

	void read_all(const std::string& table, std::function<void(store_result<row_batch>)> done) override;
	void follow(const std::string& table, row_version after, duration wait,
		std::function<void(store_result<row_batch>)> done) override;
	void change(
		const row_change& transaction, std::function<void(store_result<change_result>)> done) override;
	/// \brief Abandons the pending reads from the registry.
	void abandon() override;

	/// \brief Returns whether the last read of a table went to the registry itself.
	[[nodiscard]] bool reads_registry(const std::string& table) const;

  private:
	using done_hook = std::function<void(store_result<row_batch>)>;

	struct read_call
	{
		std::string table;
		std::optional<row_version> after;
		duration wait{};
		done_hook done;

		/// Sources that failed during this call, and the maximum number to try.
		unsigned failures{};
		unsigned max_failures{};

		/// Whether the call has already waited for another reader to take over.
		bool has_waited_for_takeover{};
	};

	/// State of this VM's copy of one table.
	struct table_state
	{
		/// When the copy was last known to be the newest; none if the table was never read.
		std::optional<instant> newest_at;

		/// Era of the copy.
		era_tracker eras;

		/// Source of the last read; none for the registry.
		std::optional<vm_id> source;

		/// Whether the last response could not be decompressed; the next poll then names no known rows.
		bool failed_to_decompress{};

		/// True until the first read.
		bool never_read = true;

		/// Since when a call for changes has been waiting at the registry; none if there is no such call.
		std::optional<instant> registry_wait_since;
	};

	void read(read_call call);
	void read_when_overdue(read_call call);
	[[nodiscard]] std::optional<peer> choose_source(const read_call& call) const;
	void drop_source(const peer& from, const std::string& table, bool has_responded);
	[[nodiscard]] bool is_overdue(const std::string& table, instant now) const;
	[[nodiscard]] duration time_until_overdue(const std::string& table, instant now) const;
	[[nodiscard]] duration wait_at_peer(const read_call& call) const;
	[[nodiscard]] bool should_wait_for_takeover(const read_call& call) const;
	void read_after(duration pause, read_call call);
	void read_registry(read_call call);
	void on_registry_response(const read_call& call, instant sent_at, const store_result<row_batch>& result);
	void record_newest(const std::string& table, instant at);
	void confirm_waiting_tables(const std::string& table, instant newest_at);
	void read_peer(const peer& from, read_call call);
	void on_peer_response(const peer& from, read_call call, instant sent_at, store_result<row_batch> result);
	void record_source(const std::string& table, const std::optional<peer>& source);
	/// Versions of another era say nothing on those of the source.
	[[nodiscard]] std::vector<known_row> known_rows(const std::string& table) const;
	std::shared_ptr<relay_client> client_of(const peer& to, const std::string& table);
	void abandon_calls_to(const peer& to);

	proxy::asio::io_context& context_;
	row_store& registry_;
	source_selector& sources_;
	shared_store_hooks hooks_;
	shared_store_tuning tuning_;

	/// By VM and table: on a shared connection a large change of one table would delay those of the others.
	std::map<std::pair<vm_id, std::string>, std::shared_ptr<relay_client>> clients_;
	std::map<std::string, table_state> tables_;
};
} // namespace gingerdyke::control
