"""Stand-ins for the platform (store, cloud API, runners) and for clients, and the start of
real nodes, for the review's scripts. Each speaks what PROTOCOL.md says and nothing else.

One process, one asyncio loop. Every address is a loopback address."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ledger.example"

# The bounds of the small deployments (SYSTEM.md).
BOUNDS = {"contact_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "fail_closed": True, "revoke_ms": 5000, "retry_ratio": 0.2,
          "retry_slack": 52, "lease_ms": 3000, "usage_window_s": 5, "usage_delay_s": 10}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """record.txt: one JSON object a line, with the time in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, what, **fields):
        line = {"t": round(self.now(), 4), "what": what, **fields}
        self.lines.append(line)
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
        return line

    def find(self, what, **fields):
        return [line for line in self.lines if line["what"] == what
                and all(line.get(k) == v for k, v in fields.items())]


def reset(writer):
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def read_message(reader):
    """Reads one HTTP message with a length or in chunks. Returns its first line, its fields
    (names in lower case) and its body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif int(fields.get("content-length", 0)) > 0:
        body = await reader.readexactly(int(fields["content-length"]))
    return first, fields, body


class Door:
    """One address of a server. While `cut` it accepts connections and answers nothing, as a
    server does that can't be reached."""

    def __init__(self):
        self.cut = False
        self.address = None
        self.writers = set()


class Store:
    """The platform's metadata store: items, ranges, watches, transactions, leases."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key: item
        self.log = []  # (revision, event)
        self.revision = 1
        self.leases = {}  # id: [end, seconds]
        self.next_lease = 7
        self.changed = asyncio.Condition()
        self.watches = set()  # (prefix, writer) of watches that wait
        self.listings = 0  # of the runners, so far

    async def open_door(self):
        door = Door()
        server = await asyncio.start_server(
            lambda r, w: self.serve(door, r, w), "127.0.0.1", 0, limit=1 << 22)
        door.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        return door

    async def run_leases(self):
        while True:
            await asyncio.sleep(0.05)
            for lease in [k for k, v in self.leases.items() if v[0] < time.monotonic()]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease and lease]:
            await self.remove(key)

    async def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        data = value if isinstance(value, bytes) else value.encode()
        created = self.items[key]["created"] if key in self.items else revision
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.log.append((revision, item))
        async with self.changed:
            self.changed.notify_all()
        return revision

    async def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.log.append((revision, {"key": key, "revision": revision, "deleted": True}))
        async with self.changed:
            self.changed.notify_all()

    def cut_watches(self):
        """Cuts the watches that wait. Returns their prefixes."""
        cut = sorted(prefix for prefix, _ in self.watches)
        for _, writer in list(self.watches):
            writer.close()
        return cut

    async def serve(self, door, reader, writer):
        door.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if door.cut:
                    await asyncio.sleep(3600)
                method, target, _ = message[0].split(" ", 2)
                await asyncio.sleep(0.004)
                status, body = await self.call(method, target, message[2], writer)
                if door.cut:
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            door.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body, writer):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "as_of": self.revision}) if item else (404, {})
        if method == "GET" and url.path == "/-/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            self.listings += query["prefix"] == "servers/"
            return 200, {"entries": [self.items[k] for k in keys[:500]],
                         "has_more": len(keys) > 500, "as_of": self.revision}
        if method == "GET" and url.path == "/-/kv-watch":
            return await self.watch(query, writer)
        if method == "DELETE" and url.path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(url.path.rsplit("/", 1)[1]))
            return 200, {}
        sent = json.loads(body or b"{}")
        if url.path == "/-/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            seconds = min(max(sent["ttl_ms"], 1000), 600_000) / 1000
            self.leases[lease] = [time.monotonic() + seconds, seconds]
            return 200, {"lease": lease, "ttl_ms": int(seconds * 1000)}
        if url.path.startswith("/-/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, {"ttl_ms": int(self.leases[lease][1] * 1000)}
        if url.path == "/-/kv-txn":
            return await self.transact(sent)
        return 400, {}

    async def transact(self, sent):
        rows = sent.get("expected_rev", [])
        current = [self.items.get(row["key"]) for row in rows]
        if any((item["revision"] if item else 0) != row["revision"]
               for row, item in zip(rows, current)):
            return 412, {"entries": [item for item in current if item]}
        puts = sent.get("put", [])
        if any(item.get("lease", 0) not in (0, *self.leases) for item in puts):
            return 404, {}
        if any(key.startswith(("op/", "servers/")) for key in
               [item["key"] for item in puts] + sent.get("remove", [])):
            return 403, {}
        self.revision += 1
        revision = self.revision
        for item in puts:
            await self.put(item["key"], base64.b64decode(item["value"]),
                           item.get("lease", 0), revision)
        for key in sent.get("remove", []):
            await self.remove(key, revision)
        return 200, {"revision": revision}

    async def watch(self, query, writer):
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000

        def events():
            return [e for revision, e in self.log
                    if revision > after and e["key"].startswith(query["prefix"])]

        self.watches.add((query["prefix"], writer))
        try:
            while not events() and time.monotonic() < end:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.watches.discard((query["prefix"], writer))
        return 200, {"events": events(), "as_of": self.revision}


class Cloud:
    """The platform's API for duties."""

    def __init__(self, record):
        self.record = record

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        while (message := await read_message(reader)) is not None:
            self.record.add("duty", call=message[0], owner=message[1].get("duty-owner"),
                            token=message[1].get("fencing-token"), body=message[2].decode())
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()


