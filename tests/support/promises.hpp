// SPDX-License-Identifier: MIT
// The promises of the brief as code, in its order, checked over a recorded history.
#pragma once

#include "history.hpp"
#include <string>
#include <vector>

namespace gingerdyke::test
{
/// \brief Every promise that the history breaks, as readable lines; empty where all were kept.
[[nodiscard]] std::vector<std::string> broken_promises(const history& history);
} // namespace gingerdyke::test
