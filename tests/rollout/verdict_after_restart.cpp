// SPDX-License-Identifier: MIT
// A verdict on a new version survives restarts of VMs and outages of the registry: no order of these events
// makes a VM declare a bad version completed, or prevents a good one from being completed.
#include <array>
#include <catch2/catch.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <memory>

using namespace gingerdyke;
using namespace gingerdyke::rollout;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const service_id service{"s"};
constexpr std::size_t vm_count = 3;
constexpr duration step = milliseconds{50};
constexpr duration shift_length = seconds{20};

/// VMs that share one registry with a plan, and exchange their verdicts by reports.
class shift_simulation
{
  public:
	/// \param is_bad Whether half of the new version's responses are failures.
	explicit shift_simulation(bool is_bad) : is_bad_(is_bad)
	{
		for (std::size_t i = 0; i < vm_count; ++i)
		{
			start(i);
		}
		for (auto& vm : vms_)
		{
			vm->on_order({service, "v2", shift_length, row_version{10}}, now_);
		}
	}

	/// Starts a VM, or restarts it without its state.
	void start(std::size_t i)
	{
		vms_[i] = std::make_unique<version_shift>(
			seeded_random{++start_count_}, [](const shift_event&) {}, shift_tuning{});
		const auto old_replica = std::make_shared<routing::replica>();
		old_replica->service = service;
		old_replica->version = "v1";
		vms_[i]->set_replicas(service, {old_replica});
	}

	void set_registry_lost(std::size_t i, bool is_lost) { registry_lost_[i] = is_lost; }

	void run(duration span)
	{
		for (const auto until = now_ + span; now_ < until; now_ += step)
		{
			run_step();
		}
	}

	[[nodiscard]] shift_state state() const { return plan_->state; }

	[[nodiscard]] bool was_completed() const { return was_completed_; }

  private:
	void run_step()
	{
		for (std::size_t i = 0; i < vm_count; ++i)
		{
			if (!registry_lost_[i])
			{
				read_registry(*vms_[i]);
			}
			serve_requests(*vms_[i]);
		}
		if (++steps_ % steps_between_reports == 0)
		{
			exchange_reports();
		}
		for (std::size_t i = 0; i < vm_count; ++i)
		{
			for (const auto& write : vms_[i]->due(now_))
			{
				if (write.plan && !registry_lost_[i])
				{
					store_plan(*write.plan);
				}
			}
		}
	}

	void read_registry(version_shift& vm)
	{
		vm.update_registry_time(now_.time_since_epoch() + seconds{7}, now_);
		if (plan_)
		{
			vm.on_plan(*plan_, now_);
		}
	}

	/// Two responses per step, of the versions that two sessions are routed to.
	void serve_requests(version_shift& vm)
	{
		for (int i = 0; i < 2; ++i)
		{
			const auto version = vm.version_for(service, ++response_count_ * 0x9e3779b97f4a7c15U, now_);
			const bool failed = is_bad_ && version == "v2" && response_count_ % 2 == 0;
			vm.record_response(service, version, {"route", "model", failed, 1}, now_);
		}
	}

	/// The first VM reads the registry for the others, like the reader of a failure domain.
	void exchange_reports()
	{
		auto& reader = *vms_[0];
		for (std::size_t i = 1; i < vm_count; ++i)
		{
			auto& other = *vms_[i];
			for (const auto& evidence : other.own_evidence())
			{
				reader.on_relayed_evidence("vm" + std::to_string(i), evidence, now_);
			}
			for (const auto& suspension : other.suspensions())
			{
				reader.on_suspension(suspension, now_);
			}
			for (const auto& suspension : reader.suspensions())
			{
				other.on_suspension(suspension, now_);
			}
		}
	}

	/// Compare-and-set on the plan's row.
	void store_plan(shift_plan plan)
	{
		const auto row = plan_ ? plan_->row : row_version{0};
		if (plan.row != row)
		{
			return;
		}
		plan.row = row_version{row.value() + 1};
		was_completed_ = was_completed_ || plan.state == shift_state::completed;
		plan_ = plan;
	}

