// SPDX-License-Identifier: MIT
// Connects the registry to the data path: exchange with other VMs, directly and through the evidence table.
#include <algorithm>
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
shared_store_tuning coordinator::sharing_tuning() const
{
	auto tuning = tuning_.sharing;
	tuning.liveness_table = layout_.operator_table;
	return tuning;
}

shared_store_hooks coordinator::store_hooks()
{
	shared_store_hooks hooks;
	hooks.report = [this](const std::string& table, bool is_first_contact)
	{ return make_report(table, is_first_contact); };
	hooks.find_copy = [this](const std::string& table) { return find_copy(table); };
	hooks.summary_received = [this](const peer_summary& summary) { on_peer_summary(summary); };
	hooks.reader_role_changed = [this](bool reads_registry)
	{
		gateway_.versions().set_reads_registry(reads_registry);
		reads_registry_ = reads_registry;
		suspect_rows_.record_reads_registry(reads_registry);
		suspect_rows_.schedule_store();
		if (hooks_.reader_role_changed)
		{
			hooks_.reader_role_changed(reads_registry);
		}
		follow_evidence();
		schedule_write();
	};
	hooks.copy_confirmed = [this](const std::string& table, instant newest_at)
	{ on_copy_confirmed(table, newest_at); };
	return hooks;
}

void coordinator::on_copy_confirmed(const std::string& table, instant newest_at)
{
	if (auto* follower = follower_of(table))
	{
		follower->extend_confirmation(newest_at);
	}
	if (table == layout_.replica_table)
	{
		gateway_.confirm_replicas(newest_at);
	}
	if (table == layout_.own_table)
	{
		gateway_.vms().confirm(newest_at);
	}
}

relay_server_hooks coordinator::server_hooks()
{
	relay_server_hooks hooks;
	hooks.find_table = [this](const std::string& table) { return find_copy(table); };
	hooks.reads_registry = [this](const std::string& table) { return shared_store_.reads_registry(table); };
	hooks.report_received = [this](const std::string& table, const peer_report& report)
	{ table == suspect_exchange_table ? apply_suspects(report.suspects) : on_peer_report(report); };
	hooks.make_summary = [this](const std::string& table, const std::string& reporter)
	{
		if (table != suspect_exchange_table)
		{
			return summary_for(reporter);
		}
		peer_summary summary;
		summary.suspects = suspects_for(reporter);
		return summary;
	};
	return hooks;
}

suspect_exchange_hooks coordinator::exchange_hooks()
{
	suspect_exchange_hooks hooks;
	hooks.make_report = [this](bool is_first_contact)
	{
		const auto now = proxy::steady_now();
		const auto& suspects = gateway_.suspects();
		peer_report report;
		report.reporter = reporter_;
		report.suspects = is_first_contact ? suspects.essential(now) : suspects.recent_changes(1, now);
		return report;
	};
	hooks.summary_received = [this](const peer_summary& summary) { apply_suspects(summary.suspects); };
	hooks.has_untold = [this] { return !gateway_.suspects().recent_changes(1, proxy::steady_now()).empty(); };
	hooks.is_registry_failing = [this]
	{
		const auto now = proxy::steady_now();
		const auto table_age = gateway_.catalog_age(now).value_or(duration{0});
		return suspect_rows_.is_overdue(now) || table_age > tuning_.sharing.max_own_copy_age;
	};
	hooks.rank = [this] { return source_selector_.rank(); };
	return hooks;
}

void coordinator::on_suspicion()
{
	suspect_rows_.schedule_store();
	suspect_exchange_.schedule();
}

/// Reports are sent with the polls of the operators' table, which are the most frequent.
std::optional<peer_report> coordinator::make_report(const std::string& table, bool is_first_contact) const
{
	if (table != layout_.operator_table)
	{
		return std::nullopt;
	}
	const auto& versions = gateway_.versions();
	const auto now = proxy::steady_now();
	const auto& suspects = gateway_.suspects();
	peer_report report{reporter_, gateway_.selector().outstanding_work(), versions.own_evidence(),
		versions.suspensions(), is_first_contact ? suspects.essential(now) : suspects.recent_changes(1, now),
		gateway_.load_limits().local_updates(now)};
	report.paths = own_paths();
	report.loads = gateway_.admission().loads(now);
	report.silences = own_silences(now);
	report.paces = gateway_.paces().own(now);
	if (hooks_.extend_report)
	{
		hooks_.extend_report(report);
	}
	return report;
}

