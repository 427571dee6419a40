// SPDX-License-Identifier: MIT
// Runs all experiments; deterministic per seed.
#include "experiments.hpp"
#include <iomanip>

/// `experiments`: all of them; `experiments shifts N`, `experiments broken-responses N`: N drawn shifts of
/// each kind only.
int main(int count, char** arguments)
{
	std::cout << std::fixed << std::setprecision(3);
	const std::vector<std::string> words{arguments + 1, arguments + count};
	if (words.size() == 2 && words[0] == "shifts")
	{
		gingerdyke::bench::shifts(static_cast<unsigned>(std::stoul(words[1])));
		return 0;
	}
	if (words.size() == 2 && words[0] == "broken-responses")
	{
		gingerdyke::bench::broken_responses(static_cast<unsigned>(std::stoul(words[1])));
		return 0;
	}
	gingerdyke::bench::bad_versions();
	gingerdyke::bench::cascades();
	gingerdyke::bench::replica_choice();
	constexpr unsigned drawn_shifts = 20;
	gingerdyke::bench::shifts(drawn_shifts);
	return 0;
}
