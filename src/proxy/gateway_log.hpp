// SPDX-License-Identifier: MIT
// Log lines about the state shared by all requests.
#pragma once

#include <gingerdyke/limits/admission_control.hpp>
#include <gingerdyke/proxy/gateway.hpp>
#include <gingerdyke/routing/service_room.hpp>

namespace gingerdyke::proxy
{
/// Maximum length of text of others in one log line.
inline constexpr std::size_t max_logged_text = 60;

/// \brief A replica gets no requests for a while because too many failed.
void log_ejection(const replica_id& id, double rate, duration span);

/// \brief A replica counts as cold.
void log_cold_replica(const routing::replica& instance, routing::cold_reason reason, duration left);

/// \brief A response was dropped for its size or content.
void log_given_up(const given_up_response& response, const limits::memory_account& memory);

/// \brief A replica announced, changed or withdrew a load limit.
void log_load_limit(const routing::replica& instance, routing::limit_change change,
	const routing::limit_announcement& statement);

/// \brief A replica began or ceased to announce that it is brittle.
void log_rejection_limit(const routing::replica& instance, std::optional<double> rejections_per_s);

/// \brief A replica asked for a back-off.
void log_backoff(const routing::replica& instance, const std::string& request, duration left);

/// \brief Something stated a name that is not known.
void log_unknown_name(statement_source source, const std::string& name, const std::string& sender);

/// \brief A replica's process exited.
void log_replica_exit(const replica_exit& exited, bool was_expected);

/// \brief A request or part was quarantined.
void log_quarantine(const quarantine::suspicion& suspected, double weight);

/// \brief The state of a version shift changed.
void log_version_shift(const rollout::shift_event& event);

/// \brief Another version of a service serves the sessions that no shift moves.
void log_version_change(const rollout::version_change& change);

/// \brief A version began to fail its requests, or no longer does.
void log_version_health(const rollout::health_change& change);

/// \brief This VM begins or ceases to avoid a replica that fell silent.
void log_silence(const routing::replica_silence& seen, bool is_avoided);

/// \brief The engines of a service are compared by their own pace from now on, or no longer.
void log_paces(const routing::pace_state& changed);

/// \brief A service became short of slots, or has enough again.
void log_slots(const routing::slots_used& used, bool is_short);

/// \brief A shortage of room at a service began or ended.
void log_room(const limits::room_change& change);
} // namespace gingerdyke::proxy