void coordinator::on_peer_report(const peer_report& report)
{
	const auto now = proxy::steady_now();
	reports_.set_work(report.reporter, report.work, now);
	update_remote_work(reports_.work_excluding(reporter_, now));
	silences_.set(report.reporter, report.silences, now);
	gateway_.silences().set_peer_observations(silences_.sum_excluding(reporter_, now), now);
	paces_.set(report.reporter, report.paces, now);
	update_paces(now);
	service_loads_.set(report.reporter, report.loads, now);
	gateway_.admission().set_peer_loads(service_loads_.sum_excluding(reporter_, now), now);
	for (const auto& evidence : report.evidence)
	{
		gateway_.versions().on_relayed_evidence(report.reporter, evidence, now);
	}
	apply_suspensions(report.suspended);
	apply_suspects(report.suspects);
	reports_.set_limits(report.reporter, report.limits, now);
	apply_limits(report.limits);
	path_reports_.set(report.reporter, report.paths, now);
	if (reads_registry_)
	{
		apply_path_summary(path_reports_.summary_for({}, reported_paths(now)));
	}
	if (hooks_.report_received)
	{
		hooks_.report_received(report);
	}
	if (!report.evidence.empty())
	{
		schedule_write();
	}
}

peer_summary coordinator::summary_for(const std::string& reporter)
{
	const auto now = proxy::steady_now();
	reports_.set_work(reporter_, gateway_.selector().outstanding_work(), now);
	reports_.set_limits(reporter_, gateway_.load_limits().local_updates(now), now);
	peer_summary summary{reports_.work_excluding(reporter, now), gateway_.versions().suspensions(),
		suspects_for(reporter), reports_.limits_excluding(reporter, now)};
	path_reports_.set(reporter_, own_paths(), now);
	summary.paths = path_reports_.summary_for(reporter, reported_paths(now));
	silences_.set(reporter_, own_silences(now), now);
	summary.silences = silences_.sum_excluding(reporter, now);
	update_paces(now);
	summary.paces = paces_.pooled_excluding(reporter, now);
	service_loads_.set(reporter_, gateway_.admission().loads(now), now);
	summary.loads = service_loads_.sum_excluding(reporter, now);
	if (hooks_.extend_summary)
	{
		hooks_.extend_summary(summary);
	}
	return summary;
}

/// A process that this VM meets for the first time has missed what was told before.
std::vector<quarantine::suspicion> coordinator::suspects_for(const std::string& reporter)
{
	// Requests with a single exit are only of use to the VM that aggregates them.
	constexpr std::size_t min_exits = 2;
	const auto now = proxy::steady_now();
	const auto& suspects = gateway_.suspects();
	return meet(reporter) ? suspects.essential(now) : suspects.recent_changes(min_exits, now);
}

/// \returns Whether the process was not met lately.
bool coordinator::meet(const std::string& reporter)
{
	constexpr duration remembered_for = std::chrono::seconds{60};
	const auto now = proxy::steady_now();
	const auto [known, is_new] = met_reporters_.try_emplace(reporter, now);
	known->second = now;
	if (is_new)
	{
		std::erase_if(met_reporters_, [&](const auto& entry) { return now - entry.second > remembered_for; });
	}
	return is_new;
}

/// Hundreds of VMs report and are answered each second.
void coordinator::update_paces(instant now)
{
	constexpr duration min_interval = std::chrono::milliseconds{500};
	if (now - paces_updated_at_ < min_interval)
	{
		return;
	}
	paces_updated_at_ = now;
	paces_.set(reporter_, gateway_.paces().own(now), now);
	gateway_.paces().set_peer_paces(paces_.pooled_excluding(reporter_, now), now);
}

/// Silence on a lost path says nothing about replicas.
std::vector<routing::replica_silence> coordinator::own_silences(instant now) const
{
	auto silences = gateway_.silences().own(now);
	std::erase_if(silences,
		[this](const routing::replica_silence& seen)
		{
			const auto replica = gateway_.replicas().find(seen.replica);
			return replica == nullptr || !gateway_.paths().accepts_connections(*replica);
		});
	return silences;
}

path_report coordinator::own_paths() const
{
	return {self_.vm, gateway_.paths().unreachable_services(), known_paths_};
}

