// SPDX-License-Identifier: MIT
// Counts, collects and reports usage.
#include <algorithm>
#include <gingerdyke/control/row_json.hpp>
#include <gingerdyke/control/usage_host.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/metrics/text_format.hpp>

namespace gingerdyke::control
{
using usage::end_of;
using usage::unix_time;
using usage::usage_report;
using usage::window_at;
using usage::window_index;

namespace
{
/// The VM's own time of day; only its offset from the registry's clock is used.
unix_time own_time()
{
	return std::chrono::duration_cast<unix_time>(std::chrono::system_clock::now().time_since_epoch());
}
} // namespace

std::string write_usage_report(const usage_report& report)
{
	json counts = json::object();
	for (const auto& [workspace, requests] : report.counts)
	{
		counts[workspace.str()] = requests;
	}
	return json{{"window", report.window.value()}, {"counts", counts}}.dump();
}

checked<usage_report> read_usage_report(const row& from)
{
	return parse_row_value<usage_report>(from,
		[](const json& value) -> checked<usage_report>
		{
			usage_report report{window_index{value.at("window").get<std::int64_t>()}, {}};
			for (const auto& [workspace, requests] : value.at("counts").items())
			{
				report.counts[workspace_id{workspace}] = requests.get<std::uint64_t>();
			}
			return report;
		});
}

std::string write_collected_usage(const std::vector<usage::reported_usage>& collected)
{
	json reporters = json::object();
	for (const auto& reported : collected)
	{
		json cells = json::array();
		for (const auto& cell : reported.cells)
		{
			cells.push_back({cell.window.value(), cell.workspace.str(), cell.requests});
		}
		reporters[reported.reporter] = std::move(cells);
	}
	return reporters.dump();
}

checked<std::vector<usage::reported_usage>> read_collected_usage(const row& from)
{
	using collected_usage = std::vector<usage::reported_usage>;
	return parse_row_value<collected_usage>(from,
		[](const json& value) -> checked<collected_usage>
		{
			collected_usage collected;
			for (const auto& [reporter, cells] : value.items())
			{
				auto& reported = collected.emplace_back();
				reported.reporter = reporter;
				for (const auto& cell : cells)
				{
					reported.cells.push_back({window_index{cell.at(0).get<std::int64_t>()},
						workspace_id{cell.at(1).get<std::string>()}, cell.at(2).get<std::uint64_t>()});
				}
			}
			return collected;
		});
}

usage_host::usage_host(proxy::asio::io_context& context, row_store& registry, duty_receiver& receiver,
	lease_keeper& lease, usage_host_settings settings)
	: registry_(registry), receiver_(receiver), lease_(lease), settings_(std::move(settings)),
	  reports_(settings_.reporting), storing_timer_(context), acting_timer_(context)
{
}

void usage_host::record_started(const workspace_id& workspace)
{
	const auto now = proxy::steady_now();
	clock_.record_own_time(own_time(), now);
	const auto time = clock_.time(now);
	if (!time)
	{
		log::write(log::level::warn, "usage not counted, time unknown", {{"workspace", workspace.str()}});
		return;
	}
	++counted_requests_;
	board_.add(settings_.reporter, workspace, window_at(*time, settings_.reporting.window_length));
}

void usage_host::record_registry_time(registry_time at)
{
	const auto now = proxy::steady_now();
	clock_.record_registry_time(at, now);
	clock_.record_own_time(own_time(), now);
	if (reads_registry_)
	{
		if (const auto offset = clock_.median_offset(now))
		{
			clock_.set_agreed_offset(*offset);
		}
	}
	if (const auto time = clock_.time(now))
	{
		forget_old(*time);
	}
}

/// Counts are kept as long as their window's report can still arrive in time.
void usage_host::forget_old(unix_time now)
{
	board_.forget_before(reports_.oldest_due(now));
}

void usage_host::set_reads_registry(bool reads_registry)
{
	if (std::exchange(reads_registry_, reads_registry) != reads_registry)
	{
		schedule_storing();
	}
}

/// Counts of windows that are stored are not reported again; those of the window in progress change.
void usage_host::extend_report(peer_report& report)
{
	report.clock_offset = clock_.own_offset();
	const auto now = proxy::steady_now();
	if (now - reported_at_ < settings_.min_report_interval)
	{
		return;
	}
	reported_at_ = now;
	report.usage = board_.cells_of(settings_.reporter);
	std::erase_if(
		report.usage, [this](const usage::usage_cell& cell) { return cell.window < stored_before_; });
}

void usage_host::on_report(const peer_report& report)
{
	board_.merge({report.reporter, report.usage});
	if (report.clock_offset)
	{
		clock_.record_offset(report.reporter, *report.clock_offset, proxy::steady_now());
	}
}

void usage_host::extend_summary(peer_summary& summary)
{
	if (reads_registry_)
	{
		summary.usage_stored_before = stored_before_;
	}
	summary.clock_offset = clock_.median_offset(proxy::steady_now());
}

void usage_host::on_summary(const peer_summary& summary)
{
	if (summary.usage_stored_before)
	{
		stored_before_ = std::max(stored_before_, *summary.usage_stored_before);
	}
	if (summary.clock_offset)
	{
		clock_.set_agreed_offset(*summary.clock_offset);
	}
}

/// Windows before the returned one have ended long enough ago that all VMs have reported them.
window_index usage_host::storable_before(unix_time now) const
{
	const auto wait = scaled(settings_.reporting.due_after, settings_.storing_share);
	return window_at(now - wait, settings_.reporting.window_length);
}

/// A VM that has just begun to read the registry stores soon what its predecessor may not have stored, but
/// not before the others have reported to it.
void usage_host::schedule_storing()
{
	const auto now = clock_.time(proxy::steady_now());
	if (!reads_registry_)
	{
		storing_timer_.cancel();
		return;
	}
	auto pause = settings_.first_storing_delay;
	if (now && storable_before(*now) <= stored_before_)
	{
		const auto wait = scaled(settings_.reporting.due_after, settings_.storing_share);
		pause = end_of(storable_before(*now), settings_.reporting.window_length) + wait - *now;
	}
	store_after(std::max(pause, settings_.retry_delay));
}

void usage_host::store_after(duration pause)
{
	storing_timer_.expires_after(pause);
	storing_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				store_collected();
			}
		});
}

