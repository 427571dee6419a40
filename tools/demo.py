#!/usr/bin/env python3
# SPDX-License-Identifier: MIT
"""Runs one user's system on this machine: stand-ins, 7 entry VMs, mixed load, the loss of one entry VM.

Every process is started here, listens on a free loopback port, and is ended here, also on Ctrl-C.
"""
import argparse
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY_VMS = 7
READY_SECONDS = 20


def free_ports(count):
	"""Ports that nobody listens at; all held open until the last one was found."""
	with contextlib.ExitStack() as held:
		ports = []
		for _ in range(count):
			one = held.enter_context(socket.socket())
			one.bind(("127.0.0.1", 0))
			ports.append(one.getsockname()[1])
		return ports


def call(method, url, body=None, key=None):
	request = urllib.request.Request(url, method=method)
	data = None if body is None else json.dumps(body).encode()
	if key:
		request.add_header("Authorization", "Bearer " + key)
	if data:
		request.add_header("Content-Type", "application/json")
	with urllib.request.urlopen(request, data, timeout=10) as answer:
		text = answer.read()
	return json.loads(text) if text else None


class Cluster:
	"""All processes of one demo."""

	def __init__(self, user, build, work):
		self.user = user
		self.build = pathlib.Path(build)
		self.work = pathlib.Path(work)
		self.processes = {}
		self.key = f"{user}-operator-demo-key"
		self.table = json.loads((ROOT / f"examples/{user}-table.json").read_text())
		self.settings = json.loads((ROOT / f"examples/{user}-settings.json").read_text())
		self.upstreams = []
		self.record = self.work / "record"
		self.vms = []

	def start(self, name, program, *arguments):
		log = open(self.work / f"{name}.log", "wb")
		command = [str(self.build / program), *arguments]
		self.processes[name] = subprocess.Popen(command, stdout=log, stderr=subprocess.STDOUT, start_new_session=True)

	def start_platform(self):
		self.table_service, self.vm_list, self.rating = (f"127.0.0.1:{port}" for port in free_ports(3))
		for role, address in (("table-service", self.table_service), ("vm-list", self.vm_list), ("rating-service", self.rating)):
			self.start(role, "gingerdyke-standin", role, "--listen", address)
			wait_for_port(address)

	def start_upstreams(self):
		rows = self.table["rows"]
		replicas = {name: row for name, row in rows.items() if name.startswith("replica/")}
		services = [endpoint for name, row in rows.items() if name.startswith("service/") for endpoint in row["endpoints"]]
		ports = free_ports(len(replicas) + len(services))
		for name, row in replicas.items():
			row["address"] = f"127.0.0.1:{ports.pop()}"
			self.start(name.replace("/", "-"), "gingerdyke-standin", "engine", "--listen", row["address"], "--versions", ",".join(row["versions"]), "--record", str(self.record))
			self.upstreams.append(row["address"])
		for endpoint in services:
			endpoint["address"] = f"127.0.0.1:{ports.pop()}"
			self.start(endpoint["vm"], "gingerdyke-standin", "service", "--listen", endpoint["address"])
			self.upstreams.append(endpoint["address"])
		for address in self.upstreams:
			wait_for_port(address)

	def start_entry_vms(self):
		seeds = self.settings["seeds"][:ENTRY_VMS]
		ports = free_ports(2 * len(seeds))
		for seed in seeds:
			seed["address"] = f"127.0.0.1:{ports.pop()}"
		members = [{**seed, "kind": "entry", "state": "live"} for seed in seeds]
		call("PUT", f"http://{self.vm_list}/v1/vms", {"revision": 0, "vms": members})
		for seed in seeds:
			self.start_entry_vm(seed, seeds, f"127.0.0.1:{ports.pop()}")
		for vm in self.vms:
			wait_for_port(vm["http"])

	def start_entry_vm(self, seed, seeds, http):
		settings = dict(self.settings, vm=seed["vm"], failure_domain=seed["failure_domain"], http=http, peer=seed["address"], seeds=seeds)
		settings["platform"] = {"table_service": self.table_service, "vm_list": self.vm_list, "rating_service": self.rating, "calls_per_second": 50}
		path = self.work / f"{seed['vm']}.json"
		path.write_text(json.dumps(settings))
		self.start(seed["vm"], "gingerdyke", "serve", "--settings", str(path))
		self.vms.append({"vm": seed["vm"], "http": http})

	def apply_table(self):
		path = self.work / "table.json"
		path.write_text(json.dumps(self.table, indent="\t"))
		environment = dict(os.environ, GINGERDYKE_OPERATOR_KEY=self.key)
		command = [str(self.build / "gingerdyke"), "apply", "--node", self.vms[0]["http"], str(path)]
		output = subprocess.run(command, env=environment, check=True, capture_output=True, text=True).stdout
		print(output.splitlines()[-1])

	def wait_until_ready(self):
		deadline = time.monotonic() + READY_SECONDS
		for vm in self.vms:
			while not is_ready(vm["http"]):
				if time.monotonic() > deadline:
					raise RuntimeError(f"{vm['vm']} did not become ready")
				time.sleep(0.05)

	def kill(self, name):
		"""kill -9, as a VM is lost; the platform's list says so a little later."""
		self.processes[name].kill()
		self.processes[name].wait()

	def say_gone(self, name):
		call("PATCH", f"http://{self.vm_list}/v1/vms", {"vm": name, "state": "gone"})

	def stop(self):
		for process in self.processes.values():
			if process.poll() is None:
				process.kill()
		for process in self.processes.values():
			process.wait()


