// SPDX-License-Identifier: MIT
// What callers and replicas saw in one run of the soak, and the promises that it is checked against.
#pragma once

#include "statement_judge.hpp"

#include <gingerdyke/base/units.hpp>
#include <map>
#include <optional>
#include <set>
#include <standin/replica.hpp>
#include <string>
#include <vector>

namespace gingerdyke::soak
{
/// \brief Which promise a request is to test.
enum class request_kind
{
	/// Must not run more than once.
	once,
	/// May run again.
	repeatable,
	/// Streamed, goes on elsewhere where it breaks.
	stream,
};

/// \brief What a caller sends.
struct sent_request
{
	std::string id;
	request_kind kind{};
	std::string path;
	std::string key;

	/// VM that it was sent to, and the life of its process.
	std::string vm;
	unsigned life{};
	instant at;

	/// Version of the configuration whose own route it takes; none: a route that all have.
	std::optional<int> version{};

	/// Identifiers of the parts of its prompt; the last one is its own.
	std::vector<std::string> parts{};
};

/// \brief What a caller got.
struct received_answer
{
	/// 0: the connection ended, or nothing came in time.
	int status{};
	std::string body;

	/// The answer came to its proper end.
	bool is_whole{};

	/// The caller waited until its own limit.
	bool timed_out{};
	instant at;
};

/// \brief A planned stop with nothing else going on.
struct quiet_stop
{
	std::string vm;
	unsigned life{};
	instant begun;
};

/// \brief A replica that left with nothing else going on, but for VMs that lost the registry meanwhile.
struct departure
{
	std::string replica;

	/// The registry said so then.
	instant at;

	/// VMs that lost the registry, again and again; the others had it.
	std::set<std::string> disturbed_vms;
};

/// \brief An order to send nothing to some replicas, from its writing to its withdrawal.
struct evacuation
{
	std::set<std::string> replicas;
	instant ordered;
	instant withdrawn;
};

/// \brief Requests that crash each replica that runs them: those to one path, or with one part of prompts.
struct crashing_request
{
	std::string path;
	std::string part{};

	/// When the last one was sent; none: they are sent to the end.
	std::optional<instant> until{};

	[[nodiscard]] bool is(const sent_request& what) const;
};

/// \brief One replica that a crashing request ended.
struct crash_end
{
	instant at;
	std::string replica;

	/// VM that sent it there.
	std::string vm;
};

/// \brief Collects, and judges at the end.
class history
{
  public:
	void sent(const sent_request& what);
	void answered(const std::string& id, const received_answer& answer);
	void ran(const platform::standin::replica_run& run, instant at);
	void key_removed(const std::string& key, instant at) { removed_keys_[key] = at; }
	void stopped(const quiet_stop& stop) { stops_.push_back(stop); }
	void left(const departure& what) { departures_.push_back(what); }
	void evacuated(const evacuation& what) { evacuations_.push_back(what); }
	/// \brief A request reached a replica that says something of itself.
	void arrived(const std::string& request_id, const std::string& replica,
		const platform::standin::statement& said, instant at);
	void crashes(const crashing_request& what) { crashing_.push_back(what); }

	/// \brief No more of the crashing requests that were added last are sent.
	void crashes_no_more(instant at) { crashing_.back().until = at; }

	/// \brief Something that must not happen and needs no judging.
	void broken(const std::string& promise, const std::string& what);

	[[nodiscard]] std::size_t request_count() const noexcept { return requests_.size(); }
	[[nodiscard]] std::size_t served_count() const;

	/// \brief Replicas that crashing requests ended, in their order.
	[[nodiscard]] std::vector<crash_end> crash_ends() const;

	/// \brief Judges everything.
	/// \returns Broken promises, each with the request that shows it.
	[[nodiscard]] std::vector<std::string> judge() const;

  private:
	struct seen_run
	{
		platform::standin::replica_run run;
		instant at;
	};

	struct record
	{
		sent_request sent;
		std::optional<received_answer> answer;
		std::vector<seen_run> runs;
	};

	using findings = std::vector<std::string>;
	void judge_request(const record& one, findings& into) const;
	static void judge_body(const record& one, findings& into);
	void judge_key(const record& one, findings& into) const;
	void judge_versions(findings& into) const;
	void judge_stops(findings& into) const;
	void judge_departures(findings& into) const;
	void judge_evacuations(findings& into) const;
	[[nodiscard]] std::vector<crash_end> ends_of(const crashing_request& what) const;
	void judge_crashes(findings& into) const;
	void judge_sound_requests(findings& into) const;

	std::map<std::string, record> requests_;
	std::map<std::string, instant> removed_keys_;
	std::vector<quiet_stop> stops_;
	std::vector<departure> departures_;
	std::vector<evacuation> evacuations_;
	std::vector<crashing_request> crashing_;
	std::vector<told_arrival> arrivals_;
	findings broken_;
};
} // namespace gingerdyke::soak