class Runner:
    """A runner. It registers itself under `servers/ID` and runs each request for `work_s`."""

    def __init__(self, record, store, name, service, zone, work_s=0.015, slots=6):
        self.record, self.store = record, store
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.running = 0
        self.seq = 0
        self.writers = set()
        self.listed = True

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        await self.register()
        asyncio.create_task(self.beat())

    async def register(self, state="ready"):
        self.seq += 1
        await self.store.put(f"servers/{self.name}", json.dumps(
            {"service": self.service, "address": self.address, "zone": self.zone,
             "version": 1, "batch_slots": self.slots, "state": state, "warmup_left_ms": 0,
             "seq": self.seq, "born": self.born}))

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.listed:
                return
            await self.register()

    async def unlist(self):
        """Its entry is removed; it serves on."""
        self.listed = False
        await self.store.remove(f"servers/{self.name}")

    def crash(self):
        """Ends at once: resets its connections, and its port has no listener any more."""
        self.listed = False
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.respond(message, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, message, writer):
        first, fields, body = message
        method, target, _ = first.split(" ", 2)
        if target == "/-/report":
            return self.write(writer, "200 OK", {}, json.dumps(
                {"born": self.born, "busy": False, "seq": 1, "queued": 0,
                 "active": self.running}).encode())
        attempt = fields.get("attempt-id", "")
        if fields.get("target-instance", self.name) != self.name:
            return self.write(writer, "421 Misdirected", {"Attempt-Id": attempt}, b"")
        if self.running >= self.slots:
            return self.write(writer, "503 Full", {"Attempt-Id": attempt, "Not-Executed": "1"}, b"")
        self.record.add("run", id=attempt, runner=self.name, service=self.service, method=method,
                        target=target, body_bytes=len(body), deadline_ms=fields.get("deadline-ms"),
                        tenant=fields.get("tenant"))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.write(writer, "200 OK", {
            "Attempt-Id": attempt, "Server-Signature": f"{self.name}.{attempt}",
            "Server-Load": f"{self.running},0,{self.slots}"}, f"answer to {attempt}".encode())
        self.record.add("runner_answered", id=attempt, runner=self.name)

    def write(self, writer, status, fields, body):
        head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer.write(f"HTTP/1.1 {status}\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)


def render(template, fields):
    """Fills in a template as DEPLOY.md says: values, `|json`, and sections that depend on one
    value."""

    def value_of(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def section(match):
        present = value_of(match[2]) not in (None, False)
        return match[3] if present == (match[1] == "#") else ""

    def placeholder(match):
        value = value_of(match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Node:
    """A node of the system: the command of the deploy file, as a process of its own."""

    PORTS = {"frontend": 8221, "readiness": 8224, "admin": 8229}

    def __init__(self, record, name, ip, zone, seeds, store_address, cloud_address, bounds=None):
        self.record, self.name, self.ip = record, name, ip
        self.folder = tempfile.TemporaryDirectory()
        self.settings = Path(self.folder.name) / "local.yaml"
        fields = {
            "node_name": name, "zone": zone, "ip": ip, "port_range": [7600, 7615],
            "seed_nodes": [f"{seed}:8229" for seed in seeds],
            "listen": {k: f"{ip}:{port}" for k, port in self.PORTS.items()},
            "platform": {"address": store_address}, "cloud": {"address": cloud_address},
            "bounds": {**BOUNDS, **(bounds or {})}, "limits": {"cpu_quota": 0.25}}
        template = (ROOT / "deploy/settings.yaml").read_text()
        self.settings.write_text(render(template, fields))
        self.log = open(Path(self.folder.name) / "node.log", "wb")
        self.process = None

    async def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'(?m)^run = "(.*)"', deploy)[1].split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} has not been built")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=self.log, stderr=self.log,
            env={**environment, "POLLENLEDGE_CONFIG": str(self.settings)})

    def signal(self, number):
        self.record.add("signal", node=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.PORTS["readiness"])
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while not await self.ready():
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if time.monotonic() > end:
                raise CannotRun(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
        self.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep, f"{self.name}.log").write_bytes(Path(self.log.name).read_bytes())
        self.folder.cleanup()


