// SPDX-License-Identifier: MIT
// Session handles.
#include <catch2/catch.hpp>
#include <gingerdyke/session/handle.hpp>

using namespace gingerdyke;

TEST_CASE("a handle says what it was minted with", "[handle]")
{
	const session::handle handle{workspace_id{"w"}, version_ref::parse("m@1"), "n"};
	CHECK(session::verify(session::mint(handle, "key"), "key") == handle);
}

TEST_CASE("a handle that was not minted here is refused", "[handle]")
{
	const session::handle handle{workspace_id{"w"}, version_ref::parse("m@1"), "n"};
	const auto text = session::mint(handle, "key");
	CHECK_FALSE(session::verify(text, "other key"));
	CHECK_FALSE(session::verify("", "key"));
	CHECK_FALSE(session::verify(".", "key"));
	for (std::size_t i = 0; i < text.size(); ++i)
	{
		auto forged = text;
		forged[i] = forged[i] == '0' ? '1' : '0';
		CHECK_FALSE(session::verify(forged, "key"));
	}
}
