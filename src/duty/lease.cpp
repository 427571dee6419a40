// SPDX-License-Identifier: MIT
// Lease of a duty.
#include <algorithm>
#include <gingerdyke/duty/lease.hpp>
#include <utility>

namespace gingerdyke::duty
{
lease::lease(lease_holder self, lease_tuning tuning) : self_(std::move(self)), tuning_(tuning) {}

void lease::set_eligible(bool is_eligible, duration takeover_delay)
{
	is_eligible_ = is_eligible;
	takeover_delay_ = takeover_delay;
}

void lease::observe(const std::optional<lease_record>& current, instant received_at)
{
	if (!std::exchange(is_loaded_, true))
	{
		version_seen_at_ = received_at;
	}
	if (!current || (known_ && current->version <= known_->version))
	{
		return;
	}
	if (!known_ || known_->token != current->token)
	{
		token_seen_at_ = received_at;
	}
	known_ = current;
	version_seen_at_ = received_at;
	if (!is_own(*current) || current->is_released || is_rejected(current->token))
	{
		held_.reset();
		return;
	}
	adopt(*current, received_at);
}

/// The row names this process: a write whose response was lost has been committed. When that happened is
/// unknown, so it doesn't extend the time to act; the next renewal does.
void lease::adopt(const lease_record& own, instant now)
{
	if (held_ && held_->token == own.token)
	{
		held_->version = own.version;
		return;
	}
	held_ = holding{own.token, own.version, now + tuning_.settling_time, now, now};
}

duration lease::validity() const
{
	return scaled(tuning_.term, 1 - tuning_.max_clock_drift) - tuning_.call_limit;
}

/// A released lease may be taken at once unless its token is new: otherwise VMs that stop one after the other
/// could pass it to and fro within one term.
instant lease::free_at() const
{
	if (!known_)
	{
		return version_seen_at_ + takeover_delay_;
	}
	const auto expiry = scaled(tuning_.term, 1 + tuning_.max_clock_drift);
	const auto since = known_->is_released ? token_seen_at_ : version_seen_at_;
	return std::max(since + expiry, version_seen_at_) + takeover_delay_;
}

std::optional<instant> lease::next_write_at() const
{
	if (pending_ || !is_loaded_)
	{
		return std::nullopt;
	}
	if (held_)
	{
		return std::max(is_eligible_ ? held_->renew_at : retry_at_, retry_at_);
	}
	if (!is_eligible_)
	{
		return std::nullopt;
	}
	return std::max(free_at(), retry_at_);
}

lease_record lease::record(epoch token, bool is_released) const
{
	return {self_, token, is_released, {}};
}

lease_write lease::start(lease_record next, row_version expected, instant now)
{
	lease_write write{std::move(next), expected};
	pending_ = pending_write{write, now};
	return write;
}

std::optional<lease_write> lease::start_write(instant now, bool may_release)
{
	const auto due = next_write_at();
	if (!due || now < *due)
	{
		return std::nullopt;
	}
	if (held_ && !is_eligible_)
	{
		return start_release(now, may_release);
	}
	if (held_)
	{
		return start(record(held_->token, false), held_->version, now);
	}
	const auto last_token = known_ ? known_->token : epoch{};
	return start(record(last_token + epoch{1}, false), known_ ? known_->version : row_version{}, now);
}

/// From here on this VM doesn't act under the token, unless a later renewal succeeds: that one would show
/// that the release has not been committed, and it could not be any more.
std::optional<lease_write> lease::start_release(instant now, bool may_release)
{
	if (!may_release)
	{
		retry_at_ = now + tuning_.retry_delay;
		return std::nullopt;
	}
	held_->act_until = std::min(held_->act_until, now);
	return start(record(held_->token, true), held_->version, now);
}

std::optional<lease_write> lease::start_renewal(instant now)
{
	if (pending_ || !held_)
	{
		return std::nullopt;
	}
	return start(record(held_->token, false), held_->version, now);
}

void lease::on_committed(row_version version, instant now)
{
	if (!pending_)
	{
		return;
	}
	auto written = pending_->write.record;
	written.version = version;
	const auto sent_at = pending_->sent_at;
	pending_.reset();
	if (!known_ || known_->token != written.token)
	{
		token_seen_at_ = now;
	}
	known_ = written;
	version_seen_at_ = now;
	if (written.is_released || is_rejected(written.token))
	{
		held_.reset();
		return;
	}
	const bool is_taken = !held_ || held_->token != written.token;
	const auto act_from = is_taken ? now + tuning_.settling_time : held_->act_from;
	held_ =
		holding{written.token, version, act_from, sent_at + validity(), sent_at + tuning_.renewal_interval};
}

void lease::on_conflict(const std::optional<lease_record>& current, instant now)
{
	pending_.reset();
	retry_at_ = now + tuning_.retry_delay;
	// The row differs from the known one, whatever the order of their versions: a committed write is answered
	// with the registry's newest version, which may be that of a later write to another row.
	known_.reset();
	held_ = current && is_own(*current) ? held_ : std::nullopt;
	observe(current, now);
}

void lease::on_failure(instant now)
{
	pending_.reset();
	retry_at_ = now + tuning_.retry_delay;
}

void lease::on_token_rejected(instant now)
{
	rejected_token_ = held_ ? held_->token : rejected_token_;
	held_.reset();
	retry_at_ = now + tuning_.term;
}

bool lease::is_held(instant now) const
{
	return held_ && now < held_->act_until;
}

bool lease::may_act(instant now) const
{
	return is_held(now) && held_->act_from <= now && is_eligible_;
}
} // namespace gingerdyke::duty
