// SPDX-License-Identifier: MIT
// Server that answers other VMs' polls from this VM's copies of registry tables.
#pragma once

#include <gingerdyke/control/frame_link.hpp>
#include <gingerdyke/control/row_encoder.hpp>
#include <gingerdyke/control/table_cache.hpp>
#include <list>
#include <map>

namespace gingerdyke::control
{
/// \brief Callbacks of `relay_server`.
struct relay_server_hooks
{
	/// Returns the copy of a table, or null if the table is not followed.
	std::function<const table_cache*(const std::string& table)> find_table;

	/// Returns whether this VM reads a table from the registry itself.
	std::function<bool(const std::string& table)> reads_registry;

	/// Called with each report received, and the table that was asked for with it.
	std::function<void(const std::string& table, const peer_report&)> report_received;

	/// Returns the summary for a VM that reported.
	std::function<peer_summary(const std::string& table, const std::string& reporter)> make_summary;
};

/// \brief Answers polls. A poll for which there are no changes is held until there are some, its wait
/// expires, or the copy grows too old for it.
class relay_server
{
  public:
	relay_server(proxy::asio::io_context& context, relay_server_hooks hooks);

	/// \brief Starts to listen.
	/// \returns The error that prevents it; none on success.
	[[nodiscard]] proxy::error_code listen(const routing::address& at);

	/// \brief Answers the polls held for a table that changed.
	void on_change(const std::string& table);

	void stop();

  private:
	struct waiting_poll
	{
		relay_poll poll;
		std::weak_ptr<frame_link> from;
		instant until;
	};

	void accept();
	void on_frame(const std::shared_ptr<frame_link>& from, std::string_view frame);
	[[nodiscard]] static bool can_respond(const relay_poll& poll, const table_cache* cache, instant now);
	[[nodiscard]] static duration time_until_too_old(
		const relay_poll& poll, const table_cache* cache, instant now);
	[[nodiscard]] static instant next_check_at(
		const waiting_poll& waiting, const table_cache* cache, instant now);
	void respond(const waiting_poll& to);
	void add_rows(const table_cache& from, const relay_poll& poll, relay_response& to);
	void arm_timer(instant due);
	void respond_to_due_polls();
	[[nodiscard]] std::optional<instant> respond_to_due_polls_of(const std::string& table, instant now);

	proxy::asio::io_context& context_;
	relay_server_hooks hooks_;
	proxy::tcp::acceptor acceptor_;
	proxy::boot_timer timer_;
	std::map<std::string, std::list<waiting_poll>> waiting_polls_;

	/// When the held polls are checked next; none if none is held.
	std::optional<instant> check_at_;
	row_encoder encoder_;
	std::list<std::shared_ptr<frame_link>> connections_;
};
} // namespace gingerdyke::control
