// SPDX-License-Identifier: MIT
// VMs that compete for the lease of a duty, in virtual time.
#include "duty_world.hpp"

#include <algorithm>

namespace gingerdyke::test
{
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t vm_count = 3;
constexpr duration tick_interval = milliseconds{130};
constexpr duration report_window = seconds{1};

usage::report_tuning reporting()
{
	usage::report_tuning tuning;
	tuning.window_length = report_window;
	tuning.due_after = seconds{4};
	tuning.collecting_share = 0.3;
	return tuning;
}
} // namespace

duty_world::duty_world(std::uint64_t seed, duty_faults faults, duty::lease_tuning tuning)
	: random_(seeded_random{seed}), faults_(faults), tuning_(tuning), vms_(vm_count)
{
}

duration duty_world::between(duration low, duration high)
{
	return low + scaled(high - low, random_unit(random_));
}

void duty_world::after(duration delay, std::function<void()> run)
{
	events_.push({now_ + delay, next_number_++, std::move(run)});
}

/// Runs something at a VM: after its pause, and not at all if its process has ended.
void duty_world::at_vm(std::size_t vm, unsigned process, duration delay, std::function<void()> run)
{
	after(delay,
		[this, vm, process, run = std::move(run)]
		{
			const auto& state = vms_[vm];
			if (state.process != process || now_ < state.down_until)
			{
				return;
			}
			if (now_ < state.paused_until)
			{
				at_vm(vm, process, state.paused_until - now_, run);
				return;
			}
			run();
		});
}

instant duty_world::local_now(std::size_t vm) const
{
	constexpr duration offset = seconds{1000};
	return instant{offset + scaled(now_, vms_[vm].clock_rate)};
}

void duty_world::start(std::size_t vm)
{
	auto& state = vms_[vm];
	state.name = "vm-" + std::to_string(vm);
	++state.process;
	state.stopping = false;
	state.call_in_flight = false;
	state.report_version = {};
	const duty::lease_holder self{vm_id{state.name}, std::to_string(state.process)};
	state.lease = std::make_unique<duty::lease>(self, tuning_);
	state.lease->set_eligible(true, milliseconds{200} * vm);
	state.reports = std::make_unique<usage::report_schedule>(reporting());
	tick(vm, state.process);
}

void duty_world::tick(std::size_t vm, unsigned process)
{
	auto& state = vms_[vm];
	if (chance(0.5))
	{
		read(vm);
	}
	act(vm);
	if (auto due = state.lease->start_write(local_now(vm), !state.call_in_flight))
	{
		write(vm, *due, std::nullopt);
	}
	at_vm(vm, process, between(tick_interval / 2, tick_interval * 3 / 2),
		[this, vm, process] { tick(vm, process); });
}

void duty_world::draw_fault()
{
	after(between(milliseconds{200}, seconds{2}), [this] { draw_fault(); });
	const auto vm = random_below(random_, vm_count);
	auto& state = vms_[vm];
	const auto length = between(milliseconds{100}, seconds{5});
	switch (random_below(random_, 6))
	{
	case 0:
		state.paused_until = faults_.pauses ? now_ + length : duration{};
		break;
	case 1:
		if (faults_.kills)
		{
			state.down_until = now_ + length;
			after(length, [this, vm] { start(vm); });
		}
		break;
	case 2:
		registry_down_until_ = faults_.outages ? now_ + length : duration{};
		break;
	case 3:
		receiver_down_until_ = faults_.outages ? now_ + length : duration{};
		break;
	case 4:
		if (faults_.stops)
		{
			state.stopping = !state.stopping;
			state.lease->set_eligible(!state.stopping, milliseconds{200} * vm);
		}
		break;
	default:
		break;
	}
}

void duty_world::read(std::size_t vm)
{
	const auto process = vms_[vm].process;
	after(between(milliseconds{1}, milliseconds{40}),
		[this, vm, process]
		{
			if (now_ < registry_down_until_ || (faults_.losses && chance(0.05)))
			{
				return;
			}
			at_vm(vm, process, between(milliseconds{1}, milliseconds{300}),
				[this, vm, read = registry_] { apply(vm, read); });
		});
}

void duty_world::apply(std::size_t vm, const stored_state& read)
{
	auto& state = vms_[vm];
	state.lease->observe(read.lease, local_now(vm));
	state.report_version = std::max(state.report_version, read.report_version);
	if (read.report)
	{
		state.reports->on_stored(*read.report);
	}
}

