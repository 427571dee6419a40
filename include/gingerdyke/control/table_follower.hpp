// SPDX-License-Identifier: MIT
// Keeps up with one table of the registry: reads it whole once, then follows its changes.
#pragma once

#include <gingerdyke/base/random.hpp>
#include <gingerdyke/control/table_cache.hpp>
#include <gingerdyke/proxy/asio.hpp>
#include <memory>
#include <optional>

namespace gingerdyke::control
{
/// \brief Tuning of `table_follower`.
struct follower_tuning
{
	/// How long one call waits for changes. Each call is priced; news comes at once however long this is, but
	/// the configuration counts as confirmed only when a call was sent.
	duration wait = std::chrono::milliseconds{1500};

	/// Pause after changes, so that several come together; 0: none.
	duration gather = duration{0};

	/// Pause after a call that failed, doubled each time up to the longest; spread at random by half.
	duration first_pause = std::chrono::milliseconds{100};
	duration longest_pause = std::chrono::milliseconds{500};
};

/// \brief What a follower tells.
struct follower_hooks
{
	/// The whole table as it is.
	std::function<void(const std::vector<row>&)> replaced;

	/// Rows that changed, in order, each once and as it is now.
	std::function<void(const std::vector<row>&)> changed;

	/// A call was answered: what is known was the newest at a moment.
	std::function<void(instant newest_at, registry_time at)> confirmed;

	/// A call failed.
	std::function<void(store_error)> lost;
};

/// \brief Follows a table. Never takes rows older than those that it has given already.
class table_follower
{
  public:
	table_follower(proxy::asio::io_context& context, row_store& store, std::string table,
		random_source random, follower_hooks hooks, follower_tuning tuning = {});

	/// \brief Begins to follow the table, or goes on after a stop; it is then read whole again.
	void start();
	void stop();

	/// \brief Notes that the copy was still the newest at a moment.
	void vouch(instant newest_at) { cache_.vouch(newest_at); }

	/// \brief The table as it is known, for other VMs.
	[[nodiscard]] const table_cache& cache() const noexcept { return cache_; }

  private:
	void call();
	void read_all();
	void follow();
	void on_all(store_result<row_batch> result, instant sent_at);
	void on_changes(store_result<row_batch> result, instant sent_at);
	[[nodiscard]] bool is_over(unsigned run) const noexcept { return stopped_ || run != run_; }
	[[nodiscard]] static instant newest_at(instant sent_at, const row_batch& batch);
	void log_superseded(std::size_t rows, std::size_t news) const;
	void confirm_cache(instant sent_at, const row_batch& batch);
	void note_success(instant sent_at, const row_batch& batch);
	void note_failure(store_error error);
	void pause_then_call();
	void call_after(duration pause);

	row_store& store_;
	table_cache cache_;
	random_source random_;
	follower_hooks hooks_;
	follower_tuning tuning_;
	proxy::boot_timer timer_;

	/// Version that the next call continues from; none: the table has to be read whole.
	std::optional<row_version> next_;

	/// Newest version ever given: an older table is not taken.
	std::optional<row_version> known_;
	duration pause_;
	bool is_lost_ = false;
	bool stopped_ = true;

	/// Counts the starts: what was called before a stop is not heard after it.
	unsigned run_ = 0;
};
} // namespace gingerdyke::control
