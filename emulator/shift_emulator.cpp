// SPDX-License-Identifier: MIT
// Simulates a shift between versions over many VMs in virtual time, using the production decision code.
#include "shift_emulator.hpp"

#include "response_model.hpp"
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/base/random.hpp>
#include <gingerdyke/rollout/version_shift.hpp>
#include <memory>
#include <string_view>

namespace gingerdyke::emulator
{
namespace
{
using rollout::version_shift;
using std::chrono::milliseconds;
using std::chrono::seconds;

const service_id service{"s"};
constexpr const char* old_version = "v1";
constexpr const char* new_version = "v2";
constexpr duration time_step = milliseconds{50};

/// Interval at which a VM polls the operators' table through its reader, the VM of its failure domain that
/// reads the registry. Each poll carries the VM's report; the response contains the summary.
constexpr duration report_interval = milliseconds{250};

/// Delay until rows written by one reader reach the readers of the other failure domains.
constexpr duration row_propagation_delay = milliseconds{200};

/// After this many bad responses the new version must be out of use within the time limit below.
constexpr std::uint64_t bad_responses_before_verdict = 50;
constexpr duration verdict_time_limit = seconds{5};

/// Time with traffic before the order and before any disturbance.
constexpr duration warm_up = seconds{2};

/// Offset of the simulated registry's clock to the VMs' clocks.
constexpr duration registry_clock_offset = seconds{7};

/// One simulation run; see `simulate_shift`.
class shift_simulation
{
  public:
	explicit shift_simulation(const shift_setup& setup)
		: setup_(setup), random_(seeded_random{setup.seed}), order_time_(now_ + warm_up),
		  burst_starts_at_(random_offset()), slowdown_starts_at_(random_offset()),
		  registry_loss_starts_at_(random_offset()),
		  responses_(setup_, [this] { return random_(); }, order_time_,
			  {slowdown_starts_at_, random_between(min_slowdown, max_slowdown)})
	{
		make_engines(old_version, old_engines_);
		make_engines(new_version, new_engines_);
		for (unsigned index = 0; index < setup.vms; ++index)
		{
			vms_.push_back(make_vm(index));
			fleets_.push_back(fleet_of(index));
		}
		for (unsigned index = 0; index < setup.disturbance.restarted_vms; ++index)
		{
			restarts_.push_back({order_time_ + random_offset(), random_below(random_, setup.vms)});
		}
	}

	shift_result run()
	{
		for (; now_ < order_time_ + setup_.length; now_ += time_step)
		{
			if (now_ == order_time_)
			{
				issue_order();
			}
			run_step();
		}
		result_.exposure = static_cast<double>(new_requests_) / std::max(1.0, double(requests_));
		result_.state = plan_ ? plan_->state : rollout::shift_state::running;
		return result_;
	}

  private:
	static constexpr double min_slowdown = 3;
	static constexpr double max_slowdown = 8;

	double random_fraction() { return random_unit(random_); }
	double random_between(double from, double to) { return from + (to - from) * random_fraction(); }
	duration random_offset() { return scaled(setup_.length, random_fraction()); }

	[[nodiscard]] bool is_within(duration start) const
	{
		return now_ - order_time_ >= start && now_ - order_time_ < start + disturbance_length;
	}

	[[nodiscard]] bool is_bursting() const
	{
		return setup_.disturbance.has_burst && is_within(burst_starts_at_);
	}

	[[nodiscard]] bool is_registry_lost() const
	{
		return setup_.disturbance.loses_registry && is_within(registry_loss_starts_at_);
	}

	void make_engines(const char* version, std::vector<engine>& engines)
	{
		constexpr double speeds[] = {1.0, 1.0, 1.3};
		for (unsigned index = 0; index < setup_.replicas; ++index)
		{
			const auto created = std::make_shared<routing::replica>();
			created->id =
				replica_id{to_hex(std::string{version} + std::to_string(setup_.seed * 1000 + index))};
			created->service = service;
			created->version = version;
			auto& added = engines.emplace_back();
			added.replica = created;
			added.speed = speeds[index % std::size(speeds)];
			const bool is_unaffected =
				setup_.disturbance.is_old_only && version == std::string_view{new_version};
			added.is_slowed = random_fraction() < setup_.disturbance.slowed_share && !is_unaffected;
			added.is_breaking = setup_.disturbance.has_breaking_replica && index == 0;
			added.is_failing = random_fraction() < setup_.disturbance.failing_share && !is_unaffected;
		}
	}

	std::unique_ptr<version_shift> make_vm(std::size_t index)
	{
		auto created = std::make_unique<version_shift>(
			seeded_random{mix_hash(setup_.seed, index)},
			[this](const rollout::shift_event& event) { record_suspension(event); }, tuning());
		created->set_reads_registry(is_reader(index));
		created->set_replicas(service, replicas_of({&old_engines_}));
		return created;
	}

