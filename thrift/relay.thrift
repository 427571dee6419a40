// SPDX-License-Identifier: MIT
// How VMs read the registry through each other. Encoded with the compact protocol, one struct a frame.
// The code under generated/ is made from this file by `make thrift` and is committed.

namespace cpp gingerdyke.wire

// Work that is open at a replica, in tokens read, and the number of its requests.
struct RelayWork {
	1: required string replica
	2: required i64 tokens
	3: optional i32 requests
}

// Pace of a replica's process relative to its service: the mean logarithm of the ratio of observed to expected
// times, in thousandths, and the weight of the observations, in thousandths of one response.
struct RelayPace {
	1: required string replica
	2: required i64 incarnation
	3: required i32 mean_log_permille
	4: required i32 weight_permille
}

// Load of a service as one VM, or several together, observe it: what callers ask for by rank, and what became of
// what was sent to replicas, in thousandths of a request (engines: of a thousand tokens) per second; the mean time
// to the first byte; the number of these VMs.
struct RelayServiceLoad {
	1: required string service_name
	2: required list<i32> arrivals
	3: required i32 responses
	4: required i32 in_time
	5: required i32 rejections
	6: required i32 response_us
	7: required i32 vms
}

// How many VMs lately got no response from a replica's process, and how many got one.
struct RelaySilence {
	1: required string replica
	2: required i64 incarnation
	3: required i32 silent_vms
	4: required i32 answered_vms
}

struct RelayCounts {
	1: required i64 answers
	2: required i64 failed
}

// Counts of a cell: one half of the answers of a group of replicas. Cells without answers are left out.
struct RelayCellCounts {
	1: required i32 cell
	2: required i64 answers
	3: required i64 failed
}

// Failures on one route.
struct RelayRouteEvidence {
	1: required string route
	2: required RelayCounts before
	3: required list<RelayCellCounts> old_version
	4: required list<RelayCellCounts> new_version
}

// Counts of relative answer times by level, the lowest first; empty levels at the end are left out.
struct RelayCellTimes {
	1: required i32 cell
	2: required list<i32> levels
}

struct RelayTimeEvidence {
	1: required string model
	2: required list<i32> before
	3: required list<RelayCellTimes> old_version
	4: required list<RelayCellTimes> new_version
	5: required list<i32> usual
}

struct RelayEvidence {
	1: required string service_name
	2: required i64 order
	3: required list<RelayRouteEvidence> routes
	4: required list<RelayTimeEvidence> models
	5: required RelayRouteEvidence late
	6: required list<RelayTimeEvidence> paces
}

struct RelaySuspension {
	1: required string service_name
	2: required i64 order
}

// The life of a replica that ended, and others that ended at the same moment: lives are whole numbers. For a part
// of prompts also how long ago it ended.
struct RelayEnd {
	1: required i64 life
	2: required list<i64> together
	3: optional i64 age_us
}

// A request, or a part of prompts, under which replicas ended. For a part also how long ago the answers of the
// completions began, in their order.
struct RelaySuspicion {
	1: required string key
	2: required list<RelayEnd> ended
	3: required list<i64> survived
	4: optional list<i64> survived_age_us
	// How long ago the last of the replicas ended.
	5: optional i64 last_end_age_us
}

// What a VM heard of the requests a second that a replica asks for; without them the replica asks for no limit
// any more.
struct RelayLimit {
	1: required string replica
	2: required i64 incarnation
	3: optional double requests_per_s
	4: required i64 age_us
}

// Requests of a workspace that began running in a window of time, as one process counted them.
struct RelayUsage {
	1: required i64 window
	2: required string workspace
	3: required i64 requests
}

// Services that a VM has no path to, and the digest of the last summary that it got: 0 if that was empty.
struct RelayPaths {
	1: required string vm
	2: required list<string> services
	3: required i64 known
}

// VMs that have no path to a service; with a failure domain, all of its VMs but these.
struct RelayUnreachable {
	1: required string service_name
	2: optional string domain
	3: required list<string> vms
}

// What a VM tells the one that it reads from.
struct RelayReport {
	1: required string reporter
	2: required list<RelayWork> work
	3: required list<RelayEvidence> evidence
	4: optional list<RelaySuspension> suspended
	5: optional list<RelaySuspicion> suspects
	6: optional list<RelayLimit> limits
	7: optional list<RelayUsage> usage
	8: optional i64 clock_offset_us
	9: optional RelayPaths paths
	10: optional list<RelayPace> paces
	11: optional list<RelaySilence> silences
	12: optional list<RelayServiceLoad> loads
}

// What a VM is told in return. The VMs that can't reach a service are left out if it knows this digest.
struct RelaySummary {
	1: required list<RelayWork> work
	2: required list<RelaySuspension> suspended
	3: optional list<RelaySuspicion> suspects
	4: optional list<RelayLimit> limits
	5: optional i64 usage_stored_before
	6: optional i64 clock_offset_us
	7: optional i64 paths_digest
	8: optional list<RelayUnreachable> unreachable
	9: optional list<RelayPace> paces
	10: optional list<RelaySilence> silences
	11: optional list<RelayServiceLoad> loads
}

// A row with a large value that the caller has.
struct RelayKnownRow {
	1: required string key
	2: required i64 version
}

// A caller that lists its large rows, or none, decodes compressed rows.
struct RelayPoll {
	1: required i64 call
	2: required string table
	3: required bool whole
	4: required i64 after
	5: required i64 wait_us
	6: optional RelayReport report
	7: optional i64 oldest_us
	8: optional i64 era
	9: optional list<RelayKnownRow> known_rows
}

struct RelayRow {
	1: required string key
	2: required binary value
	3: required i64 version
	4: required bool removed
}

// Rows of a whole table; deflated where they pass between VMs.
struct RelayRows {
	1: required list<RelayRow> rows
}

// A row with a large value, compressed; with a base, as the difference to the value of that version.
struct RelayCompressedRow {
	1: required string key
	2: required i64 version
	3: required binary bytes
	4: optional i64 base
}

struct RelayAnswer {
	1: required i64 call
	2: required i32 outcome
	3: required list<RelayRow> rows
	4: required i64 newest
	5: required i64 registry_time_us
	6: required i64 age_us
	7: optional RelaySummary summary
	8: optional bool second_hand
	9: optional binary packed
	10: optional i64 era
	11: optional list<RelayCompressedRow> compressed
}
