// SPDX-License-Identifier: MIT
// Tells other VMs directly of requests that crash replicas.
#include <algorithm>
#include <gingerdyke/base/crypto.hpp>
#include <gingerdyke/control/suspect_exchange.hpp>
#include <gingerdyke/log/log.hpp>
#include <utility>

namespace gingerdyke::control
{
suspect_exchange::suspect_exchange(
	proxy::asio::io_context& context, peer self, suspect_exchange_hooks hooks, suspect_exchange_tuning tuning)
	: context_(context), self_(std::move(self)), hooks_(std::move(hooks)), tuning_(tuning), timer_(context)
{
}

void suspect_exchange::set_peers(std::vector<peer> peers)
{
	peers_ = std::move(peers);
	std::erase_if(peers_, [this](const peer& candidate) { return candidate.vm == self_.vm; });
	for (const auto& [vm, client] : std::exchange(clients_, {}))
	{
		const bool is_known = std::find(peers_.begin(), peers_.end(), client->to()) != peers_.end();
		is_known ? static_cast<void>(clients_.emplace(vm, client)) : client->abandon();
	}
	if (!peers_.empty() && !std::exchange(has_greeted_, true))
	{
		greet();
	}
}

void suspect_exchange::schedule()
{
	if (is_scheduled_ || !hooks_.has_untold())
	{
		return;
	}
	is_scheduled_ = true;
	timer_.expires_after(tuning_.interval);
	timer_.async_wait(
		[this](const proxy::error_code& error)
		{
			if (!error)
			{
				on_timer();
			}
		});
}

void suspect_exchange::on_timer()
{
	is_scheduled_ = false;
	if (hooks_.is_registry_failing() && hooks_.rank() < tuning_.tellers)
	{
		tell();
	}
	schedule();
}

/// A VM that starts knows nothing; the rows of the registry may be gone or out of reach. After a loss of all
/// VMs, each of another failure domain is asked by a few.
void suspect_exchange::greet()
{
	for (const auto& other : first_of(self_.domain, tuning_.asked_of_own_domain))
	{
		call(other);
	}
	for (const auto& domain : other_domains())
	{
		const auto all = first_of(domain, peers_.size());
		call(all[stable_hash(self_.vm.str()) % all.size()]);
	}
}

void suspect_exchange::tell()
{
	for (const auto& domain : other_domains())
	{
		for (const auto& other : first_of(domain, tuning_.told_per_domain))
		{
			call(other);
		}
	}
}

void suspect_exchange::call(const peer& other)
{
	const auto client = client_of(other);
	relay_poll poll;
	poll.table = suspect_exchange_table;
	poll.after = row_version{};
	poll.report = hooks_.make_report(!client->is_connected());
	const auto count = poll.report->suspects.size();
	client->call(std::move(poll), tuning_.response_timeout,
		[this, other, count](const store_result<row_batch>& result)
		{
			// The response holds a summary and no rows.
			const bool has_responded = result || result.error() == store_error::unavailable;
			if (has_responded)
			{
				unreachable_.erase(other.vm);
			}
			else
			{
				unreachable_.insert(other.vm);
			}
			if (count > 0 || !has_responded)
			{
				log::write(log::level::info, "suspects told",
					{{"vm", other.vm.str()}, {"failure_domain", other.domain.str()}, {"count", count},
						{"has_responded", has_responded}});
			}
			drop_unneeded_client(other);
		});
}

/// The VMs of a failure domain to be asked first: those that responded before the others.
std::vector<peer> suspect_exchange::first_of(const failure_domain_id& domain, std::size_t count) const
{
	std::vector<peer> first;
	for (const bool is_unreachable : {false, true})
	{
		for (const auto& candidate : peers_)
		{
			const bool is_next =
				candidate.domain == domain && unreachable_.contains(candidate.vm) == is_unreachable;
			if (is_next && first.size() < count)
			{
				first.push_back(candidate);
			}
		}
	}
	return first;
}

/// The other failure domains, beginning after the own one in their order: if there are many, each is told by
/// some.
std::vector<failure_domain_id> suspect_exchange::other_domains() const
{
	std::set<failure_domain_id> all;
	for (const auto& candidate : peers_)
	{
		all.insert(candidate.domain);
	}
	all.erase(self_.domain);
	std::vector<failure_domain_id> ordered{all.upper_bound(self_.domain), all.end()};
	ordered.insert(ordered.end(), all.begin(), all.upper_bound(self_.domain));
	ordered.resize(std::min(ordered.size(), tuning_.max_domains));
	return ordered;
}

std::shared_ptr<relay_client> suspect_exchange::client_of(const peer& other)
{
	auto& client = clients_[other.vm];
	if (!client)
	{
		client = std::make_shared<relay_client>(context_, other, hooks_.summary_received,
			[](const std::string&, const known_row&) -> const std::string* { return nullptr; });
	}
	return client;
}

/// Only the VMs that tell others keep their connections.
void suspect_exchange::drop_unneeded_client(const peer& other)
{
	const auto found = clients_.find(other.vm);
	if (found == clients_.end() || hooks_.rank() < tuning_.tellers)
	{
		return;
	}
	const auto client = found->second;
	clients_.erase(found);
	client->abandon();
}

void suspect_exchange::stop()
{
	timer_.cancel();
	for (const auto& [vm, client] : std::exchange(clients_, {}))
	{
		client->abandon();
	}
}
} // namespace gingerdyke::control