def wait_for_port(address):
	host, port = address.split(":")
	deadline = time.monotonic() + READY_SECONDS
	while time.monotonic() < deadline:
		with socket.socket() as probe:
			if probe.connect_ex((host, int(port))) == 0:
				return
		time.sleep(0.02)
	raise RuntimeError(f"nothing listens at {address}")


def is_ready(address):
	try:
		return call("GET", f"http://{address}/ready")["ready"]
	except (urllib.error.URLError, ConnectionError, OSError):
		return False


def run(cluster, seconds, seed):
	cluster.start_platform()
	cluster.start_upstreams()
	cluster.start_entry_vms()
	cluster.apply_table()
	cluster.wait_until_ready()
	print(f"{cluster.user}: {len(cluster.vms)} entry VMs ready before {len(cluster.upstreams)} upstreams; load for {seconds} s")
	nodes = ",".join(vm["http"] for vm in cluster.vms)
	load = subprocess.Popen([
		str(cluster.build / "gingerdyke-load"), "--nodes", nodes, "--plan", str(ROOT / f"examples/{cluster.user}-load.json"),
		"--seconds", str(seconds), "--seed", str(seed), "--table-service", cluster.table_service, "--upstreams", ",".join(cluster.upstreams),
		"--record", str(cluster.record),
	])
	try:
		time.sleep(seconds / 2)
		victim = cluster.vms[-1]["vm"]
		cluster.kill(victim)
		print(f"killed entry VM {victim}", flush=True)
		time.sleep(1)
		cluster.say_gone(victim)
		return load.wait()
	finally:
		if load.poll() is None:
			load.kill()
			load.wait()


def main():
	parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
	parser.add_argument("--user", choices=("padana", "tariq"), default="padana")
	parser.add_argument("--build", default=str(ROOT / "build/release"))
	parser.add_argument("--seconds", type=int, default=10)
	parser.add_argument("--seed", type=int, default=1)
	parser.add_argument("--keep-logs", action="store_true", help="leave the processes' logs in .demo/")
	options = parser.parse_args()
	signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
	with contextlib.ExitStack() as cleanup:
		work = ROOT / ".demo"
		if options.keep_logs:
			work.mkdir(exist_ok=True)
		else:
			work = cleanup.enter_context(tempfile.TemporaryDirectory())
		cluster = Cluster(options.user, options.build, work)
		cleanup.callback(cluster.stop)
		try:
			return run(cluster, options.seconds, options.seed)
		except KeyboardInterrupt:
			return 1


if __name__ == "__main__":
	sys.exit(main())
