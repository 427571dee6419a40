// SPDX-License-Identifier: MIT
// A part of prompts that crashes replicas is quarantined on all VMs in time, and sound requests are not, at
// each size of the fleet.
#include "../support/suspect_fleet.hpp"
#include <catch2/catch.hpp>

using namespace gingerdyke;
using namespace gingerdyke::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::size_t max_sent_late = 3;
constexpr double max_refused_share = 0.02;

void check_part_is_quarantined(suspect_fleet_shape shape)
{
	for (const std::uint64_t seed : {1U, 2U, 3U})
	{
		shape.seed = seed;
		const auto counts = suspect_fleet{shape}.play();
		INFO(shape.vms << " VMs, seed " << seed << ": " << counts.crashes << " crashes, " << counts.sent_late
					   << " sent late, of " << counts.sound << " sound requests " << counts.sound_refused
					   << " refused, late " << counts.sound_refused_late << " of " << counts.sound_late);
		CHECK(counts.crashes >= 4);
		CHECK(counts.sent_late <= max_sent_late);
		CHECK(static_cast<double>(counts.sound_refused_late) <=
			  max_refused_share * static_cast<double>(counts.sound_late));
	}
}

/// A fleet whose traffic and replicas grow with its VMs.
suspect_fleet_shape make_shape(std::size_t vms)
{
	suspect_fleet_shape shape;
	shape.vms = vms;
	shape.replicas = vms == 7 ? 18 : vms;
	shape.sound_per_s = 8.0 * static_cast<double>(vms);
	return shape;
}
} // namespace

TEST_CASE("a crashing part is quarantined in time, 7 VMs", "[quarantine]")
{
	check_part_is_quarantined(make_shape(7));
}

TEST_CASE("a crashing part is quarantined in time, 85 VMs", "[quarantine]")
{
	check_part_is_quarantined(make_shape(85));
}

TEST_CASE("a crashing part is quarantined in time, 340 VMs", "[quarantine]")
{
	auto shape = make_shape(340);
	shape.length = seconds{16};
	check_part_is_quarantined(shape);
}

TEST_CASE(
	"a crashing part that one caller alone sends is quarantined, and the caller's other requests are not",
	"[quarantine]")
{
	auto shape = make_shape(7);
	shape.crashing_callers = 1;
	check_part_is_quarantined(shape);
	shape.callers = 400;
	check_part_is_quarantined(shape);
}

TEST_CASE("a part that was sound until it crashes replicas is quarantined in time", "[quarantine]")
{
	auto shape = make_shape(7);
	shape.replicas = 12;
	for (const double before_per_s : {2.0, 9.0})
	{
		shape.sound_before_per_s = before_per_s;
		shape.answer_time = milliseconds{600};
		check_part_is_quarantined(shape);
		shape.answer_time = seconds{3};
		check_part_is_quarantined(shape);
	}
}

TEST_CASE("a part that was sound until it crashes replicas is quarantined in time, 85 VMs", "[quarantine]")
{
	auto shape = make_shape(85);
	shape.length = seconds{12};
	shape.sound_before_per_s = 9;
	shape.answer_time = seconds{3};
	check_part_is_quarantined(shape);
}

TEST_CASE("a part that was sound beside losses of replicas and then crashes others is quarantined in time",
	"[quarantine]")
{
	auto shape = make_shape(7);
	shape.replicas = 12;
	shape.sound_before_per_s = 9;
	shape.early_rack_losses = 3;
	check_part_is_quarantined(shape);
}

TEST_CASE("a crashing part is quarantined in time without the registry", "[quarantine]")
{
	for (const std::size_t vms : {7U, 85U})
	{
		auto shape = make_shape(vms);
		shape.replicas = vms == 7 ? 12 : vms;
		shape.is_registry_away = true;
		check_part_is_quarantined(shape);
	}
}

TEST_CASE("a crashing part stays quarantined while VMs restart without the registry", "[quarantine]")
{
	auto shape = make_shape(7);
	shape.replicas = 12;
	shape.restart_interval = milliseconds{700};
	shape.is_registry_away = true;
	check_part_is_quarantined(shape);
	shape.is_registry_away = false;
	shape.are_rows_lost = true;
	check_part_is_quarantined(shape);
}

TEST_CASE("sound requests are not quarantined because of losses that no request causes", "[quarantine]")
{
	suspect_fleet_shape shape;
	shape.crashing_per_s = 0;
	shape.rack_losses_per_s = 0.5;
	shape.length = seconds{200};
	std::size_t sound = 0;
	std::size_t refused = 0;
	for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U})
	{
		shape.seed = seed;
		const auto counts = suspect_fleet{shape}.play();
		sound += counts.sound;
		refused += counts.sound_refused;
	}
	INFO(refused << " of " << sound << " refused");
	CHECK(sound > 90000);
	CHECK(refused == 0);
}
