// SPDX-License-Identifier: MIT
// What the HTTP library accepts of a response although HTTP forbids it.
#pragma once

#include <httplib.h>

namespace gingerdyke::http
{
/// \brief Checks the head of a response that the HTTP library has read. Rejects whatever two parsers may
/// interpret differently.
/// \returns What is wrong with it; null if it is valid.
[[nodiscard]] const char* find_response_fault(const httplib::Response& response);
} // namespace gingerdyke::http
