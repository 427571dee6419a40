// SPDX-License-Identifier: MIT
// Receiver of the calls that only the holder of a duty may make. The platform adapter implements it; tests
// use a scripted implementation.
#pragma once

#include <functional>
#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/scaling/replica_order.hpp>
#include <gingerdyke/usage/report_schedule.hpp>

namespace gingerdyke::control
{
/// \brief Who makes a call, and under which fencing token.
struct duty_call
{
	vm_id holder;
	epoch token;
};

/// \brief Outcome of a call.
enum class duty_outcome
{
	accepted,
	/// The receiver has seen a higher token, or it can't do what was asked.
	rejected,
	/// Too many calls; not done.
	busy,
	/// The receiver says that it is unavailable; not done.
	unavailable,
	/// No response: the call may be done later.
	unknown,
};

/// \brief Returns the name of an outcome, as logged.
[[nodiscard]] const char* name_of(duty_outcome outcome) noexcept;

/// \brief Asynchronous calls; each callback runs once, later, on the same event loop.
class duty_receiver
{
  public:
	using done_hook = std::function<void(duty_outcome)>;

	virtual ~duty_receiver() = default;

	/// \brief Reports the usage of one window.
	virtual void report_usage(const duty_call& call, const usage::usage_report& report, done_hook done) = 0;

	/// \brief Orders the number of replicas of a service in a failure domain.
	virtual void order_replicas(
		const duty_call& call, const scaling::replica_order& order, done_hook done) = 0;
};
} // namespace gingerdyke::control