	/// Replaces VMs by new processes, which read the registry's rows again.
	void restart_vms()
	{
		for (const auto& [at, index] : restarts_)
		{
			if (now_ < at || now_ >= at + time_step)
			{
				continue;
			}
			vms_[index] = make_vm(index);
			order_shift(*vms_[index]);
			for (const auto& [visible_at, row] : written_rows_)
			{
				if (is_reader(index) && visible_at <= now_ && row.reporter != name_of_vm(index))
				{
					vms_[index]->on_evidence(row.reporter, row.evidence, now_);
				}
			}
		}
	}

	void order_shift(version_shift& vm)
	{
		vm.on_order({service, new_version, setup_.length, rollout::row_version{10}}, now_);
		vm.set_replicas(service, replicas_of({&old_engines_, &new_engines_}));
	}

	[[nodiscard]] static std::vector<routing::replica_ptr> replicas_of(
		const std::vector<const std::vector<engine>*>& versions)
	{
		std::vector<routing::replica_ptr> all;
		for (const auto* engines : versions)
		{
			for (const auto& entry : *engines)
			{
				all.push_back(entry.replica);
			}
		}
		return all;
	}

	[[nodiscard]] rollout::shift_tuning tuning() const
	{
		rollout::shift_tuning tuning;
		tuning.exposure_slack = setup_.exposure_slack;
		return tuning;
	}

	/// The list of VMs as one of them knows it.
	[[nodiscard]] routing::fleet_list fleet_of(unsigned index) const
	{
		std::vector<routing::fleet_member> members;
		for (unsigned other = 0; other < setup_.vms; ++other)
		{
			members.push_back({vm_id{name_of_vm(other)},
				failure_domain_id{std::to_string(other % setup_.failure_domains)}});
		}
		routing::fleet_list fleet;
		fleet.set(vm_id{name_of_vm(index)}, members, now_);
		return fleet;
	}

	void record_suspension(const rollout::shift_event& event)
	{
		if (event.suspended && !event.follows_peer_verdict && !result_.suspended)
		{
			result_.suspended = event.summary;
			result_.suspended_after = now_ - order_time_;
		}
	}

	void issue_order()
	{
		requests_ = 0;
		for (auto& vm : vms_)
		{
			order_shift(*vm);
		}
	}

	[[nodiscard]] static std::string name_of_vm(std::size_t index) { return "vm" + std::to_string(index); }

	[[nodiscard]] bool is_reader(std::size_t index) const { return index < setup_.failure_domains; }
	[[nodiscard]] std::size_t reader_of(std::size_t index) const { return index % setup_.failure_domains; }

	void run_step()
	{
		restart_vms();
		deliver_registry_updates();
		send_requests();
		if ((now_ - order_time_) % report_interval < time_step)
		{
			exchange_reports();
		}
		execute_due_writes();
	}

	void deliver_registry_updates()
	{
		if (is_registry_lost())
		{
			return;
		}
		for (auto& fleet : fleets_)
		{
			fleet.confirm(now_);
		}
		for (auto& vm : vms_)
		{
			vm->update_registry_time(now_.time_since_epoch() + registry_clock_offset, now_);
			if (plan_)
			{
				vm->on_plan(*plan_, now_);
			}
		}
		for (const auto& [visible_at, row] : written_rows_)
		{
			if (visible_at > now_ || visible_at + time_step <= now_)
			{
				continue;
			}
			for (std::size_t index = 0; index < setup_.failure_domains; ++index)
			{
				if (row.reporter != name_of_vm(index))
				{
					vms_[index]->on_evidence(row.reporter, row.evidence, now_);
				}
			}
		}
	}

	void send_requests()
	{
		const auto seconds_in_step = to_milliseconds(time_step) / 1000;
		const auto expected_requests =
			setup_.responses_per_s * seconds_in_step * (is_bursting() ? 2 : 1) + fractional_requests_;
		const auto count = static_cast<unsigned>(expected_requests);
		fractional_requests_ = expected_requests - count;
		for (auto* engines : {&old_engines_, &new_engines_})
		{
			for (auto& entry : *engines)
			{
				entry.rate *= 1 - seconds_in_step;
			}
		}
		for (unsigned index = 0; index < count; ++index)
		{
			send_request();
		}
	}

	void send_request()
	{
		const auto vm_index = random_below(random_, vms_.size());
		auto& vm = *vms_[vm_index];
		const auto point = vm.take_trial_request(service, fleets_[vm_index], now_) ? 0 : random_();
		const auto version = vm.version_for(service, point, now_);
		const bool is_new = version == new_version;
		++requests_;
		new_requests_ += is_new ? 1 : 0;
		if (is_new && result_.bad_responses >= bad_responses_before_verdict)
		{
			result_.exposed_for = now_ - bad_limit_reached_at_;
		}
		const bool is_past_time_limit = is_new && result_.bad_responses >= bad_responses_before_verdict &&
										now_ - bad_limit_reached_at_ > verdict_time_limit &&
										setup_.fault != version_fault::none;
		result_.late_requests += is_past_time_limit ? 1 : 0;
		auto* target = select_engine(vm, is_new ? new_engines_ : old_engines_);
		if (target != nullptr)
		{
			simulate_response(vm_index, *target, is_new);
		}
	}

