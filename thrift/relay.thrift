// SPDX-License-Identifier: MIT
// How VMs read the registry through each other. Encoded with the compact protocol, one struct a frame.
// The code under generated/ is made from this file by `make thrift` and is committed.

namespace cpp gingerdyke.wire

struct RelayPoll {
	1: required i64 call
	2: required string table
	3: required bool whole
	4: required i64 after
	5: required i64 wait_us
}

struct RelayRow {
	1: required string key
	2: required binary value
	3: required i64 version
	4: required bool removed
}

struct RelayAnswer {
	1: required i64 call
	2: required i32 outcome
	3: required list<RelayRow> rows
	4: required i64 newest
	5: required i64 registry_time_us
	6: required i64 age_us
}
