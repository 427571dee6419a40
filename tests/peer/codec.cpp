// SPDX-License-Identifier: MIT
// Frames between entry VMs.
#include <catch2/catch.hpp>
#include <gingerdyke/peer/codec.hpp>

using namespace gingerdyke;

namespace
{
constexpr const char* secret = "a secret of this test";

std::vector<peer::message> all_messages()
{
	const auto version = version_ref::parse("m@1");
	const ledger::bill bill{request_id{"r"}, workspace_id{"w"}, ledger::bill_state::final_amount,
		{{version, tokens{3}, micro_cost{4}}}};
	const peer::evidence seen{version, revision{5}, 10, 2};
	return {
		peer::digest{revision{7}, duration{8}, 9, true, 10, {{version, revision{11}}}, true},
		peer::table_pull{revision{3}},
		peer::table_push{revision{1}, revision{2}, {{row_id{"class/x"}, revision{2}, "{}", false}}},
		peer::member_push{{4, {{vm_id{"v"}, failure_domain_id{"f"}, membership::member_kind::upstream,
								  membership::member_state::draining, "127.0.0.1:1"}}}},
		peer::journal_put{{bill}},
		peer::journal_ack{{request_id{"r"}}, ledger::bill_state::final_amount},
		peer::journal_forget{{request_id{"r"}}},
		peer::heartbeat{},
		peer::permit_request{seen, 4},
		peer::permit_grant{version, revision{5}, 2, duration{1000}},
		peer::evidence_sum{seen, failure_domain_id{"f"}},
	};
}

std::string frame_of(const peer::message& message)
{
	return peer::encode({{vm_id{"v"}, 42}, failure_domain_id{"f"}, message}, secret);
}
} // namespace

TEST_CASE("every message comes out as it went in", "[codec]")
{
	for (const auto& message : all_messages())
	{
		const auto frame = frame_of(message);
		const auto size = peer::frame_length(frame);
		REQUIRE(size == frame.size() - peer::length_bytes);
		const auto read = peer::decode(std::string_view{frame}.substr(peer::length_bytes), secret);
		REQUIRE(read);
		CHECK(read->from == vm_incarnation{vm_id{"v"}, 42});
		CHECK(read->body.index() == message.index());
		CHECK(frame_of(read->body) == frame);
	}
}

TEST_CASE("a forged, cut or foreign frame is refused", "[codec]")
{
	const auto frame = frame_of(all_messages().front()).substr(peer::length_bytes);
	CHECK_FALSE(peer::decode(frame, "another secret"));
	for (std::size_t i = 0; i < frame.size(); ++i)
	{
		auto forged = frame;
		forged[i] = static_cast<char>(forged[i] ^ 1);
		CHECK_FALSE(peer::decode(forged, secret));
		CHECK_FALSE(peer::decode(frame.substr(0, i), secret));
		CHECK_NOTHROW(peer::decode_body(frame.substr(i)));
	}
}

TEST_CASE("a length that is too small or too large is refused", "[codec]")
{
	CHECK_FALSE(peer::frame_length(std::string(4, '\0')));
	CHECK_FALSE(peer::frame_length(std::string(4, '\xff')));
	CHECK_FALSE(peer::frame_length("abc"));
}
