// SPDX-License-Identifier: MIT
// Follows one registry table: reads it in full once, then applies its changes.
#pragma once

#include <gingerdyke/base/random.hpp>
#include <gingerdyke/control/era_tracker.hpp>
#include <gingerdyke/control/table_cache.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <memory>
#include <optional>

namespace gingerdyke::control
{
/// \brief Tuning of `table_follower`.
struct follower_tuning
{
	/// Long-poll timeout of one call. Every call is billed. Changes arrive at once whatever the timeout, but
	/// the data counts as confirmed only as of the time when a call was sent.
	duration wait = std::chrono::milliseconds{1500};

	/// Pause after a response with changes, so that further changes arrive in one batch; 0 for none.
	duration batch_delay = duration{0};

	/// Back-off after a failed call, doubled after each failure up to the maximum, with a random spread of
	/// 50%.
	duration initial_backoff = std::chrono::milliseconds{100};
	duration max_backoff = std::chrono::milliseconds{500};
};

/// \brief Callbacks of `table_follower`.
struct follower_hooks
{
	/// Called with the full table.
	std::function<void(const std::vector<row>&)> replaced;

	/// Called with the rows that changed, ordered by version, each row once in its current state.
	std::function<void(const std::vector<row>&)> changed;

	/// Called after each response: the copy was the newest at `newest_at`, and the registry's clock read
	/// `at`.
	std::function<void(instant newest_at, registry_time at)> confirmed;

	/// Called after each failed call.
	std::function<void(store_error)> failed;

	/// Called before the full table of another era than the rows so far: the registry returned from an older
	/// copy. None: nothing is to be done.
	std::function<void()> restored{};
};

/// \brief Follows a table. Never applies rows older than those it has already passed on.
class table_follower
{
  public:
	table_follower(proxy::asio::io_context& context, row_store& store, std::string table,
		random_source random, follower_hooks hooks, follower_tuning tuning = {});

	/// \brief Starts to follow the table, or resumes after `stop`; the table is then read in full again.
	void start();
	void stop();

	/// \brief Records that the copy was still the newest at a moment.
	void extend_confirmation(instant newest_at) { cache_.extend_confirmation(newest_at); }

	/// \brief The local copy, from which other VMs are answered.
	[[nodiscard]] const table_cache& cache() const noexcept { return cache_; }

  private:
	void read_next();
	void read_all();
	void follow();
	void on_full_read(store_result<row_batch> result, instant sent_at);
	void on_changes(store_result<row_batch> result, instant sent_at);
	void on_later_era(const row_batch& batch);
	[[nodiscard]] bool is_superseded(unsigned run_id) const noexcept { return stopped_ || run_id != run_id_; }
	[[nodiscard]] static instant newest_at(instant sent_at, const row_batch& batch);
	[[nodiscard]] static bool has_superseded_large_rows(const std::vector<row>& rows);
	void log_superseded(std::size_t rows, std::size_t changed_rows) const;
	void confirm_cache(instant sent_at, const row_batch& batch);
	void record_success(instant sent_at, const row_batch& batch);
	void record_failure(store_error error);
	void retry_after_backoff();
	void read_next_after(duration pause);

	row_store& store_;
	table_cache cache_;
	random_source random_;
	follower_hooks hooks_;
	follower_tuning tuning_;
	proxy::boot_timer timer_;

	/// Version from which the next call continues; none if the full table has to be read.
	std::optional<row_version> resume_version_;

	/// Era of `newest_seen_`.
	era_tracker eras_;

	/// Newest version seen; a full table of an older version is rejected.
	std::optional<row_version> newest_seen_;
	duration backoff_;
	bool is_failing_ = false;
	bool stopped_ = true;

	/// Incremented by each start, so that responses to calls made before a stop are ignored.
	unsigned run_id_ = 0;
};
} // namespace gingerdyke::control
