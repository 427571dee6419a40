// SPDX-License-Identifier: MIT
// Any bytes as a file of declarations: a table or findings, never more.
#include <cstdint>
#include <gingerdyke/table/table.hpp>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
	const auto source = gingerdyke::json_source::parse("fuzz", {reinterpret_cast<const char*>(data), size});
	if (!source)
	{
		if (source.error().empty())
		{
			__builtin_trap();
		}
		return 0;
	}
	const auto compiled = gingerdyke::table::table::compile(*source);
	if (!compiled && compiled.error().empty())
	{
		__builtin_trap();
	}
	return 0;
}
