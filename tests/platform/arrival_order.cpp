// SPDX-License-Identifier: MIT
// A VM that starts reads its tables in any order, and serves its first requests by all of them.
#include "../support/registered_replicas.hpp"
#include <algorithm>
#include <array>

using namespace gingerdyke;
using namespace gingerdyke::test;
using platform::standin::registry;

namespace
{
constexpr std::array tables{"gingerdyke", "op", "servers"};
constexpr int caller_count = 6;
constexpr const char* crashing_target = "/safe/crashing";

/// What the router's own table says of a shift to v2.
enum class stored_plan
{
	none,
	running,
	rolled_back,
	/// As older builds wrote it.
	within_one_version,
};

/// Replicas of v2, more than v1 has in the failure domain that is not evacuated.
struct new_replicas
{
	explicit new_replicas(registered_replicas& deployment)
	{
		constexpr int count = 6;
		for (int i = 0; i < count; ++i)
		{
			replicas.push_back(std::make_unique<scripted_replica>(deployment.world.context,
				[](const std::string&) { return scripted_answer{answer_with("200 OK", "x")}; }));
			auto entry = deployment.rows.value("servers", "b0");
			entry["address"] = replicas.back()->at().str();
			entry["version"] = "v2";
			deployment.rows.put("servers", "n" + std::to_string(i), entry);
		}
	}

	[[nodiscard]] std::size_t received() const
	{
		std::size_t count = 0;
		for (const auto& replica : replicas)
		{
			count += replica->requests().size();
		}
		return count;
	}

	std::vector<std::unique_ptr<scripted_replica>> replicas;
};

void put_own_row(registry& rows, const std::string& key, const std::string& value)
{
	rows.put("gingerdyke", key, json::parse(value));
}

void put_plan(registry& rows, stored_plan plan)
{
	if (plan == stored_plan::none)
	{
		return;
	}
	rollout::shift_plan row;
	row.service = service_id{"engines"};
	row.from_version = plan == stored_plan::within_one_version ? "v2" : "v1";
	row.to_version = "v2";
	row.started = std::chrono::duration_cast<rollout::registry_time>(proxy::steady_now().time_since_epoch());
	row.length = std::chrono::seconds{60};
	row.order = rollout::row_version{1'000'000};
	row.state =
		plan == stored_plan::running ? rollout::shift_state::running : rollout::shift_state::rolled_back;
	put_own_row(rows, "plan/engines", control::write_plan(row));
}

void put_other_vms(registry& rows)
{
	for (const auto* name : {"vm2", "vm3"})
	{
		const control::peer vm{vm_id{name}, failure_domain_id{"d"}, {"127.0.0.1", 1}, 0};
		put_own_row(rows, std::string{"vm/"} + name, control::write_vm(vm));
	}
}

void put_suspect(registry& rows)
{
	control::stored_suspicion suspect;
	suspect.evidence.key = quarantine::key_of({"GET", "example", crashing_target, "", ""});
	for (const int process : {1, 2, 3})
	{
		suspect.evidence.ended[quarantine::process_instance{process}] = {};
	}
	suspect.last_exit_at =
		std::chrono::duration_cast<control::registry_time>(proxy::steady_now().time_since_epoch());
	put_own_row(rows, std::string{control::suspect_key_prefix} + suspect.evidence.key.str(),
		control::write_suspicion(suspect));
}

/// Answers the reads of the tables one after the other.
class ordered_answers
{
  public:
	ordered_answers(registered_replicas& deployment, const std::array<std::size_t, tables.size()>& order)
		: rows_(deployment.rows), order_(order), timer_(deployment.world.context)
	{
		for (const auto* table : tables)
		{
			rows_.hold_reads(table);
		}
		answer_next();
	}

  private:
	void answer_next()
	{
		constexpr duration pause = std::chrono::milliseconds{20};
		timer_.expires_after(pause);
		timer_.async_wait(
			[this](const proxy::error_code& error)
			{
				if (error || next_ == order_.size())
				{
					return;
				}
				rows_.release_reads(tables.at(order_.at(next_++)));
				answer_next();
			});
	}

	registry& rows_;
	std::array<std::size_t, tables.size()> order_;
	proxy::boot_timer timer_;
	std::size_t next_ = 0;
};

/// Callers whose requests wait for the VM to become ready: the first ones to be served.
class first_callers
{
  public:
	explicit first_callers(proxy_world& world) : world_(world)
	{
		for (int i = 0; i < caller_count; ++i)
		{
			callers_.emplace_back(world.context, world.port());
			callers_.back().send(request_to("GET", i == 0 ? crashing_target : "/safe/a"));
		}
	}

	/// \returns The answers; the first one is that of the suspected request.
	[[nodiscard]] std::vector<std::string> answers()
	{
		std::vector<std::string> all;
		for (auto& caller : callers_)
		{
			world_.run_until([&] { return caller.has_answer() || caller.ended(); });
			all.push_back(caller.received());
		}
		return all;
	}

  private:
	proxy_world& world_;
	std::list<scripted_caller> callers_;
};
} // namespace

// What was read first decided before the other tables were known: a new version was taken for the one in use.
TEST_CASE(
	"the first requests are served by all tables in whichever order these are read", "[platform][arrival]")
{
	const auto plan = GENERATE(
		stored_plan::none, stored_plan::running, stored_plan::rolled_back, stored_plan::within_one_version);
	std::array<std::size_t, tables.size()> order{0, 1, 2};
	do
	{
		CAPTURE(static_cast<int>(plan), order[0], order[1], order[2]);
		// Declared first, as the others use its event loop until they end.
		std::optional<registered_replicas> deployment;
		std::optional<new_replicas> new_version;
		std::optional<ordered_answers> answers;
		std::optional<first_callers> callers;
		deployment.emplace(std::vector<std::string>{"b", "c"},
			[&](registered_replicas& before)
			{
				before.rows.put("op", "rollout/engines",
					{{"service", "engines"}, {"target_version", "v2"}, {"duration_s", 60}});
				before.rows.put("op", "evacuate/c", json::object());
				new_version.emplace(before);
				put_plan(before.rows, plan);
				put_other_vms(before.rows);
				put_suspect(before.rows);
				answers.emplace(before, order);
				callers.emplace(before.world);
			});
		const auto got = callers->answers();
		CHECK(got.front().starts_with("HTTP/1.1 502 "));
		CHECK(std::all_of(got.begin() + 1, got.end(),
			[](const std::string& answer) { return answer.starts_with("HTTP/1.1 200 "); }));
		CHECK(new_version->received() == 0);
		CHECK(deployment->answered_by("c", 10) == 0);
		CHECK(deployment->world.gateway().vm_count() >= 2);
	} while (std::next_permutation(order.begin(), order.end()));
}
