// SPDX-License-Identifier: MIT
// The table at one revision: typed rows with the look-ups that routing needs.
#pragma once

#include <gingerdyke/base/json_source.hpp>
#include <gingerdyke/table/rows.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace gingerdyke::table
{
/// \brief A row as stored: JSON, with the revision that wrote it. A removed row keeps its revision.
struct stored_row
{
	json value;
	revision at;
	bool removed{};
};

/// \brief All stored rows by id, removed ones among them.
using row_set = std::map<row_id, stored_row>;

/// \brief Typed, checked, immutable view of a row set.
class table
{
  public:
	table(table&&) = default;
	table& operator=(table&&) = default;
	table(const table&) = delete;
	table& operator=(const table&) = delete;
	~table() = default;

	/// \brief Reads and checks rows.
	/// \param rows The stored rows.
	/// \param at Revision of the set.
	/// \param trusted Rows written up to this revision were checked against their schemas before.
	/// \returns The table, or every finding, with pointers such as `/rows/version~1m@v1/state`.
	[[nodiscard]] static checked<table> compile(
		const row_set& rows, revision at, revision trusted = revision{-1});

	/// \brief Reads a file of declarations, `{"rows": {"KIND/NAME": {...}}}`.
	[[nodiscard]] static checked<table> compile(const json_source& declarations, revision at = revision{});

	[[nodiscard]] revision at() const noexcept { return at_; }

	[[nodiscard]] const workspace_row* workspace_by_key(std::string_view key_digest) const;
	[[nodiscard]] const operator_row* operator_by_key(std::string_view key_digest) const;
	[[nodiscard]] const workspace_row* workspace(const workspace_id& id) const;
	[[nodiscard]] const class_row* class_of(const class_id& id) const;
	[[nodiscard]] const version_row* version(const version_ref& ref) const;
	[[nodiscard]] const service_row* service(const service_id& id) const;
	[[nodiscard]] const cascade_row* cascade(const cascade_id& id) const;
	[[nodiscard]] const replica_row* replica(const replica_id& id) const;

	/// \brief The versions of a model, by name.
	[[nodiscard]] std::vector<const version_row*> versions_of(const model_id& model) const;

	/// \brief The replicas that are to serve a version.
	[[nodiscard]] const std::vector<const replica_row*>& replicas_of(const version_ref& ref) const;

	/// \brief The processes of a plain service, as the choice among replicas sees them.
	[[nodiscard]] const std::vector<const replica_row*>& endpoints_of(const service_id& id) const;

	/// \brief Whether a workspace may use a version.
	[[nodiscard]] bool allows(const workspace_row& workspace, const version_ref& ref) const;

	/// \brief Whether any operator row stands: the bootstrap key of the settings holds only without one.
	[[nodiscard]] bool has_operators() const noexcept { return !operators_.empty(); }

	[[nodiscard]] const settings_row& settings() const noexcept { return settings_; }
	[[nodiscard]] const std::map<workspace_id, workspace_row>& workspaces() const noexcept
	{
		return workspaces_;
	}
	[[nodiscard]] const std::map<version_ref, version_row>& versions() const noexcept { return versions_; }
	[[nodiscard]] const std::map<replica_id, replica_row>& replicas() const noexcept { return replicas_; }
	[[nodiscard]] const std::map<cascade_id, cascade_row>& cascades() const noexcept { return cascades_; }
	[[nodiscard]] const std::map<service_id, service_row>& services() const noexcept { return services_; }

  private:
	friend class compiler;

	table() = default;

	revision at_;
	settings_row settings_;
	std::map<workspace_id, workspace_row> workspaces_;
	std::map<operator_id, operator_row> operators_;
	std::map<class_id, class_row> classes_;
	std::map<version_ref, version_row> versions_;
	std::map<replica_id, replica_row> replicas_;
	std::map<service_id, service_row> services_;
	std::map<cascade_id, cascade_row> cascades_;
	std::map<std::string, workspace_id, std::less<>> workspace_keys_;
	std::map<std::string, operator_id, std::less<>> operator_keys_;
	std::map<version_ref, std::vector<const replica_row*>> replicas_by_version_;
	std::map<replica_id, replica_row> endpoints_;
	std::map<service_id, std::vector<const replica_row*>> endpoints_by_service_;
};

using table_ptr = std::shared_ptr<const table>;

/// \brief The rows of a declaration file, as stored rows without revisions.
[[nodiscard]] row_set rows_of(const json_source& declarations);

/// \brief Stands in the place of the session key in what operators read.
inline constexpr const char* kept_secret = "(kept by the system; send this text back to leave it as it is)";

/// \brief A row without what only the system may see (the session key).
[[nodiscard]] json redacted(const row_id& id, json row);
} // namespace gingerdyke::table
