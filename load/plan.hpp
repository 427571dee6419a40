// SPDX-License-Identifier: MIT
// What load is sent: streams of requests, each with its workspace, class, kind and rate.
#pragma once

#include <chrono>
#include <cstdint>
#include <gingerdyke/base/json_source.hpp>
#include <string>
#include <vector>

namespace gingerdyke::load
{
/// \brief Kinds of requests.
enum class request_kind
{
	/// Chat for a whole answer.
	chat,
	/// Chat for a streamed answer.
	stream,
	/// Chat that goes on in the session of the stream's request before.
	session,
	/// Call of a plain service that may be repeated.
	service,
	/// Call of a plain service that may not be repeated, with an idempotency key.
	keyed,
};

/// \brief One stream of requests.
struct stream_plan
{
	std::string workspace;
	std::string key;
	std::string request_class;
	request_kind kind{request_kind::chat};

	/// Model, cascade or service.
	std::string target;

	/// Path of a service's call.
	std::string path;

	double per_second{};
	std::uint64_t tokens{};
};

/// \brief One request to be sent at its time, whether or not others have been answered.
struct scheduled
{
	std::chrono::microseconds at{};
	const stream_plan* stream{};
	std::uint64_t number{};
};

/// \brief Reads a plan file, `{"streams": [...]}`.
[[nodiscard]] checked<std::vector<stream_plan>> read_plan(const std::string& path);

/// \brief Draws arrival times (Poisson) for a while.
[[nodiscard]] std::vector<scheduled> schedule(
	const std::vector<stream_plan>& streams, std::chrono::seconds length, std::uint64_t seed);
} // namespace gingerdyke::load
