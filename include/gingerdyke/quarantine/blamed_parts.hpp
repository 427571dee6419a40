// SPDX-License-Identifier: MIT
// Which of the parts that stood in prompts when replicas exited are to blame.
#pragma once

#include <gingerdyke/quarantine/suspicion.hpp>
#include <set>
#include <vector>

namespace gingerdyke::quarantine
{
/// \brief Parts that can't be told apart: all of them stood in the prompts when the same replicas exited, and
/// none has more completions than another. They may be parts of the same requests or of different ones.
struct blamed_parts
{
	std::vector<content_key> parts;

	/// Replica processes whose exits they explain.
	std::set<process_instance> exits;

	/// \brief Whether a request has one of the parts.
	[[nodiscard]] bool overlap(const content_keys& request) const;
};

/// \brief A part that may be to blame.
struct part_candidate
{
	content_key key;

	/// Replica processes that exited beside it, and the number of its completions since.
	std::set<process_instance> exits;
	std::size_t completions{};

	/// Weight of the exits less what the completions outweigh.
	double strength{};

	/// Number of exits for which it is blamed.
	double required_exits{};

	/// Whether it has been completed in the last minutes.
	bool is_known{};

	/// The first of the exits.
	instant since{};
};

/// \brief Blames as few parts as explain the exits. The part whose evidence exceeds most what it
/// needs comes first; others are blamed only for exits that those before do not explain.
[[nodiscard]] std::vector<blamed_parts> find_blamed_parts(std::vector<part_candidate> candidates);
} // namespace gingerdyke::quarantine