void usage_host::store_collected()
{
	const auto now = clock_.time(proxy::steady_now());
	if (!now || !reads_registry_ || storable_before(*now) <= stored_before_)
	{
		schedule_storing();
		return;
	}
	const auto before = storable_before(*now);
	forget_old(*now);
	row_change change;
	change.puts.push_back({settings_.usage_table, settings_.vm.str(), write_collected_usage(board_.all())});
	registry_.change(change,
		[this, before](const store_result<change_result>& result)
		{
			if (result)
			{
				stored_before_ = std::max(stored_before_, before);
				schedule_storing();
				return;
			}
			log::write(log::level::warn, "collected usage not stored",
				{{"before_window", before.value()}, {"why", name_of(result.error())}});
			store_after(settings_.retry_delay);
		});
}

void usage_host::on_lease_taken()
{
	knows_stored_report_ = false;
}

/// The report that a predecessor stored has to be known before another is made: it may have been sent.
void usage_host::read_stored_report()
{
	is_busy_ = true;
	registry_.read_all(settings_.duty_table,
		[this](const store_result<row_batch>& result)
		{
			is_busy_ = false;
			if (!result)
			{
				act_after(settings_.retry_delay);
				return;
			}
			for (const auto& table_row : result->rows)
			{
				if (table_row.key != usage_report_key || table_row.removed)
				{
					continue;
				}
				const auto stored = read_usage_report(table_row);
				if (!stored)
				{
					log::write(
						log::level::error, "invalid usage report", {{"findings", to_text(stored.error())}});
					continue;
				}
				reports_.on_stored(*stored);
			}
			knows_stored_report_ = true;
			act();
		});
}