	/// A report is sent with a poll of the operators' table.
	static constexpr unsigned steps_between_reports = 14;

	bool is_bad_;
	instant now_{seconds{1000}};
	std::array<std::unique_ptr<version_shift>, vm_count> vms_;
	std::array<bool, vm_count> registry_lost_{};
	std::optional<shift_plan> plan_;
	std::uint64_t start_count_ = 0;
	std::uint64_t response_count_ = 0;
	unsigned steps_ = 0;
	bool was_completed_ = false;
};

/// Applies an action to the last `count` VMs. The first VM, the reader, is affected only if all are.
void for_last_vms(std::size_t count, const std::function<void(std::size_t)>& action)
{
	for (std::size_t i = vm_count - count; i < vm_count; ++i)
	{
		action(i);
	}
}

/// One order of events: how many VMs lose the registry and how many are restarted, and when. The registry is
/// lost after 9 s, before the new version gets any traffic.
struct event_order
{
	std::size_t disconnected;
	std::size_t restarted;
	duration restart_at;
	duration recovered_at;
};

void run_events(shift_simulation& simulation, const event_order& order)
{
	const duration lost_at = seconds{9};
	simulation.run(lost_at);
	for_last_vms(order.disconnected, [&](std::size_t i) { simulation.set_registry_lost(i, true); });
	const auto restart = [&] { for_last_vms(order.restarted, [&](std::size_t i) { simulation.start(i); }); };
	const auto recover = [&]
	{ for_last_vms(order.disconnected, [&](std::size_t i) { simulation.set_registry_lost(i, false); }); };
	const bool restarts_first = order.restart_at < order.recovered_at;
	const auto first = std::min(order.restart_at, order.recovered_at);
	const auto second = std::max(order.restart_at, order.recovered_at);
	simulation.run(first - lost_at);
	restarts_first ? restart() : recover();
	simulation.run(second - first);
	restarts_first ? recover() : restart();
	simulation.run(seconds{12});
}
} // namespace

TEST_CASE("no order of outages and restarts declares a bad version completed", "[shift][verdict]")
{
	for (std::size_t disconnected = 0; disconnected <= vm_count; ++disconnected)
	{
		for (std::size_t restarted = 0; restarted <= vm_count; ++restarted)
		{
			// The shift's schedule ends at 18.8 s.
			for (const duration restart_at : {seconds{12}, seconds{17}, seconds{22}})
			{
				for (const duration recovered_at :
					{milliseconds{14000}, milliseconds{18500}, milliseconds{21950}})
				{
					CAPTURE(
						disconnected, restarted, to_milliseconds(restart_at), to_milliseconds(recovered_at));
					shift_simulation simulation{true};
					run_events(simulation, {disconnected, restarted, restart_at, recovered_at});
					CHECK_FALSE(simulation.was_completed());
					CHECK(simulation.state() == shift_state::rolled_back);
				}
			}
		}
	}
}

TEST_CASE("a good version is declared completed after any outage and restart", "[shift][verdict]")
{
	for (std::size_t disconnected = 0; disconnected <= vm_count; ++disconnected)
	{
		for (std::size_t restarted = 0; restarted <= vm_count; ++restarted)
		{
			CAPTURE(disconnected, restarted);
			shift_simulation simulation{false};
			run_events(simulation, {disconnected, restarted, seconds{17}, milliseconds{18500}});
			CHECK(simulation.state() == shift_state::completed);
		}
	}
}

TEST_CASE("a good version is completed in its time if one VM followed the whole shift", "[shift][verdict]")
{
	shift_simulation simulation{false};
	simulation.run(seconds{17});
	simulation.start(1);
	simulation.start(2);
	simulation.run(seconds{3});
	CHECK(simulation.state() == shift_state::completed);
}
