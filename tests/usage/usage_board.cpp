// SPDX-License-Identifier: MIT
// Usage counted by many VMs.
#include <catch2/catch.hpp>
#include <gingerdyke/usage/usage_board.hpp>

using namespace gingerdyke;
using namespace gingerdyke::usage;

namespace
{
const workspace_id alpha{"alpha"};
const workspace_id beta{"beta"};
} // namespace

TEST_CASE("usage that arrives several times and by several ways counts once", "[usage]")
{
	usage_board board;
	board.add("own", alpha, window_index{7});
	board.merge({"vm-1", {{window_index{7}, alpha, 3}, {window_index{8}, alpha, 1}}});
	board.merge({"vm-1", {{window_index{7}, alpha, 5}}});
	board.merge({"vm-1", {{window_index{7}, alpha, 4}, {window_index{7}, beta, 2}}});
	CHECK(board.totals(window_index{7}) == workspace_counts{{alpha, 6}, {beta, 2}});
	CHECK(board.totals(window_index{8}) == workspace_counts{{alpha, 1}});
	CHECK(board.totals(window_index{9}).empty());
}

TEST_CASE("a restarted process counts beside what its predecessor reported", "[usage]")
{
	usage_board board;
	board.merge({"vm-1-a", {{window_index{7}, alpha, 3}}});
	board.merge({"vm-1-b", {{window_index{7}, alpha, 2}}});
	CHECK(board.totals(window_index{7}) == workspace_counts{{alpha, 5}});
}

TEST_CASE("windows that were reported are forgotten", "[usage]")
{
	usage_board board;
	board.merge({"vm-1", {{window_index{7}, alpha, 3}, {window_index{8}, alpha, 1}}});
	board.forget_before(window_index{8});
	CHECK_FALSE(board.contains(window_index{7}));
	CHECK(board.contains(window_index{8}));
	CHECK(board.all().size() == 1);
	CHECK(board.cells_of("vm-1") == std::vector<usage_cell>{{window_index{8}, alpha, 1}});
}