void usage_host::act()
{
	const auto now = clock_.time(proxy::steady_now());
	if (is_busy_ || !now || !lease_.may_act())
	{
		return;
	}
	if (!knows_stored_report_)
	{
		read_stored_report();
		return;
	}
	if (const auto report = reports_.to_send(*now))
	{
		send(*report);
		return;
	}
	if (const auto window = reports_.to_store(*now))
	{
		collect(*window);
		return;
	}
	act_at(reports_.next_store_at(*now), *now);
}

/// Reads what all VMs collected, then stores the report.
void usage_host::collect(window_index window)
{
	is_busy_ = true;
	registry_.read_all(settings_.usage_table,
		[this, window](const store_result<row_batch>& result)
		{
			is_busy_ = false;
			if (!result)
			{
				act_after(settings_.retry_delay);
				return;
			}
			for (const auto& table_row : result->rows)
			{
				const auto collected = read_collected_usage(table_row);
				if (!collected)
				{
					log::write(log::level::error, "invalid collected usage",
						{{"findings", to_text(collected.error())}});
					continue;
				}
				for (const auto& reported : *collected)
				{
					board_.merge(reported);
				}
			}
			store(window);
		});
}

void usage_host::store(window_index window)
{
	const usage_report report{window, board_.totals(window)};
	if (!lease_.may_act())
	{
		return;
	}
	const bool started =
		lease_.write_with({{settings_.duty_table, usage_report_key, write_usage_report(report)}},
			[this, report](bool committed)
			{
				is_busy_ = false;
				if (!committed)
				{
					// It may have been stored all the same.
					knows_stored_report_ = false;
					act_after(settings_.retry_delay);
					return;
				}
				reports_.on_stored(report);
				act();
			});
	is_busy_ = started;
	if (!started)
	{
		act_after(settings_.retry_delay);
	}
}

void usage_host::send(const usage_report& report)
{
	is_busy_ = true;
	lease_.record_call_started();
	receiver_.report_usage({settings_.vm, lease_.token()}, report,
		[this, report](duty_outcome outcome) { on_sent(report, outcome); });
}

void usage_host::on_sent(const usage_report& report, duty_outcome outcome)
{
	is_busy_ = false;
	lease_.record_call_ended();
	std::uint64_t requests = 0;
	for (const auto& [workspace, count] : report.counts)
	{
		requests += count;
	}
	log::write(outcome == duty_outcome::accepted ? log::level::info : log::level::warn, "usage reported",
		{{"window", report.window.value()}, {"requests", requests}, {"workspaces", report.counts.size()},
			{"outcome", name_of(outcome)}});
	if (outcome == duty_outcome::rejected)
	{
		lease_.on_token_rejected();
		return;
	}
	if (outcome == duty_outcome::accepted)
	{
		++reported_windows_;
		reports_.on_acknowledged(report.window);
		act();
		return;
	}
	act_after(settings_.retry_delay);
}

void usage_host::act_after(duration pause)
{
	acting_timer_.expires_after(pause);
	acting_timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				act();
			}
		});
}

void usage_host::act_at(unix_time at, unix_time now)
{
	act_after(std::max(at - now, duration{0}));
}

void usage_host::stop()
{
	storing_timer_.cancel();
	acting_timer_.cancel();
}

void usage_host::write_metrics(std::ostream& out) const
{
	metrics::write_header(out, "gingerdyke_usage_requests_total", "counter",
		"Requests that began running, as counted by this VM.");
	out << "gingerdyke_usage_requests_total " << counted_requests_ << "\n";
	metrics::write_header(out, "gingerdyke_usage_windows_reported_total", "counter",
		"Windows whose usage this VM reported as holder of the duty.");
	out << "gingerdyke_usage_windows_reported_total " << reported_windows_ << "\n";
}
} // namespace gingerdyke::control
