// SPDX-License-Identifier: MIT
// Keeps the lease of one duty.
#include <algorithm>
#include <gingerdyke/control/lease_keeper.hpp>
#include <gingerdyke/control/row_json.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/metrics/text_format.hpp>

namespace gingerdyke::control
{
std::string write_lease(const duty::lease_record& record)
{
	return json{{"vm", record.holder.vm.str()}, {"process", record.holder.process},
		{"token", record.token.value()}, {"released", record.is_released}}
		.dump();
}

checked<duty::lease_record> read_lease(const row& from)
{
	return parse_row_value<duty::lease_record>(from,
		[&](const json& value) -> checked<duty::lease_record>
		{
			duty::lease_record record;
			record.holder = {
				vm_id{value.at("vm").get<std::string>()}, value.at("process").get<std::string>()};
			record.token = epoch{value.at("token").get<std::int64_t>()};
			record.is_released = value.at("released").get<bool>();
			record.version = from.version;
			return record;
		});
}

lease_keeper::lease_keeper(proxy::asio::io_context& context, row_store& registry, std::string table,
	std::string duty, duty::lease_holder self, duty::lease_tuning tuning, lease_keeper_hooks hooks)
	: registry_(registry), table_(std::move(table)), duty_(std::move(duty)), self_(std::move(self)),
	  lease_(self_, tuning), hooks_(std::move(hooks)), timer_(context)
{
}

std::string lease_keeper::key() const
{
	return std::string{lease_key_prefix} + duty_;
}

void lease_keeper::set_eligible(bool is_eligible, duration takeover_delay)
{
	is_wanted_ = is_eligible;
	takeover_delay_ = takeover_delay;
	schedule();
}

void lease_keeper::update_eligibility()
{
	lease_.set_eligible(is_wanted_ && !lateness_.is_slow(proxy::steady_now()), takeover_delay_);
}

void lease_keeper::on_rows(const std::vector<row>& rows)
{
	const auto own_key = key();
	for (const auto& table_row : rows)
	{
		if (table_row.key != own_key || table_row.removed)
		{
			continue;
		}
		if (const auto record = read_lease(table_row))
		{
			lease_.observe(*record, proxy::steady_now());
		}
		else
		{
			log::write(log::level::error, "invalid lease", {{"findings", to_text(record.error())}});
		}
	}
	log_change();
	schedule();
}

void lease_keeper::on_table(const std::vector<row>& rows)
{
	const auto own_key = key();
	const bool exists = std::any_of(rows.begin(), rows.end(),
		[&](const row& table_row) { return table_row.key == own_key && !table_row.removed; });
	if (!exists)
	{
		lease_.observe(std::nullopt, proxy::steady_now());
	}
	on_rows(rows);
}

bool lease_keeper::may_act() const
{
	return lease_.may_act(proxy::steady_now());
}

void lease_keeper::record_call_ended()
{
	--calls_in_flight_;
	schedule();
}

void lease_keeper::on_token_rejected()
{
	lease_.on_token_rejected(proxy::steady_now());
	log_change();
	schedule();
}

void lease_keeper::schedule()
{
	update_eligibility();
	const auto next = lease_.next_write_at();
	if (!next || stopped_)
	{
		timer_.cancel();
		return;
	}
	const auto now = proxy::steady_now();
	const auto due = std::max(*next, now);
	timer_.expires_after(due - now);
	timer_.async_wait(
		[this, due](const proxy::error_code& error)
		{
			if (!error)
			{
				on_timer(due);
			}
		});
}

void lease_keeper::on_timer(instant due)
{
	const auto now = proxy::steady_now();
	lateness_.record(now - due, now);
	update_eligibility();
	start_due_write();
}

void lease_keeper::start_due_write()
{
	if (const auto due = lease_.start_write(proxy::steady_now(), calls_in_flight_ == 0))
	{
		write(*due, {}, {});
		return;
	}
	schedule();
}

bool lease_keeper::write_with(std::vector<row_change::put> rows, std::function<void(bool committed)> done)
{
	const auto renewal = lease_.start_renewal(proxy::steady_now());
	if (!renewal)
	{
		return false;
	}
	write(*renewal, std::move(rows), std::move(done));
	return true;
}

void lease_keeper::write(
	const duty::lease_write& due, std::vector<row_change::put> rows, std::function<void(bool committed)> done)
{
	row_change change;
	change.conditions.push_back({table_, key(), due.expected});
	change.puts.push_back({table_, key(), write_lease(due.record)});
	change.puts.insert(change.puts.end(), rows.begin(), rows.end());
	registry_.change(change,
		[this, due, done = std::move(done)](const store_result<change_result>& result)
		{
			on_written(due, result);
			if (done)
			{
				done(result && result->committed);
			}
		});
}

void lease_keeper::on_written(const duty::lease_write& written, const store_result<change_result>& result)
{
	const auto now = proxy::steady_now();
	const bool was_taken = lease_.holds_token() && lease_.token() == written.record.token;
	if (!result)
	{
		log::write(log::level::warn, "lease write not confirmed",
			{{"duty", duty_}, {"token", written.record.token.value()}, {"why", name_of(result.error())}});
		lease_.on_failure(now);
	}
	else if (result->committed)
	{
		lease_.on_committed(result->newest, now);
	}
	else
	{
		const auto current =
			result->rows.empty() ? std::nullopt : std::optional{read_lease(result->rows.front())};
		lease_.on_conflict(current && *current ? std::optional{**current} : std::nullopt, now);
	}
	log_change();
	schedule();
	const bool is_taken = lease_.holds_token() && lease_.token() == written.record.token;
	if (is_taken && !was_taken && hooks_.taken)
	{
		hooks_.taken();
	}
	if (hooks_.may_act)
	{
		hooks_.may_act();
	}
}

void lease_keeper::log_change()
{
	const auto held = lease_.holds_token() ? std::optional{lease_.token()} : std::nullopt;
	if (held == logged_token_)
	{
		return;
	}
	if (held)
	{
		log::write(log::level::info, "lease taken", {{"duty", duty_}, {"token", held->value()}});
	}
	else
	{
		log::write(log::level::info, "lease given up", {{"duty", duty_}, {"token", logged_token_->value()}});
	}
	logged_token_ = held;
}

void lease_keeper::stop()
{
	stopped_ = true;
	timer_.cancel();
}

void lease_keeper::write_metrics(std::ostream& out) const
{
	const auto now = proxy::steady_now();
	out << "gingerdyke_duty_held{" << metrics::write_label("duty", duty_) << "} "
		<< (lease_.is_held(now) ? 1 : 0) << "\n";
}
} // namespace gingerdyke::control
