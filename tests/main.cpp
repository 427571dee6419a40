// SPDX-License-Identifier: MIT
// Runs all tests.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
