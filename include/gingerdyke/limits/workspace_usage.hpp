// SPDX-License-Identifier: MIT
// Tells which requests of a workspace are beyond what it usually sends.
#pragma once

#include <algorithm>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/limits/decayed_rate.hpp>
#include <map>

namespace gingerdyke::limits
{
/// \brief Tuning of `workspace_usage`.
struct workspace_usage_tuning
{
	/// Times over which the present and the usual rate of a workspace are averaged.
	duration present = std::chrono::seconds{1};
	duration usual = std::chrono::seconds{20};

	/// Requests beyond this multiple of the usual rate are excess: callers vary by less from one second to
	/// the next.
	double usual_multiple = 2;

	/// Requests in the present time that are never excess: a few coincide by chance.
	double min_requests = 4;

	/// Time without a request after which a workspace is forgotten: several times that of the usual rate.
	duration unused_time = std::chrono::seconds{120};
};

/// \brief Tracks the rates of workspaces at this VM.
class workspace_usage
{
  public:
	explicit workspace_usage(workspace_usage_tuning tuning = {}) : tuning_(tuning) {}

	/// \brief Records a request.
	/// \returns Whether it is beyond the usual rate of its workspace.
	[[nodiscard]] bool record(const workspace_id& workspace, instant now)
	{
		drop_unused(now);
		const workspace_rates unused{decayed_rate{tuning_.present}, decayed_rate{tuning_.usual}, now, now};
		auto& rates = rates_.try_emplace(workspace, unused).first->second;
		rates.used_at = now;
		rates.present.add(1, now);
		const bool is_excess = is_beyond(rates, now);
		// A workspace that sends more for good is granted more with time.
		rates.usual.add(is_excess ? 0 : 1, now);
		return is_excess;
	}

	/// \brief Number of workspaces whose rates are kept.
	[[nodiscard]] std::size_t tracked() const noexcept { return rates_.size(); }

  private:
	struct workspace_rates
	{
		decayed_rate present;
		decayed_rate usual;
		instant first_at;
		instant used_at;

		/// Part of a request by which the excess is more than was told so far.
		double credit = 0;
	};

	void drop_unused(instant now)
	{
		if (now - dropped_at_ < tuning_.unused_time)
		{
			return;
		}
		dropped_at_ = now;
		std::erase_if(
			rates_, [&](const auto& entry) { return now - entry.second.used_at > tuning_.unused_time; });
	}

	/// Of the requests beyond what is allowed, the same share as the rate is beyond it.
	[[nodiscard]] bool is_beyond(workspace_rates& rates, instant now) const
	{
		const auto allowed = allowed_per_s(rates, now);
		const auto present = rates.present.per_s(now);
		rates.credit = present <= allowed ? 0 : rates.credit + 1 - allowed / present;
		if (rates.credit < 1)
		{
			return false;
		}
		rates.credit -= 1;
		return true;
	}

	[[nodiscard]] double allowed_per_s(const workspace_rates& rates, instant now) const
	{
		// Until the usual rate has been observed for its time, its average is too low.
		constexpr double min_observed = 0.05;
		const auto age = to_milliseconds(now - rates.first_at) / to_milliseconds(tuning_.usual);
		const auto observed = std::max(min_observed, 1 - std::exp(-age));
		const auto usual = rates.usual.per_s(now) / observed;
		const auto least = tuning_.min_requests / std::chrono::duration<double>(tuning_.present).count();
		return std::max(tuning_.usual_multiple * usual, least);
	}

	workspace_usage_tuning tuning_;
	std::map<workspace_id, workspace_rates> rates_;
	instant dropped_at_;
};
} // namespace gingerdyke::limits
