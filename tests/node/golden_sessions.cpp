// SPDX-License-Identifier: MIT
// Golden files of whole sessions: what happened, line by line. `make golden` writes them anew; the diff is
// read.
#include "support/promises.hpp"
#include "support/scenario.hpp"
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
std::string text_of(const history& history)
{
	std::string text;
	for (const auto& line : history.lines)
	{
		text += line + "\n";
	}
	text += "\nbills\n";
	for (const auto& [id, bill] : history.bills)
	{
		text += id + " " + bill.dump() + "\n";
	}
	text += "\nbroken promises\n";
	for (const auto& line : broken_promises(history))
	{
		text += line + "\n";
	}
	return text;
}

std::string path_of(const std::string& name)
{
	return std::string{GINGERDYKE_SOURCE_DIR} + "/tests/golden/" + name + ".txt";
}

/// Compares with the golden file, or writes it where that was asked for.
void compare(const std::string& name, const history& history)
{
	const auto text = text_of(history);
	if (std::getenv("GINGERDYKE_WRITE_GOLDEN") != nullptr)
	{
		std::ofstream{path_of(name)} << text;
		return;
	}
	std::ifstream file{path_of(name)};
	std::ostringstream golden;
	golden << file.rdbuf();
	CHECK(text == golden.str());
	CHECK(broken_promises(history).empty());
}

world_options with_lines()
{
	world_options options;
	options.seed = 11;
	options.keep_lines = true;
	return options;
}

request_spec streamed(std::uint64_t tokens = 6)
{
	request_spec spec;
	spec.streamed = true;
	spec.tokens = tokens;
	return spec;
}

/// A world with its table in force.
void begin(world& world)
{
	world.at(seconds{1}, [&world] { world.edit(world.vm(0), world_table()); });
	world.run_until(seconds{6});
}
} // namespace

TEST_CASE("golden: an ordinary session", "[golden]")
{
	world world{with_lines()};
	begin(world);
	const auto first = world.send(streamed(), world.vm(0));
	world.run_until(seconds{7});
	auto next = streamed();
	next.session = world.session_of(first);
	world.send(next, world.vm(3));
	world.run_until(seconds{8});
	next.target = "c";
	next.streamed = false;
	world.send(next, world.vm(1));
	world.send(order_with("order-1"), world.vm(2));
	world.run_until(seconds{9});
	world.send(order_with("order-1"), world.vm(4));
	world.run_until(seconds{15});
	compare("ordinary_session", world.finish());
}

TEST_CASE("golden: a version is withdrawn in the middle of a session", "[golden]")
{
	world world{with_lines()};
	begin(world);
	const auto first = world.send(streamed(40), world.vm(0));
	world.run_until(seconds{6} + milliseconds{200});
	const auto version = world.version_of(first);
	world.edit(world.vm(5), {{"version/" + version.str(), version_in("withdrawn")}});
	world.run_until(seconds{12});
	auto next = streamed();
	next.session = world.session_of(first);
	world.send(next, world.vm(3));
	world.send(streamed(), world.vm(3));
	world.run_until(seconds{16});
	compare("withdrawn_in_session", world.finish());
}

TEST_CASE("golden: a roll-out whose version is bad is suspended", "[golden]")
{
	world world{with_lines()};
	begin(world);
	// All replicas of one failure domain answer the new version with errors.
	auto trial = version_in("trial");
	trial["trial_share"] = 1.0;
	trial["tolerated_failures"] = 0.02;
	world.edit(world.vm(0), {{"version/m@2", trial}});
	world.run_until(seconds{20});
	world.fail_version(version_ref::parse("m@2"));
	for (int i = 0; i < 60; ++i)
	{
		world.at(seconds{20} + milliseconds{250} * i,
			[&world, i] { world.send(streamed(2), world.vm(static_cast<std::size_t>(i % 3))); });
	}
	world.run_until(seconds{40});
	compare("roll_out_suspended", world.finish());
}

TEST_CASE("golden: a failure domain is cut off and comes back", "[golden]")
{
	world world{with_lines()};
	begin(world);
	world.cut_from_platform(world.domain_of(world.vm(0)), seconds{40});
	world.cut_from_peers(world.domain_of(world.vm(0)), seconds{40});
	world.run_until(seconds{8});
	world.edit(world.vm(1), {{"version/m@2", version_in("withdrawn")}});
	world.run_until(seconds{20});
	world.send(streamed(), world.vm(0));
	world.send(order_with("order-1"), world.vm(0));
	world.send(streamed(), world.vm(1));
	world.run_until(seconds{60});
	world.send(order_with("order-1"), world.vm(0));
	world.run_until(seconds{80});
	compare("cut_off_domain", world.finish());
}

TEST_CASE("golden: an entry VM is killed and its peers settle its bills", "[golden]")
{
	world world{with_lines()};
	begin(world);
	world.send(streamed(200), world.vm(0));
	world.send(streamed(4), world.vm(0));
	world.send(order_with("order-1"), world.vm(0));
	world.run_until(seconds{9});
	world.kill(world.vm(0));
	world.send(order_with("order-1"), world.vm(1));
	world.run_until(seconds{40});
	compare("killed_entry_vm", world.finish());
}

TEST_CASE("golden: a planned stop with a stream open", "[golden]")
{
	world world{with_lines()};
	begin(world);
	world.send(streamed(100), world.vm(0));
	world.run_until(seconds{6} + milliseconds{300});
	world.stop(world.vm(0));
	world.send(streamed(), world.vm(0));
	world.run_until(seconds{20});
	compare("planned_stop", world.finish());
}