std::vector<routing::unreachable_service> coordinator::reported_paths(instant now) const
{
	if (path_reports_.empty())
	{
		return {};
	}
	std::vector<vm_id> domain_vms;
	for (const auto& [id, vm] : vms_)
	{
		if (vm.domain == self_.domain)
		{
			domain_vms.push_back(id);
		}
	}
	return path_reports_.unreachable(self_.domain, domain_vms, now);
}

void coordinator::apply_path_summary(const path_summary& summary)
{
	if (std::exchange(known_paths_, summary.digest) == summary.digest)
	{
		gateway_.peers().confirm_unreachable(proxy::steady_now());
		return;
	}
	gateway_.peers().set_unreachable(summary.unreachable, proxy::steady_now());
	json services = json::array();
	for (const auto& entry : summary.unreachable)
	{
		services.push_back({{"service", entry.service.str()},
			{"all_of", entry.domain.value_or(failure_domain_id{}).str()}, {"vms", entry.vms.size()}});
	}
	log::write(log::level::info, "VMs without a path", {{"services", std::move(services)}});
}

void coordinator::on_peer_summary(const peer_summary& summary)
{
	update_remote_work(summary.work);
	gateway_.admission().set_peer_loads(summary.loads, proxy::steady_now());
	gateway_.silences().set_peer_observations(summary.silences, proxy::steady_now());
	gateway_.paces().set_peer_paces(summary.paces, proxy::steady_now());
	apply_suspensions(summary.suspended);
	apply_suspects(summary.suspects);
	apply_limits(summary.limits);
	apply_path_summary(summary.paths);
	if (hooks_.summary_received)
	{
		hooks_.summary_received(summary);
	}
}

void coordinator::apply_limits(const std::vector<routing::limit_update>& limits)
{
	const auto now = proxy::steady_now();
	for (const auto& limit : limits)
	{
		if (const auto replica = gateway_.replicas().find(limit.replica))
		{
			gateway_.load_limits().apply_peer_update(*replica, limit, now);
		}
	}
}

void coordinator::apply_suspects(const std::vector<quarantine::suspicion>& suspects)
{
	const auto now = proxy::steady_now();
	for (const auto& suspicion : suspects)
	{
		gateway_.suspects().merge(suspicion, suspicion.last_exit.value_or(now), now);
	}
	if (!suspects.empty())
	{
		on_suspicion();
	}
}

void coordinator::apply_suspensions(const std::vector<rollout::shift_suspension>& suspended)
{
	for (const auto& suspension : suspended)
	{
		gateway_.versions().on_suspension(suspension, proxy::steady_now());
	}
	if (!suspended.empty())
	{
		schedule_write();
	}
}

/// The VMs that report here are all of this failure domain; VMs of other failure domains are assumed to have
/// the same work in progress per VM.
void coordinator::update_remote_work(std::vector<routing::replica_work> work)
{
	const auto local_vms = std::count_if(
		vms_.begin(), vms_.end(), [this](const auto& entry) { return entry.second.domain == self_.domain; });
	const auto scale =
		local_vms == 0 ? 1.0 : static_cast<double>(vms_.size()) / static_cast<double>(local_vms);
	for (auto& entry : work)
	{
		entry.tokens *= scale;
		entry.requests *= scale;
	}
	gateway_.selector().set_remote_work(work, proxy::steady_now());
}

/// Each call is billed, and evidence only exists during a shift.
void coordinator::follow_evidence()
{
	if (!reads_registry_ || !gateway_.versions().is_shifting())
	{
		follows_evidence_ = false;
		evidence_timer_.cancel();
		evidence_follower_.stop();
		return;
	}
	if (std::exchange(follows_evidence_, true))
	{
		return;
	}
	evidence_timer_.expires_after(tuning_.evidence_delay);
	evidence_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error && follows_evidence_)
			{
				evidence_follower_.start();
			}
		});
}

void coordinator::on_evidence_rows(const std::vector<row>& rows)
{
	for (const auto& table_row : rows)
	{
		if (!table_row.removed)
		{
			on_evidence_row(table_row);
		}
	}
	schedule_write();
}

void coordinator::on_evidence_row(const row& table_row)
{
	const auto reporter = table_row.key.substr(table_row.key.rfind('/') + 1);
	if (reporter == reporter_)
	{
		return;
	}
	if (const auto evidence = read_evidence(table_row))
	{
		gateway_.versions().on_evidence(reporter, *evidence, proxy::steady_now());
	}
	else
	{
		log::write(
			log::level::error, "invalid version shift evidence", {{"findings", to_text(evidence.error())}});
	}
}
} // namespace gingerdyke::control
