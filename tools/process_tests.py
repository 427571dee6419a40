#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
"""Real processes under failure: each case starts a system, lets one thing go wrong under load, and compares what
callers were told with what upstreams ran and what the ledger bills. No verdict depends on how long anything took.
"""
import argparse
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo import ROOT, Cluster, call  # noqa: E402

SETTLE_SECONDS = 90


def kill_entry_vm(cluster):
	victim = cluster.vms[-1]["vm"]
	cluster.kill(victim)
	cluster.say_gone(victim)


def freeze_entry_vm(cluster):
	process = cluster.processes[cluster.vms[0]["vm"]]
	process.send_signal(signal.SIGSTOP)
	time.sleep(4)
	process.send_signal(signal.SIGCONT)


def table_service_down_and_back(cluster):
	call("PUT", f"http://{cluster.table_service}/faults", {"mode": "down"})
	time.sleep(5)
	call("PUT", f"http://{cluster.table_service}/faults", {"mode": "none"})


def table_service_loses_answers(cluster):
	call("PUT", f"http://{cluster.table_service}/faults", {"mode": "lost-answer", "count": 20})


def engine_cuts_streams(cluster):
	for address in cluster.upstreams[:6]:
		call("PUT", f"http://{address}/faults", {"mode": "cut", "count": 3})


def engine_crosses_chunks(cluster):
	for address in cluster.upstreams[:6]:
		call("PUT", f"http://{address}/faults", {"mode": "crossed-chunk", "count": 5})


def engine_is_lost(cluster):
	name = next(one for one in cluster.processes if one.startswith("replica-"))
	cluster.kill(name)


def planned_stop(cluster):
	cluster.processes[cluster.vms[0]["vm"]].send_signal(signal.SIGTERM)


CASES = {
	"entry VM killed": kill_entry_vm,
	"entry VM frozen and thawed": freeze_entry_vm,
	"table service down and back": table_service_down_and_back,
	"table service loses answers after the effect": table_service_loses_answers,
	"engines cut streams in the middle": engine_cuts_streams,
	"engines answer with another request's chunks": engine_crosses_chunks,
	"an engine is lost": engine_is_lost,
	"planned stop with streams open": planned_stop,
}


def run_case(name, fault, options, work):
	cluster = Cluster("tariq", options.build, work)
	try:
		cluster.start_platform()
		cluster.start_upstreams()
		cluster.start_entry_vms()
		cluster.apply_table()
		cluster.wait_until_ready()
		nodes = ",".join(vm["http"] for vm in cluster.vms)
		load = subprocess.Popen([
			str(cluster.build / "gingerdyke-load"), "--nodes", nodes, "--plan", str(ROOT / "examples/tariq-load.json"),
			"--seconds", str(options.seconds), "--seed", "5", "--patience", str(SETTLE_SECONDS),
			"--table-service", cluster.table_service, "--upstreams", ",".join(cluster.upstreams),
			"--record", str(cluster.record),
		], stdout=subprocess.PIPE, text=True)
		time.sleep(options.seconds / 3)
		fault(cluster)
		output, _ = load.communicate(timeout=options.seconds + SETTLE_SECONDS + 60)
		problems = [] if load.returncode == 0 else [f"load says {load.returncode}"]
		if fault is planned_stop:
			problems += check_planned_stop(cluster, output)
		return problems, output
	finally:
		cluster.stop()


def check_planned_stop(cluster, output):
	"""The process ends by itself with status 0, and no request was cut."""
	status = cluster.processes[cluster.vms[0]["vm"]].wait(timeout=60)
	cut = next(line for line in output.splitlines() if "broken off" in line).split()[-1]
	problems = [] if status == 0 else [f"the stopped VM ended with status {status}"]
	return problems + ([] if cut == "0" else [f"{cut} request(s) cut by a planned stop"])


def main():
	parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
	parser.add_argument("--build", default=str(ROOT / "build/release"))
	parser.add_argument("--seconds", type=int, default=6)
	parser.add_argument("--only", help="run the cases whose name has this text")
	options = parser.parse_args()
	passed = failed = 0
	for name, fault in CASES.items():
		if options.only and options.only not in name:
			continue
		with contextlib.ExitStack() as cleanup:
			work = cleanup.enter_context(tempfile.TemporaryDirectory())
			problems, output = run_case(name, fault, options, work)
		passed += not problems
		failed += bool(problems)
		print(f"{'ok  ' if not problems else 'FAIL'} {name}")
		counts = [line.strip() for line in output.splitlines()[1:7]]
		print("     " + "; ".join(" ".join(line.split()) for line in counts), flush=True)
		if problems:
			print("     " + "; ".join(problems))
			print("\n".join("     " + line for line in output.splitlines() if line.startswith(("BROKEN", "verdict"))))
	print(f"{passed} passed, {failed} failed")
	return 1 if failed else 0


if __name__ == "__main__":
	sys.exit(main())
