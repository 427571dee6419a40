// SPDX-License-Identifier: MIT
// Since when a part of prompts makes replicas exit, as far as the evidence tells.
#pragma once

#include <functional>
#include <gingerdyke/quarantine/suspicion.hpp>

namespace gingerdyke::quarantine
{
/// \brief The evidence against a part from some exit on.
struct change_point
{
	/// The first exit that counts.
	instant since;

	/// Number of exits from then on, and their total weight.
	std::size_t exits{};
	double weight{};

	/// Number of completions whose answers began from then on.
	std::size_t completions{};

	/// Weight of the exits less what the completions outweigh.
	double strength{};
};

/// \brief Finds the exit from which on the evidence against a part is strongest. A part that was sound may
/// have begun to make replicas exit, for example with a new version of the software; what was completed
/// before says nothing on it then.
/// \param weight Weight of an exit.
/// \param exits_per_completion Weight that a completion outweighs.
[[nodiscard]] change_point find_change_point(const suspicion& evidence,
	const std::function<double(process_instance)>& weight, double exits_per_completion);
} // namespace gingerdyke::quarantine
