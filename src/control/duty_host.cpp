// SPDX-License-Identifier: MIT
// The duties of this VM.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/control/duty_host.hpp>
#include <gingerdyke/log/log.hpp>
#include <gingerdyke/metrics/text_format.hpp>
#include <set>

namespace gingerdyke::control
{
const char* name_of(duty_outcome outcome) noexcept
{
	switch (outcome)
	{
	case duty_outcome::accepted:
		return "accepted";
	case duty_outcome::rejected:
		return "rejected";
	case duty_outcome::busy:
		return "busy";
	case duty_outcome::unavailable:
		return "unavailable";
	case duty_outcome::unknown:
		return "no response";
	}
	return "unknown";
}

duty_host::duty_host(proxy::gateway& gateway, row_store& registry, duty_receiver& receiver, peer self,
	const std::string& process, const random_source& random, duty_settings settings)
	: self_(std::move(self)), settings_(std::move(settings)),
	  follower_(gateway.context(), registry, settings_.duty_table, random,
		  {[this](const auto& rows) { on_table(rows); }, [this](const auto& rows) { on_rows(rows); },
			  [](instant, registry_time) {}, [](store_error) {}, {}},
		  {.wait = settings_.poll_wait, .batch_delay = settings_.batch_delay})
{
	const duty::lease_holder holder{self_.vm, process};
	if (settings_.usage_duty)
	{
		usage_lease_.emplace(gateway.context(), registry, settings_.duty_table, *settings_.usage_duty, holder,
			settings_.lease,
			lease_keeper_hooks{[this] { usage_->on_lease_taken(); }, [this] { usage_->act(); }});
		usage_.emplace(gateway.context(), registry, receiver, *usage_lease_, settings_.usage);
	}
	if (settings_.scaling_duty)
	{
		scaling_lease_.emplace(gateway.context(), registry, settings_.duty_table, *settings_.scaling_duty,
			holder, settings_.lease,
			lease_keeper_hooks{[this] { scaling_->on_lease_taken(); }, [this] { scaling_->act(); }});
		scaling_.emplace(
			gateway, registry, receiver, *scaling_lease_, self_.vm, settings_.duty_table, settings_.scaling);
	}
}

std::vector<lease_keeper*> duty_host::leases()
{
	std::vector<lease_keeper*> all;
	for (auto* lease : {&usage_lease_, &scaling_lease_})
	{
		if (*lease)
		{
			all.push_back(&**lease);
		}
	}
	return all;
}

void duty_host::on_rows(const std::vector<row>& rows)
{
	for (auto* lease : leases())
	{
		lease->on_rows(rows);
	}
}

void duty_host::on_table(const std::vector<row>& rows)
{
	for (auto* lease : leases())
	{
		lease->on_table(rows);
	}
}

void duty_host::set_reads_registry(bool reads_registry)
{
	if (std::exchange(reads_registry_, reads_registry) == reads_registry || leases().empty())
	{
		return;
	}
	reads_registry ? follower_.start() : follower_.stop();
	if (usage_)
	{
		usage_->set_reads_registry(reads_registry);
	}
	update_eligibility();
}

void duty_host::set_vms(const std::vector<peer>& vms)
{
	std::set<failure_domain_id> domains{self_.domain};
	for (const auto& vm : vms)
	{
		domains.insert(vm.domain);
	}
	domains_.assign(domains.begin(), domains.end());
	update_eligibility();
}

void duty_host::record_registry_time(registry_time at)
{
	if (usage_)
	{
		usage_->record_registry_time(at);
	}
}

/// Each duty ranks the failure domains in its own order, so that duties are mostly held in different ones.
duration duty_host::takeover_delay(const std::string& duty) const
{
	const auto score = [&](const failure_domain_id& domain)
	{ return mix_hash(stable_hash(duty), stable_hash(domain.str())); };
	const auto own_score = score(self_.domain);
	const auto preferred = std::count_if(domains_.begin(), domains_.end(),
		[&](const failure_domain_id& domain) { return score(domain) > own_score; });
	return settings_.takeover_step * preferred;
}

void duty_host::update_eligibility()
{
	for (auto* lease : leases())
	{
		lease->set_eligible(reads_registry_ && !is_stopping_, takeover_delay(lease->duty()));
	}
}

void duty_host::begin_shutdown()
{
	is_stopping_ = true;
	update_eligibility();
}

void duty_host::stop()
{
	follower_.stop();
	for (auto* lease : leases())
	{
		lease->stop();
	}
	if (usage_)
	{
		usage_->stop();
	}
	if (scaling_)
	{
		scaling_->stop();
	}
}

void duty_host::write_metrics(std::ostream& out) const
{
	metrics::write_header(out, "gingerdyke_duty_held", "gauge", "Whether this VM holds a duty.");
	for (const auto* lease : {&usage_lease_, &scaling_lease_})
	{
		if (*lease)
		{
			(*lease)->write_metrics(out);
		}
	}
	if (usage_)
	{
		usage_->write_metrics(out);
	}
}
} // namespace gingerdyke::control
