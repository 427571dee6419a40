// SPDX-License-Identifier: MIT
// A VM between a caller and replicas that are registered with the stand-in registry.
#pragma once

#include "controlled_vm.hpp"
#include <map>
#include <memory>

namespace gingerdyke::test
{
/// \brief Engines of one service, several in each of some failure domains. The VM is in another one.
class registered_replicas
{
  public:
	/// \param change What else the registry holds before the VM starts.
	explicit registered_replicas(
		const std::vector<std::string>& domains, const std::function<void(registered_replicas&)>& change = {})
	{
		rows.put("op", "config", configuration());
		for (const auto& domain : domains)
		{
			for (int i = 0; i < per_domain; ++i)
			{
				add(domain, domain + std::to_string(i));
			}
		}
		if (change)
		{
			change(*this);
		}
		vm_ = std::make_unique<controlled_vm>(world, rows, "vm1");
		world.run_until([&] { return world.gateway().ready(); });
	}

	/// \brief Sends one request that may be repeated, and waits for its answer.
	[[nodiscard]] std::string ask() { return world.ask(request_to("GET", "/safe/a")); }

	/// \brief How many of some requests a failure domain's replicas get.
	[[nodiscard]] std::size_t answered_by(const std::string& domain, int requests)
	{
		const auto before = received_by(domain);
		for (int i = 0; i < requests; ++i)
		{
			static_cast<void>(ask());
		}
		return received_by(domain) - before;
	}

	/// \brief Lets the entries of a failure domain's replicas tell for how long these are cold.
	void tell_cold(const std::string& domain, int cold_ms)
	{
		for (int i = 0; i < per_domain; ++i)
		{
			const auto id = domain + std::to_string(i);
			auto entry = rows.value("servers", id);
			entry["cold_remaining_ms"] = cold_ms;
			rows.put("servers", id, entry);
		}
	}

	/// \brief For how long a replica is cold after its start.
	[[nodiscard]] static duration cold_time() { return std::chrono::milliseconds{400}; }

	proxy_world world;
	platform::standin::registry rows{world.context};

  private:
	/// As many as make the choice a random one.
	static constexpr int per_domain = 4;

	void add(const std::string& domain, const std::string& id)
	{
		auto& made = replicas_[domain].emplace_back(std::make_unique<scripted_replica>(
			world.context, [](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }));
		rows.put("servers", id, entry(domain, made->at()));
	}

	[[nodiscard]] std::size_t received_by(const std::string& domain) const
	{
		std::size_t count = 0;
		for (const auto& one : replicas_.at(domain))
		{
			count += one->requests().size();
		}
		return count;
	}

	static json configuration()
	{
		return {{"version", 1},
			{"routes", json::array({{{"name", "safe"}, {"host", "example"}, {"path_prefix", "/safe/"},
						   {"kind", "safe"}, {"timeout_ms", 8000}, {"service", "engines"}, {"public", true},
						   {"max_attempts", 2}}})},
			{"services", json::array({{{"name", "engines"}, {"cold_start_s", 0.4}, {"cold_per_s", 2.0},
							 {"engine", json::object()}}})},
			{"limits", {{"max_header_bytes", 4096}, {"max_body_bytes", 10000}, {"header_timeout_ms", 3000},
						   {"idle_timeout_ms", 15000}}}};
	}

	static json entry(const std::string& domain, const routing::address& at)
	{
		return {{"service", "engines"}, {"address", at.str()}, {"zone", domain}, {"version", "v1"},
			{"slots", 64}, {"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 1},
			{"born", 1780000000123}};
	}

	std::map<std::string, std::vector<std::unique_ptr<scripted_replica>>> replicas_;
	std::unique_ptr<controlled_vm> vm_;
};
} // namespace gingerdyke::test