def free_ips(count):
    """Loopback addresses on which all ports of a node are free."""
    ports = [*Node.PORTS.values(), 7600, 9464]
    found = []
    while len(found) < count:
        ip = f"127.{random.randrange(10, 250)}.{random.randrange(250)}.{random.randrange(2, 250)}"
        sockets = []
        try:
            for port in ports:
                sockets.append(socket.create_server((ip, port)))
            found.append(ip)
        except OSError:
            pass
        finally:
            for sock in sockets:
                sock.close()
    return found


def route(name, kind, service, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "type": kind, "service": service,
            "timeout_ms": 5000, "slo_ms": 500, "priority": 1, "attempts": 2, "public": False,
            **more}


def config(version, routes, services, key="key-of-one-tenant"):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/healthz", "max_conns": 96}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-one", "api_keys": [key]}]})


KEY = "key-of-one-tenant"


def request(attempt, path, method="GET", body=b"", deadline_ms=4000, more=""):
    length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\n{more}{length}\r\n").encode() + body


class Client:
    """A client's connection to a node."""

    def __init__(self, record, node):
        self.record, self.node = record, node

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.ip, Node.PORTS["frontend"])
        return self

    async def send(self, attempt, path, **more):
        self.record.add("sent", id=attempt, path=path, node=self.node.name)
        self.writer.write(request(attempt, path, **more))
        await self.writer.drain()

    async def receive(self, seconds=5.0, waiting=None):
        """Returns the next answer as (status, fields, body), or None."""
        try:
            message = await asyncio.wait_for(read_message(self.reader), seconds)
        except (asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            self.record.add("no_answer", waiting=waiting, node=self.node.name)
            return None
        status = int(message[0].split(" ")[1])
        self.record.add("answered", waiting=waiting, status=status,
                        id=message[1].get("attempt-id"),
                        signature=message[1].get("server-signature"),
                        retry_after=message[1].get("retry-after"),
                        body=message[2][:80].decode("latin-1"), node=self.node.name)
        return status, message[1], message[2]

    def close(self):
        self.writer.close()

    @staticmethod
    async def once(record, node, attempt, path, **more):
        """Sends one request on a connection of its own and returns its answer."""
        try:
            client = await Client(record, node).open()
        except OSError:
            record.add("no_answer", waiting=attempt, node=node.name)
            return None
        await client.send(attempt, path, **more)
        answer = await client.receive(waiting=attempt)
        client.close()
        return answer


def play(record_path, case, limit_s=115):
    """Plays `case(record, nodes)`, which returns the broken rules, and exits with 1 if there are
    any, 0 if not, 2 if the case couldn't run. `nodes` collects the nodes to end."""

    async def main():
        record, nodes = Record(record_path), []
        try:
            broken = await asyncio.wait_for(case(record, nodes), limit_s)
        except (CannotRun, OSError, asyncio.TimeoutError) as problem:
            record.add("cannot_run", problem=repr(problem))
            print("could not run:", repr(problem))
            return 2
        finally:
            for node in nodes:
                await node.end()
        record.add("result", trouble=TROUBLE, broken=broken)
        for line in broken or ["the rule held"]:
            print(line)
        return 1 if broken else 0

    code = asyncio.run(main())
    sys.stdout.flush()
    os._exit(code)
