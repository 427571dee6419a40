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

	/// A copy that is older than its VM waits at the registry, by more than this, is not good enough: the VM
	/// may have lost the registry. With the time between two polls this has to leave time, within the users'
	/// 2 s, to learn of a change elsewhere.
	duration copy_margin = std::chrono::milliseconds{600};

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
	/// it is not ready meanwhile, so not for long: then the registry is asked.
	duration whole_wait = std::chrono::milliseconds{250};

	/// Sources that one call tries before it asks the registry: one where a VM waits to become ready. Where
	/// two have old copies, the reader has just been lost and the next one has not taken over yet, or the
	/// registry itself is away: it has to be asked to know. A VM that starts again while callers come asks
	/// the registry at once: after a power loss a reader with a link of 10 Mbit/s would send its tables for
	/// seconds.
	unsigned sources_to_follow = 2;
	unsigned sources_to_start = 1;

	/// An answer is awaited this long beyond the wait.
	duration answer_limit = std::chrono::milliseconds{250};
};

/// \brief What a `shared_store` exchanges with the VMs that it reads through.
struct shared_store_hooks
{
	/// What this VM reports with a call for changes of a table; none with most tables.
	std::function<std::optional<peer_report>(const std::string& table)> report;

	/// Told what the other VM knows.
	std::function<void(const peer_summary&)> summarised;

	/// Told when this VM begins to read the registry itself, and when it no longer does.
	std::function<void(bool reads_registry)> moved;
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
	void change(const row_change& what, std::function<void(store_result<change_answer>)> done) override;
	/// \brief Gives up the calls at the registry.
	void abandon() override;

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

	void read(read_call call);
	void give_up_source(const peer& from, const std::string& table, bool answered);
	[[nodiscard]] duration oldest_of(const read_call& call) const;
	[[nodiscard]] bool should_wait(const read_call& call) const;
	void wait_for_reader(read_call call);
	void read_registry(read_call call);
	void read_peer(const peer& from, read_call call);
	void on_peer_answer(const peer& from, read_call call, store_result<row_batch> result);
	void note_source(const std::optional<peer>& source);
	std::shared_ptr<relay_client> client_of(const peer& to);

	proxy::asio::io_context& context_;
	row_store& registry_;
	source_selector& sources_;
	shared_store_hooks hooks_;
	shared_store_tuning tuning_;
	std::map<vm_id, std::shared_ptr<relay_client>> clients_;
	std::optional<std::string> last_source_;
};
} // namespace gingerdyke::control
