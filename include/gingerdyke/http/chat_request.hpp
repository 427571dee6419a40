// SPDX-License-Identifier: MIT
// Chat requests as callers send them: checked, with what routing needs to know.
#pragma once

#include <cstdint>
#include <gingerdyke/base/json_source.hpp>
#include <string>
#include <string_view>

namespace gingerdyke::http
{
/// \brief A checked chat request.
struct chat_request
{
	/// The body as sent, parsed; the model is replaced at dispatch.
	json body;

	std::string model;
	bool streamed{};

	/// Hash of the first message: prompts that begin alike have it in common. Never 0.
	std::uint64_t prefix{};
};

/// \brief Reads and checks a request's body.
/// \returns The request, or every finding with its place.
[[nodiscard]] checked<chat_request> read_chat_request(std::string_view body);
} // namespace gingerdyke::http
