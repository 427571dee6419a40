#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
"""The router's added time and its requests a second, against the same engine in the same run.

Three entry VMs in one failure domain, so that bills are journalled with two peers as in service; the engine takes
no time for a token.
"""
import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from demo import ROOT, Cluster, free_ports, wait_for_port  # noqa: E402


def main():
	parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
	parser.add_argument("--build", default=str(ROOT / "build/release"))
	parser.add_argument("--rounds", type=int, default=2000)
	parser.add_argument("--runs", type=int, default=3)
	parser.add_argument("--vms", type=int, default=3, help="entry VMs; with 1 there is no peer to journal with")
	options = parser.parse_args()
	with tempfile.TemporaryDirectory() as work:
		cluster = Cluster("padana", options.build, work)
		rows = cluster.table["rows"]
		version = "draft-small@1.4"
		keep = next(name for name in rows if name.startswith("replica/"))
		for name in [one for one in rows if one.startswith("replica/") and one != keep]:
			del rows[name]
		address = f"127.0.0.1:{free_ports(1)[0]}"
		rows[keep].update(address=address, slots=1000, versions=[version])
		domain = rows[keep]["failure_domain"]
		cluster.settings["seeds"] = [dict(one, failure_domain=domain) for one in cluster.settings["seeds"][:options.vms]]
		cluster.settings["log_level"] = "error"
		cluster.settings["platform"]["calls_per_second"] = 50
		try:
			cluster.start_platform()
			cluster.start("engine", "gingerdyke-standin", "engine", "--listen", address, "--versions", version, "--token-us", "0")
			wait_for_port(address)
			cluster.start_entry_vms()
			cluster.apply_table()
			cluster.wait_until_ready()
			pid = cluster.processes[cluster.vms[0]["vm"]].pid
			for run in range(options.runs):
				before = cpu_seconds(pid)
				subprocess.run([str(cluster.build / "router_overhead"), "--engine", address, "--node", cluster.vms[0]["http"], "--key", "stock-desk-demo-key", "--model", version, "--rounds", str(options.rounds)], check=True)
				print(f"run {run + 1}: processor time of the entry VM {cpu_seconds(pid) - before:.2f} s\n", flush=True)
		finally:
			cluster.stop()


def cpu_seconds(pid):
	fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
	return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


if __name__ == "__main__":
	sys.exit(main())
