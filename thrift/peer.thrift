// SPDX-License-Identifier: MIT
// What entry VMs tell each other. Encoded with the compact protocol, one envelope a frame.
// The code under generated/ is made from this file by `make thrift` and is committed.

namespace cpp gingerdyke.wire

struct Suspension {
	1: required string version
	2: required i64 row_revision
}

struct Digest {
	1: required i64 table
	2: required i64 confirmed_age_us
	3: required i64 asked_at
	4: required bool is_answer
	5: required i64 member_list_revision
	6: required list<Suspension> suspensions
	7: required bool leaving
}

struct TablePull {
	1: required i64 have
}

struct TableRow {
	1: required string id
	2: required i64 at
	3: required string text
	4: required bool removed
}

struct TablePush {
	1: required i64 from_revision
	2: required i64 to_revision
	3: required list<TableRow> rows
}

struct Member {
	1: required string vm
	2: required string failure_domain
	3: required i32 kind
	4: required i32 state
	5: required string address
}

struct MemberPush {
	1: required i64 list_revision
	2: required list<Member> members
}

struct BillLine {
	1: required string version
	2: required i64 tokens
	3: required i64 micro_cost
}

struct Bill {
	1: required string request
	2: required string workspace
	3: required i32 state
	4: required list<BillLine> lines
}

struct JournalPut {
	1: required list<Bill> bills
}

struct JournalAck {
	1: required list<string> requests
	2: required i32 state
}

struct JournalForget {
	1: required list<string> requests
}

struct Heartbeat {
}

struct Evidence {
	1: required string version
	2: required i64 row_revision
	3: required i64 answers
	4: required i64 failures
}

struct PermitRequest {
	1: required Evidence seen
	2: required i32 wanted
}

struct PermitGrant {
	1: required string version
	2: required i64 row_revision
	3: required i32 permits
	4: required i64 lifetime_us
}

struct EvidenceSum {
	1: required Evidence sum
	2: required string failure_domain
}

union Body {
	1: Digest digest
	2: TablePull table_pull
	3: TablePush table_push
	4: MemberPush member_push
	5: JournalPut journal_put
	6: JournalAck journal_ack
	7: JournalForget journal_forget
	8: Heartbeat heartbeat
	9: PermitRequest permit_request
	10: PermitGrant permit_grant
	11: EvidenceSum evidence_sum
}

struct Envelope {
	1: required string vm
	2: required i64 incarnation
	3: required string failure_domain
	4: required Body body
}