	engine* select_engine(const version_shift& vm, std::vector<engine>& engines)
	{
		engine* best = nullptr;
		constexpr int max_samples = 40;
		constexpr int max_candidates = 2;
		int candidates = 0;
		for (int index = 0; index < max_samples && candidates < max_candidates; ++index)
		{
			auto& candidate = engines[random_below(random_, engines.size())];
			if (!vm.is_in_use(*candidate.replica, now_))
			{
				continue;
			}
			++candidates;
			if (best == nullptr || candidate.rate < best->rate)
			{
				best = &candidate;
			}
		}
		return best;
	}

	void simulate_response(std::size_t vm_index, engine& target, bool is_new)
	{
		target.rate += 1;
		const auto response = responses_.respond(target, is_new, now_);
		count_bad_response(response.is_bad);
		auto& vm = *vms_[vm_index];
		const bool sees_breaks = vm_index >= setup_.older_vms;
		for (const auto& sample : response.samples)
		{
			if (!sees_breaks && sample.kind == rollout::sample_kind::ending)
			{
				continue;
			}
			const auto counted =
				vm.record_response(service, is_new ? new_version : old_version, sample, now_);
			if (sees_breaks && response.breaks_off && counted)
			{
				vm.record_broken_response(*counted, now_);
			}
		}
	}

	void count_bad_response(bool is_bad)
	{
		if (is_bad)
		{
			bad_limit_reached_at_ =
				result_.bad_responses < bad_responses_before_verdict ? now_ : bad_limit_reached_at_;
			++result_.bad_responses;
		}
	}

	void exchange_reports()
	{
		for (std::size_t index = setup_.failure_domains; index < vms_.size(); ++index)
		{
			auto& reader = *vms_[reader_of(index)];
			for (const auto& evidence : vms_[index]->own_evidence())
			{
				reader.on_relayed_evidence(name_of_vm(index), evidence, now_);
			}
			for (const auto& suspension : vms_[index]->suspensions())
			{
				reader.on_suspension(suspension, now_);
			}
			for (const auto& suspension : reader.suspensions())
			{
				vms_[index]->on_suspension(suspension, now_);
			}
		}
	}

	void execute_due_writes()
	{
		for (std::size_t index = 0; index < vms_.size(); ++index)
		{
			for (const auto& write : vms_[index]->due(now_))
			{
				if (is_registry_lost())
				{
					continue;
				}
				for (auto reported : write.evidence)
				{
					reported.reporter = reported.reporter.empty() ? name_of_vm(index) : reported.reporter;
					written_rows_.emplace_back(now_ + row_propagation_delay, std::move(reported));
				}
				store_plan(write.plan);
			}
		}
	}

	/// Compare-and-set on the plan's row.
	void store_plan(const std::optional<rollout::shift_plan>& written)
	{
		const auto row = plan_ ? plan_->row : rollout::row_version{0};
		if (!written || written->row != row)
		{
			return;
		}
		plan_ = written;
		plan_->row = rollout::row_version{row.value() + 1};
	}

	shift_setup setup_;
	random_source random_;
	instant now_{seconds{1000}};
	instant order_time_;
	duration burst_starts_at_;
	duration slowdown_starts_at_;
	duration registry_loss_starts_at_;
	response_model responses_;
	double fractional_requests_ = 0;
	std::vector<engine> old_engines_;
	std::vector<engine> new_engines_;
	std::vector<std::unique_ptr<version_shift>> vms_;

	struct restart
	{
		instant at;
		std::size_t vm{};
	};
	std::vector<restart> restarts_;

	/// The list of VMs at each VM.
	std::vector<routing::fleet_list> fleets_;
	std::optional<rollout::shift_plan> plan_;
	std::vector<std::pair<instant, rollout::reported_evidence>> written_rows_;
	std::uint64_t requests_ = 0;
	std::uint64_t new_requests_ = 0;
	instant bad_limit_reached_at_;
	shift_result result_;
};
} // namespace

const char* name_of(version_fault fault) noexcept
{
	switch (fault)
	{
	case version_fault::none:
		return "good";
	case version_fault::fails:
		return "fails";
	case version_fault::slow:
		return "slow";
	case version_fault::fails_under_load:
		return "fails under load";
	case version_fault::fails_on_one_route:
		return "fails on one route";
	case version_fault::fails_late:
		return "fails late";
	case version_fault::breaks_off:
		return "breaks off";
	case version_fault::resets:
		return "resets";
	}
	return "unknown";
}

shift_result simulate_shift(const shift_setup& setup)
{
	return shift_simulation{setup}.run();
}
} // namespace gingerdyke::emulator
