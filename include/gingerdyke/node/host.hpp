// SPDX-License-Identifier: MIT
// Hosts a core in CAF actors: one decides, others wait for the platform.
#pragma once

#include <functional>
#include <future>
#include <gingerdyke/node/core.hpp>
#include <gingerdyke/node/mailbox.hpp>
#include <gingerdyke/node/settings.hpp>
#include <memory>

namespace gingerdyke::node
{
/// \brief What can be asked about a node.
enum class query_kind
{
	status,
	rows,
	explain,
	drained,
};

/// \brief One running node: actors, links and timers around a core.
class host
{
  public:
	/// \param settings Checked settings.
	/// \throws std::exception where an address can't be listened at.
	explicit host(const settings& settings);
	~host();

	host(const host&) = delete;
	host& operator=(const host&) = delete;
	host(host&&) = delete;
	host& operator=(host&&) = delete;

	/// \brief Hands an event to the core; from any thread.
	void post(event what);

	/// \brief Asks the core; waits for the answer.
	[[nodiscard]] json ask(query_kind kind, const std::string& argument = {});

	/// \brief Commits an edit; waits for its outcome.
	[[nodiscard]] table::edit_outcome edit(table::edit_request request);

	/// \brief The table in force; none before the first one was read. From any thread.
	[[nodiscard]] table::table_ptr table() const;

	[[nodiscard]] mailbox_board& mailboxes() noexcept;

	/// \brief Stops actors and links.
	void stop();

  private:
	class impl;
	std::unique_ptr<impl> impl_;
};
} // namespace gingerdyke::node
