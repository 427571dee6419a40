// SPDX-License-Identifier: MIT
// Connects the registry to the data path: what VMs tell one another, directly and through the evidence table.
#include <algorithm>
#include <gingerdyke/control/coordinator.hpp>
#include <gingerdyke/log/log.hpp>

namespace gingerdyke::control
{
shared_store_tuning coordinator::sharing_tuning() const
{
	auto tuning = tuning_.sharing;
	tuning.contact_table = layout_.operator_table;
	return tuning;
}

shared_store_hooks coordinator::store_hooks()
{
	shared_store_hooks hooks;
	hooks.report = [this](const std::string& table) { return report_with(table); };
	hooks.summarised = [this](const peer_summary& summary) { on_summary(summary); };
	hooks.moved = [this](bool reads_registry)
	{
		gateway_.versions().set_reads_registry(reads_registry);
		reads_registry_ = reads_registry;
		suspects_.note_reads_registry(reads_registry);
		suspects_.arm();
		follow_evidence();
		arm();
	};
	hooks.vouched = [this](const std::string& table, instant newest_at) { on_vouched(table, newest_at); };
	return hooks;
}

void coordinator::on_vouched(const std::string& table, instant newest_at)
{
	if (auto* follower = follower_of(table))
	{
		follower->vouch(newest_at);
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
	hooks.find = [this](const std::string& table)
	{
		const auto* follower = follower_of(table);
		return follower == nullptr ? nullptr : &follower->cache();
	};
	hooks.reads_registry = [this](const std::string& table) { return store_.reads_registry(table); };
	hooks.reported = [this](const peer_report& report) { on_report(report); };
	hooks.summarise = [this](const std::string& reporter) { return summary_for(reporter); };
	return hooks;
}

/// The operators' table is the one that is asked for most often.
std::optional<peer_report> coordinator::report_with(const std::string& table) const
{
	if (table != layout_.operator_table)
	{
		return std::nullopt;
	}
	const auto& versions = gateway_.versions();
	const auto now = proxy::steady_now();
	return peer_report{reporter_, gateway_.selector().open_work(), versions.own_evidence(),
		versions.suspensions(), gateway_.suspects().news(1, now), gateway_.announced().own_news(now)};
}

void coordinator::on_report(const peer_report& report)
{
	const auto now = proxy::steady_now();
	board_.take(report.reporter, report.work, now);
	note_work_of_others(board_.work_of_others(reporter_, now));
	for (const auto& one : report.evidence)
	{
		gateway_.versions().on_relayed_evidence(report.reporter, one, now);
	}
	take_suspensions(report.suspended);
	take_suspects(report.suspects);
	board_.take_limits(report.reporter, report.limits, now);
	take_limits(report.limits);
	if (!report.evidence.empty())
	{
		arm();
	}
}

peer_summary coordinator::summary_for(const std::string& reporter)
{
	const auto now = proxy::steady_now();
	board_.take(reporter_, gateway_.selector().open_work(), now);
	board_.take_limits(reporter_, gateway_.announced().own_news(now), now);
	// What stood beside one end only is for the VMs that sum up.
	constexpr std::size_t least_ended = 2;
	return {board_.work_of_others(reporter, now), gateway_.versions().suspensions(),
		gateway_.suspects().news(least_ended, now), board_.limits_of_others(reporter, now)};
}

void coordinator::on_summary(const peer_summary& summary)
{
	note_work_of_others(summary.work);
	take_suspensions(summary.suspended);
	take_suspects(summary.suspects);
	take_limits(summary.limits);
}

void coordinator::take_limits(const std::vector<routing::limit_news>& limits)
{
	const auto now = proxy::steady_now();
	for (const auto& heard : limits)
	{
		if (const auto of = gateway_.replicas().find(heard.replica))
		{
			gateway_.announced().note_elsewhere(*of, heard, now);
		}
	}
}

void coordinator::take_suspects(const std::vector<quarantine::suspicion>& suspects)
{
	const auto now = proxy::steady_now();
	for (const auto& one : suspects)
	{
		gateway_.suspects().merge(one, now, now);
	}
	if (!suspects.empty())
	{
		suspects_.arm();
	}
}

void coordinator::take_suspensions(const std::vector<rollout::shift_suspension>& suspended)
{
	for (const auto& one : suspended)
	{
		gateway_.versions().on_suspension(one, proxy::steady_now());
	}
	if (!suspended.empty())
	{
		arm();
	}
}

/// Those that report here are of one failure domain; the others have about as much work open for each VM.
void coordinator::note_work_of_others(std::vector<routing::replica_work> work)
{
	const auto near = std::count_if(
		vms_.begin(), vms_.end(), [this](const auto& entry) { return entry.second.domain == self_.domain; });
	const auto scale = near == 0 ? 1.0 : static_cast<double>(vms_.size()) / static_cast<double>(near);
	for (auto& one : work)
	{
		one.tokens *= scale;
	}
	gateway_.selector().note_elsewhere(work, proxy::steady_now());
}

/// Each call is priced, and evidence is only there while a shift runs.
void coordinator::follow_evidence()
{
	if (!reads_registry_ || !gateway_.versions().is_shifting())
	{
		follows_evidence_ = false;
		evidence_timer_.cancel();
		evidence_.stop();
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
				evidence_.start();
			}
		});
}

void coordinator::on_evidence_rows(const std::vector<row>& rows)
{
	for (const auto& one : rows)
	{
		if (!one.removed)
		{
			on_evidence_row(one);
		}
	}
	arm();
}

void coordinator::on_evidence_row(const row& one)
{
	const auto reporter = one.key.substr(one.key.rfind('/') + 1);
	if (reporter == reporter_)
	{
		return;
	}
	if (const auto evidence = read_evidence(one))
	{
		gateway_.versions().on_evidence(reporter, *evidence, proxy::steady_now());
	}
	else
	{
		log::write(log::level::error, "evidence not understood", {{"findings", to_text(evidence.error())}});
	}
}
} // namespace gingerdyke::control
