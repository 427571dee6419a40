# SPDX-License-Identifier: MIT
"""A small deployment on loopback: the platform's store, replicas, consumers and the project's own VMs.

Everything but the VMs runs in this process, on one event loop. The VMs are started with the command of the
deploy file, and settings like those that its template makes.
"""
import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text())
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run; nothing is said about the rule."""


class Record:
    def __init__(self, case):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(case) / "record.txt", "w", buffering=1)

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


async def read_head(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = [line.split(":", 1) for line in head[1:] if line]
    return head[0], [(name, value.strip()) for name, value in fields]


def find(fields, name):
    return next((value for key, value in fields if key.lower() == name.lower()), None)


async def read_body(reader, fields):
    if (find(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
    return await reader.readexactly(int(find(fields, "Content-Length") or 0))


def answer_bytes(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} x"] + [f"{name}: {value}" for name, value in fields]
    return "\r\n".join(lines + [f"Content-Length: {len(body)}", "", ""]).encode() + body


class Server:
    """Serves HTTP/1.1 on a loopback address, one request at a time on a channel."""

    def __init__(self, ip="127.0.0.1"):
        self.ip, self.port, self.server, self.writers = ip, 0, None, set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                method, target, _ = line.split(" ")
                await self.handle(method, target, fields, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, fields, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self):
        super().__init__()
        self.rows, self.history, self.version, self.changed = {}, [], 0, asyncio.Event()

    def put(self, table, key, value):
        self._write(table, key, json.dumps(value).encode())
        self._wake()

    def remove(self, table, key):
        self._write(table, key, None)
        self._wake()

    def value(self, table, key):
        found = self.rows.get((table, key))
        return json.loads(found[0]) if found and found[0] is not None else None

    def _write(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (value, self.version)
        self.history.append((table, key, value, self.version))

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _row(table, key, value, version):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    def _reply(self, writer, status, body):
        body = body | {"ver": self.version, "now_ms": time.monotonic() * 1000}
        writer.write(answer_bytes(status, [("Content-Type", "application/json")], json.dumps(body).encode()))

    async def handle(self, method, target, fields, reader, writer):
        body = await read_body(reader, fields)
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        if path == "/v1/rows-get":
            self._get(query, writer)
        elif path == "/v1/rows-feed":
            await self._feed(query, writer)
        elif path == "/v1/rows-tx" and method == "POST":
            self._change(json.loads(body), writer)
        else:
            self._reply(writer, 404, {})
        await writer.drain()

    def _get(self, query, writer):
        rows = [self._row(table, key, *row) for (table, key), row in sorted(self.rows.items())
                if table == query["table"] and row[0] is not None and key >= query.get("from", "")]
        limit = int(query.get("limit", 500))
        self._reply(writer, 200, {"rows": rows[:limit], "truncated": len(rows) > limit})

    async def _feed(self, query, writer):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            rows = [self._row(*entry) for entry in self.history
                    if entry[0] == query["table"] and entry[3] > int(query["after"])]
            left = until - time.monotonic()
            if rows or left <= 0:
                self._reply(writer, 200, {"rows": rows})
                return
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _change(self, body, writer):
        current, holds = [], True
        for condition in body.get("if_rev", []):
            key = (condition["table"], condition["key"])
            found = self.rows.get(key)
            exists = found is not None and found[0] is not None
            holds = holds and condition["ver"] == (found[1] if exists else 0)
            if exists:
                current.append(self._row(*key, *found))
        if not holds:
            self._reply(writer, 412, {"rows": current})
            return
        for put in body.get("puts", []):
            self._write(put["table"], put["key"], base64.b64decode(put["value"]))
        for removal in body.get("remove", []):
            self._write(removal["table"], removal["key"], None)
        self._reply(writer, 200, {})
        self._wake()


class Replica(Server):
    """A replica of a service. `act` answers a request that is to run here."""

    def __init__(self, record, store, service, number, act, zone="sala-mi", version="v1"):
        super().__init__()
        self.id = f"i-{service}-{number}"
        self.record, self.store, self.act = record, store, act
        self.entry = {"service": service, "zone": zone, "version": version, "slots": 64, "state": "ready",
                      "cold_remaining_ms": 0, "sequence": 1}

    def enter(self):
        self.store.put("servers", self.id, self.entry | {"address": self.address})

    def proof(self, request):
        return [("X-Gingerdyke-Request-Id", request),
                ("X-Gingerdyke-Server-Stamp", f"{self.id}.{request}")]

    async def handle(self, method, target, fields, reader, writer):
        request = find(fields, "X-Gingerdyke-Request-Id") or ""
        if find(fields, "X-Gingerdyke-Target-Instance") != self.id:
            await read_body(reader, fields)
            writer.write(answer_bytes(421, [("X-Gingerdyke-Request-Id", request),
                                            ("X-Gingerdyke-Replica-Id", self.id)]))
            await writer.drain()
            return
        self.record.write(f"replica {self.id} arrived {request} {method} {target}")
        await self.act(self, request, fields, reader, writer)


def route(name, prefix, kind, service, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 20000, "target_latency_ms": 1000, "priority": 1, "max_attempts": 3,
            "public": False} | more


def manifest(version, routes, services, keys, **limits):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "max_connections": 360, "health_path": "/healthz"}
                         for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000} | limits,
            "tenants": [{"name": "hule930", "api_keys": list(keys)}]}


class Vm:
    """One process of the project, as the deploy file runs it."""

    def __init__(self, world, name, zone="sala-mi", **more):
        self.world, self.name, self.process = world, name, None
        self.front, self.ready, self.relay, self.forwarding = world.free_ports(4)
        ip = world.ip
        self.settings = {
            "vm": name, "failure_domain": zone, "serve": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}",
            "registry": world.store.address, "relay": f"{ip}:{self.relay}",
            "forwarding": f"{ip}:{self.forwarding}", "change_limit_ms": 2000, "leave_limit_ms": 2000,
            "regions": {"sala-mi": "padana", "sala-bs": "padana", "sala-vr": "padana"},
            "link_mbps": 1000.0, "memory_mb": 260, "stop_limit_ms": 8000, "log_level": "info",
            "keys_revoked_ms": 5000, "exposure_limit": 0.15, "exposure_slack": 30, "keys_must_expire": True,
            "features": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
                         "tenants", "platform", "rollout"],
            "attempts": {"ratio": 0.9, "window_s": 10, "slack": 54}} | more

    def start(self):
        file = self.world.folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings))
        run = DEPLOY["roles"]["router"]["run"].split(" ")
        if not (ROOT / run[0]).exists():
            raise CannotRun(f"{run[0]} is not built")
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(self.world.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(run, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env=variables | {"GINGERDYKE_CONFIG": str(file)})
        log.close()
        self.world.record.write(f"vm {self.name} started")
        return self

    def signal(self, number):
        self.world.record.write(f"vm {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.world.ip, self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            writer.close()
            return " 200 " in line
        except (ConnectionError, asyncio.IncompleteReadError):
            return False

    async def until_ready(self, limit=10):
        until = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.05)
        return self


class World:
    def __init__(self, case):
        self.record = Record(case)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gingerdyke-review-"))
        # A loopback address of its own: other programs' ports don't get in the way.
        self.ip = f"127.{2 + os.getpid() % 250}.{os.getpid() // 250 % 250}.7"
        self.store = Store()
        self.vms, self.replicas, self.held = [], [], []

    def free_ports(self, count):
        sockets = [socket.socket() for _ in range(count)]
        for one in sockets:
            one.bind((self.ip, 0))
        ports = [one.getsockname()[1] for one in sockets]
        for one in sockets:
            one.close()
        return ports

    def add_vm(self, name, **more):
        self.vms.append(Vm(self, name, **more))
        return self.vms[-1]

    async def add_replica(self, service, act, **more):
        made = Replica(self.record, self.store, service, len(self.replicas), act, **more)
        await made.listen()
        made.enter()
        self.replicas.append(made)
        return made

    def end(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.kill()
            if vm.process:
                vm.process.wait()
                self.record.write(f"vm {vm.name} ended with {vm.process.returncode}")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(case, play, limit=110):
    """Plays a case and ends with its exit code: 1 if the rule was broken, 0 if it held, 2 if it didn't run."""
    world = None
    try:
        world = World(case)

        async def bounded():
            await world.store.listen()
            return await asyncio.wait_for(play(world), limit)

        broken = asyncio.run(bounded())
        world.record.write("RULE BROKEN: " + broken if broken else "the rule held")
        print("broken: " + broken if broken else "held")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as why:
        print(f"could not run: {why!r}")
        code = 2
    finally:
        if world:
            world.end()
    sys.stdout.flush()
    os._exit(code)
