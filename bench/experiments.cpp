// SPDX-License-Identifier: MIT
// Runs all experiments; deterministic per seed.
#include "experiments.hpp"
#include <iomanip>

int main()
{
	std::cout << std::fixed << std::setprecision(3);
	gingerdyke::bench::bad_versions();
	gingerdyke::bench::cascades();
	gingerdyke::bench::replica_choice();
	return 0;
}
