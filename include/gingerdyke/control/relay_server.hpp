// SPDX-License-Identifier: MIT
// Answers other VMs from this VM's copies of the registry's tables.
#pragma once

#include <gingerdyke/control/frame_link.hpp>
#include <gingerdyke/control/table_cache.hpp>
#include <list>
#include <map>

namespace gingerdyke::control
{
/// \brief What a `relay_server` asks of its owner.
struct relay_server_hooks
{
	/// Finds the copy of a table, or null.
	std::function<const table_cache*(const std::string& table)> find;

	/// Whether this VM reads a table from the registry itself.
	std::function<bool(const std::string& table)> reads_registry;

	/// Takes a VM's report.
	std::function<void(const peer_report&)> reported;

	/// What a VM that reported is told.
	std::function<peer_summary(const std::string& reporter)> summarise;
};

/// \brief Answers polls; those without news wait until there is some or their time is over.
class relay_server
{
  public:
	relay_server(proxy::asio::io_context& context, relay_server_hooks hooks);

	/// \brief Begins to listen.
	/// \returns What stands against it; none where it listens.
	[[nodiscard]] proxy::error_code listen(const routing::address& at);

	/// \brief Tells that a table changed: polls that wait for it are answered.
	void on_change(const std::string& table);

	void stop();

  private:
	struct waiting_poll
	{
		relay_poll poll;
		std::weak_ptr<frame_link> from;
		instant until;
	};

	/// Whole tables as they were last packed. All VMs of a failure domain ask at once after a loss of all.
	struct packed_table
	{
		row_version newest;
		std::shared_ptr<const std::string> bytes;
	};

	void accept();
	void on_frame(const std::shared_ptr<frame_link>& from, std::string_view frame);
	[[nodiscard]] bool has_answer(const relay_poll& poll) const;
	[[nodiscard]] duration useless_in(const relay_poll& poll) const;
	[[nodiscard]] instant due_at(const waiting_poll& one) const;
	void answer(const waiting_poll& to);
	void add_rows(const table_cache& from, const relay_poll& poll, relay_answer& to);
	void arm_timer();
	void answer_overdue();

	proxy::asio::io_context& context_;
	relay_server_hooks hooks_;
	proxy::tcp::acceptor acceptor_;
	proxy::boot_timer timer_;
	std::list<waiting_poll> waiting_;
	std::map<std::string, packed_table> packed_;
	std::list<std::shared_ptr<frame_link>> links_;
};
} // namespace gingerdyke::control