void duty_world::write(
	std::size_t vm, const duty::lease_write& write, const std::optional<usage::usage_report>& report)
{
	const auto process = vms_[vm].process;
	const auto expected_report = vms_[vm].report_version;
	const bool is_late = faults_.late_calls && chance(0.05);
	const bool is_lost = faults_.losses && chance(0.05);
	const auto delay =
		is_late ? between(milliseconds{100}, seconds{6}) : between(milliseconds{1}, milliseconds{60});
	const auto timeout = milliseconds{900};
	// Each write has one outcome: its response or, once that is overdue, a failure.
	const auto is_open = std::make_shared<bool>(true);
	after(delay,
		[=, this]
		{
			const bool is_down = now_ < registry_down_until_ && !is_late;
			if (is_down || is_lost)
			{
				return;
			}
			const auto version = registry_.lease ? registry_.lease->version : duty::row_version{};
			const bool committed =
				version == write.expected && (!report || registry_.report_version == expected_report);
			if (committed)
			{
				registry_.lease = write.record;
				registry_.lease->version = duty::row_version{++version_};
				if (report)
				{
					registry_.report = report;
					registry_.report_version = duty::row_version{version_};
				}
			}
			const auto response_delay = between(milliseconds{1}, milliseconds{60});
			if (delay + response_delay >= timeout || (faults_.losses && chance(0.05)))
			{
				return;
			}
			at_vm(vm, process, response_delay,
				[this, vm, committed, is_open, now_stored = registry_]
				{
					if (std::exchange(*is_open, false))
					{
						on_written(vm, committed, now_stored);
					}
				});
		});
	at_vm(vm, process, timeout,
		[this, vm, is_open]
		{
			if (std::exchange(*is_open, false))
			{
				vms_[vm].lease->on_failure(local_now(vm));
			}
		});
}

void duty_world::on_written(std::size_t vm, bool committed, const stored_state& now_stored)
{
	auto& state = vms_[vm];
	if (committed)
	{
		state.lease->on_committed(now_stored.lease->version, local_now(vm));
	}
	else
	{
		state.lease->on_conflict(now_stored.lease, local_now(vm));
	}
	apply(vm, now_stored);
	act(vm);
}

void duty_world::act(std::size_t vm)
{
	auto& state = vms_[vm];
	if (!state.lease->may_act(local_now(vm)) || state.call_in_flight)
	{
		return;
	}
	const auto unix_now = now_;
	if (const auto report = state.reports->to_send(unix_now))
	{
		send(vm, state.lease->token(), *report);
		return;
	}
	if (const auto window = state.reports->to_store(unix_now))
	{
		if (auto renewal = state.lease->start_renewal(local_now(vm)))
		{
			// Each VM counts differently; only what is stored first may be reported.
			usage::usage_report report{*window, {{workspace_id{"w"}, random_below(random_, 1000)}}};
			write(vm, *renewal, report);
		}
	}
}

void duty_world::send(std::size_t vm, epoch token, const usage::usage_report& report)
{
	auto& state = vms_[vm];
	state.call_in_flight = true;
	const auto process = state.process;
	const auto delay = between(milliseconds{1}, scaled(tuning_.call_limit, 0.9));
	const bool is_lost = faults_.losses && chance(0.1);
	after(delay,
		[=, this]
		{
			if (now_ < receiver_down_until_ || is_lost)
			{
				return;
			}
			arrive(vm, token, report);
			if (!faults_.losses || !chance(0.1))
			{
				at_vm(vm, process, milliseconds{2},
					[this, vm, window = report.window]
					{
						vms_[vm].reports->on_acknowledged(window);
						vms_[vm].call_in_flight = false;
					});
			}
		});
	at_vm(vm, process, tuning_.call_limit, [this, vm] { vms_[vm].call_in_flight = false; });
}

void duty_world::arrive(std::size_t vm, epoch token, const usage::usage_report& report)
{
	++violations_.calls;
	const auto owner = owner_of_token_.emplace(token.value(), vm).first->second;
	violations_.shared_tokens += owner != vm ? 1 : 0;
	violations_.lower_tokens += token < highest_token_ ? 1 : 0;
	highest_token_ = std::max(highest_token_, token);
	const auto accepted = accepted_.emplace(report.window.value(), report.counts).first->second;
	violations_.differing_reports += accepted != report.counts ? 1 : 0;
	check_order({now_, vm, token});
}

/// Counts a call whose VM called, then another VM, and now again, all within the term.
void duty_world::check_order(const arrived_call& call)
{
	bool other_seen = false;
	for (auto earlier = calls_.rbegin(); earlier != calls_.rend(); ++earlier)
	{
		if (call.at - earlier->at >= tuning_.term)
		{
			break;
		}
		other_seen = other_seen || earlier->vm != call.vm;
		if (other_seen && earlier->vm == call.vm)
		{
			++violations_.returned_early;
			break;
		}
	}
	calls_.push_back(call);
}

duty_violations duty_world::run(duration length)
{
	for (std::size_t vm = 0; vm < vms_.size(); ++vm)
	{
		// Speeds differ by less than the drift that is allowed for.
		vms_[vm].clock_rate = 1 + (random_unit(random_) - 0.5) * tuning_.max_clock_drift * 0.9;
		at_vm(vm, 0, between(duration{0}, milliseconds{300}), [this, vm] { start(vm); });
	}
	after(milliseconds{500}, [this] { draw_fault(); });
	while (!events_.empty() && events_.top().at < length)
	{
		const auto next = events_.top();
		events_.pop();
		now_ = next.at;
		next.run();
	}
	violations_.holders = static_cast<unsigned>(owner_of_token_.size());
	violations_.reports = static_cast<unsigned>(accepted_.size());
	return violations_;
}
} // namespace gingerdyke::test
