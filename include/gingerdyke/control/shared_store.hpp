// SPDX-License-Identifier: MIT
// The registry, read through another VM where that is as good.
#pragma once

#include <gingerdyke/control/relay_client.hpp>
#include <gingerdyke/control/source_selector.hpp>

namespace gingerdyke::control
{
/// \brief Tuning of `shared_store`.
struct shared_store_tuning
{
	/// The table that is asked for most often: how old a VM's copy of it is tells whether that VM still has
	/// the registry. Other tables are read with longer waits, and their copies look good for longer.
	std::string contact_table;

	/// Another VM's copy that is older than this is not good enough, of whatever table: the VM may have lost
	/// the registry. It waits there for `coordinator_tuning::operator_wait` and tells itself fresh with each
	/// answer; what is left of the users' 2 s has to do for learning of a change elsewhere.
	duration oldest_copy = std::chrono::milliseconds{1100};

	/// Once this VM's own copy of a table is as old as this, the registry itself is asked, whatever other
	/// VMs offer: a chain of sources that fail or have old copies takes seconds, and meanwhile requests go by
	/// a configuration, or to a replica, of before the users' 2 s.
	duration oldest_own = std::chrono::milliseconds{1500};

	/// A poll of another VM waits this part of what it would wait at the registry: polls within a failure
	/// domain cost next to nothing.
	double wait_share = 0.25;

	/// A VM with at least this many before it in rank first waits, then tries two sources once more: by then
	/// the next one in rank has taken over. Without that, all VMs of a failure domain ask the registry when
	/// they lose their reader.
	std::size_t patient_from = 2;

	/// That wait: the rest of a source that failed, and a little.
	duration patience = std::chrono::milliseconds{550};

	/// A VM that has just started may have to read a table itself before it can give it whole. Who waits for
	/// it is not ready meanwhile, so not for long: then the registry is asked. After a loss of all VMs the
	/// first in rank know 3,000 replicas 1.6 s after their start on links of 10 Mbit/s and 0.12 of a core,
	/// and in a tenth of that on links of 200 Mbit/s and half a core.
	duration whole_wait = std::chrono::milliseconds{1900};

	/// Sources that one call tries before it asks the registry: one where a VM waits to become ready. Where
	/// two have old copies, the reader has just been lost and the next one has not taken over yet, or the
	/// registry itself is away: it has to be asked to know.
	unsigned sources_to_follow = 2;
	unsigned sources_to_start = 1;

	/// While the own copy of the contact table is overdue too, only its calls ask the registry; those of
	/// other tables look again after this time: one table's calls tell whether the registry is back.
	duration contact_pause = std::chrono::milliseconds{250};

	/// An answer is awaited this long beyond the wait.
	duration answer_limit = std::chrono::milliseconds{250};
};

/// \brief What a `shared_store` exchanges with the VMs that it reads through.
struct shared_store_hooks
{
	/// What this VM reports with a call for changes of a table; none with most tables.
	std::function<std::optional<peer_report>(const std::string& table)> report;

	/// Told what the other VM knows.
	std::function<void(const peer_summary&)> summary_received;

	/// Told when this VM begins to read the contact table from the registry itself, and when it no longer
	/// does.
	std::function<void(bool reads_registry)> moved;

	/// Told that the copy of a table was still the newest at a moment: this VM waits at the registry for its
	/// changes, and the registry answered another call meanwhile.
	std::function<void(const std::string& table, instant newest_at)> vouched;
};

/// \brief A `row_store` that reads from the registry or from another VM's copy, and writes to the registry.
class shared_store : public row_store
{
  public:
	shared_store(proxy::asio::io_context& context, row_store& registry, source_selector& sources,
		shared_store_hooks hooks, shared_store_tuning tuning = {});

	void read_all(const std::string& table, std::function<void(store_result<row_batch>)> done) override;
	void follow(const std::string& table, row_version after, duration wait,
		std::function<void(store_result<row_batch>)> done) override;
	void change(const row_change& what, std::function<void(store_result<change_result>)> done) override;
	/// \brief Gives up the calls at the registry.
	void abandon() override;

	/// \brief Whether a table was last asked for at the registry itself.
	[[nodiscard]] bool reads_registry(const std::string& table) const;

  private:
	using done_hook = std::function<void(store_result<row_batch>)>;

	struct read_call
	{
		std::string table;
		std::optional<row_version> after;
		duration wait{};
		done_hook done;

		/// Sources that failed in this call, and the most that may.
		unsigned failures{};
		unsigned most_failures{};

		/// It has waited for another reader to take over.
		bool has_waited{};
	};

	/// What is known of one table's copy at this VM.
	struct table_state
	{
		/// When it was last known to be the newest; none: it was never read.
		std::optional<instant> newest_at;

		/// Who was asked last; none: the registry.
		std::optional<vm_id> source;

		/// Nobody was asked yet.
		bool is_new = true;

		/// Since when a call for changes waits at the registry; none: there is no such call.
		std::optional<instant> waits_since;
	};

	void read(read_call call);
	void read_overdue(read_call call);
	[[nodiscard]] std::optional<peer> source_for(const read_call& call) const;
	void give_up_source(const peer& from, const std::string& table, bool answered);
	[[nodiscard]] bool is_overdue(const std::string& table, instant now) const;
	[[nodiscard]] duration time_until_overdue(const std::string& table, instant now) const;
	[[nodiscard]] duration wait_at_peer(const read_call& call) const;
	[[nodiscard]] bool should_wait(const read_call& call) const;
	void read_after(duration pause, read_call call);
	void read_registry(read_call call);
	void on_registry_answer(const read_call& call, instant sent_at, const store_result<row_batch>& result);
	void note_newest(const std::string& table, instant at);
	void vouch_for_others(const std::string& table, instant newest_at);
	void read_peer(const peer& from, read_call call);
	void on_peer_answer(const peer& from, read_call call, instant sent_at, store_result<row_batch> result);
	void note_source(const std::string& table, const std::optional<peer>& source);
	std::shared_ptr<relay_client> client_of(const peer& to);

	proxy::asio::io_context& context_;
	row_store& registry_;
	source_selector& sources_;
	shared_store_hooks hooks_;
	shared_store_tuning tuning_;
	std::map<vm_id, std::shared_ptr<relay_client>> clients_;
	std::map<std::string, table_state> tables_;
};
} // namespace gingerdyke::control
