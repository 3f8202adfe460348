"""Stand-ins for the scripts of the second review (issue 68): the platform's store, the cloud API,
runners and a client. Each follows the users' pages; the node is the program
of deploy/system.toml with the settings of deploy/settings.yaml. No dependencies."""

import atexit
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
START = time.monotonic()
PROCESSES = []

# The figures of the sheet "Gift Receipt Drafting Router Fleet, Cardiff".
BOUNDS = dict(contact_ms=3000, drain_ms=2000, grace_s=8, config_apply_ms=2000, fail_closed=True,
              revoke_ms=5000, retry_ratio=0.2, retry_slack=52, usage_window_s=5, usage_delay_s=10,
              lease_ms=3000)


class CannotRun(Exception):
    """The case could not be set up (exit status 2)."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", buffering=1)
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - START:8.3f} {text}"
            self.file.write(line + "\n")


def stop_all(*_):
    for process in PROCESSES:
        if process.poll() is None:
            process.kill()
            process.wait()


atexit.register(stop_all)
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


def free_port(hosts, kinds=(socket.SOCK_STREAM,)):
    """A port that is free on each of `hosts` for each of `kinds`."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        held = []
        try:
            for host in hosts:
                for kind in kinds:
                    held.append(socket.socket(socket.AF_INET, kind))
                    held[-1].bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise CannotRun("no free port")


class HttpServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Store:
    """The platform's metadata store, without faults: items, ranges, watches, transactions, leases."""

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}  # key: (value, revision, lease)
        self.history = []  # (revision, key, value or None)
        self.revision = 1
        self.leases = {}  # id: [end, seconds]
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                url = urlparse(self.path)
                self.reply(*store.get(url.path, {k: v[0] for k, v in parse_qs(url.query).items()}))

            def do_POST(self):
                self.reply(*store.post(self.path, json.loads(self.body() or b"{}")))

            def do_DELETE(self):
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
                self.reply(200, {})

        self.server = HttpServer(("127.0.0.1", 0), StoreHandler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def view(self, translate):
        """The address of the same store as another machine sees it: `translate` maps the address
        in a runner's entry to the one at which that machine reaches it."""
        store = self

        def entry(item):
            if not item.get("key", "").startswith("servers/") or "value" not in item:
                return item
            value = json.loads(base64.b64decode(item["value"]))
            value["address"] = translate(value["address"])
            return {**item, "value": base64.b64encode(json.dumps(value).encode()).decode()}

        class ViewHandler(Handler):
            def do_GET(self):
                url = urlparse(self.path)
                status, body = store.get(url.path, {k: v[0] for k, v in parse_qs(url.query).items()})
                for name in ("entries", "events"):
                    if name in body:
                        body = {**body, name: [entry(item) for item in body[name]]}
                self.reply(status, entry(body))

            def do_POST(self):
                self.reply(*store.post(self.path, json.loads(self.body() or b"{}")))

            def do_DELETE(self):
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
                self.reply(200, {})

        server = HttpServer(("127.0.0.1", 0), ViewHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"127.0.0.1:{server.server_port}"

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                ended = [i for i, (end, _) in self.leases.items() if end < time.monotonic()]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease):
        with self.lock:
            if self.leases.pop(lease, None) is None:
                return
            keys = [k for k, item in self.items.items() if item[2] == lease]
            if keys:
                self.apply([], keys)

    def apply(self, puts, removals):
        """Applies one change; the lock is held."""
        self.revision += 1
        for key, value, lease in puts:
            self.items[key] = (value, self.revision, lease)
            self.history.append((self.revision, key, value))
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        self.lock.notify_all()
        return self.revision

    def put(self, key, value):
        """Writes as the operator or a runner does. Returns the moment of the acknowledgement."""
        with self.lock:
            self.apply([(key, value.encode(), 0)], [])
            return time.monotonic()

    def remove(self, key):
        with self.lock:
            self.apply([], [key])
            return time.monotonic()

    def item(self, key):
        value, revision, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": revision, "lease": lease}

    def get(self, path, query):
        with self.lock:
            if path == "/-/kv-key":
                if query["key"] not in self.items:
                    return 404, {"as_of": self.revision}
                return 200, {**self.item(query["key"]), "as_of": self.revision}
            if path == "/-/kv-range":
                after = query.get("after", "")
                keys = [k for k in sorted(self.items) if k.startswith(query["prefix"]) and k > after]
                return 200, {"entries": [self.item(k) for k in keys[:500]],
                             "has_more": len(keys) > 500, "as_of": self.revision}
            after = int(query["after"])

            def changes():
                return [h for h in self.history if h[0] > after and h[1].startswith(query["prefix"])]

            self.lock.wait_for(changes, int(query["wait_ms"]) / 1000)
            events = []
            for revision, key, value in changes():
                if value is None:
                    events.append({"key": key, "revision": revision, "deleted": True})
                else:
                    events.append({"key": key, "value": base64.b64encode(value).decode(),
                                   "revision": revision, "created": revision, "lease": 0})
            return 200, {"events": events, "as_of": self.revision}

    def post(self, path, body):
        with self.lock:
            if path == "/-/kv-lease":
                lease = 1000 + self.revision + len(self.leases)
                while lease in self.leases:
                    lease += 1
                seconds = body["ttl_ms"] / 1000
                self.leases[lease] = [time.monotonic() + seconds, seconds]
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            if path.startswith("/-/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
                return 200, {"lease": lease, "ttl_ms": int(self.leases[lease][1] * 1000)}
            if any(put.get("lease", 0) not in (0, *self.leases) for put in body.get("put", [])):
                return 404, {}
            wrong = [row["key"] for row in body.get("expected_rev", [])
                     if self.items.get(row["key"], (0, 0))[1] != row["revision"]]
            if wrong:
                return 412, {"entries": [self.item(k) for k in wrong if k in self.items]}
            puts = [(p["key"], base64.b64decode(p.get("value", "")), p.get("lease", 0))
                    for p in body.get("put", [])]
            return 200, {"revision": self.apply(puts, body.get("remove", []))}


class Cloud:
    """The cloud API. Accepts every call."""

    def __init__(self):
        class CloudHandler(Handler):
            def do_POST(self):
                self.body()
                self.reply(200, {})

        self.server = HttpServer(("127.0.0.1", 0), CloudHandler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()


def field(head, name):
    found = re.search(rf"(?im)^{name}: *(.*?)\r?$", head)
    return found.group(1) if found else None


class Runner:
    """A runner. `work(runner, connection, head, body)` answers a request that it begins to run and
    returns whether the connection stays open. A beat goes to the store every 1.2 s."""

    BEAT_S = 1.2

    def __init__(self, store, record, name, service, zone, work, slots=8, host="127.0.0.1"):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.work, self.slots = zone, work, slots
        self.lock = threading.Lock()
        self.connections = set()
        self.running = 0
        self.seq = 0
        self.state = "ready"
        self.listener = socket.create_server((host, 0), backlog=256)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.begin()
        threading.Thread(target=self.beat, daemon=True).start()

    def begin(self):
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.register()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def register(self):
        self.seq += 1
        self.store.put(f"servers/{self.name}", json.dumps(
            {"service": self.service, "address": self.address, "zone": self.zone, "version": "1",
             "batch_slots": self.slots, "state": self.state, "warmup_left_ms": 0, "seq": self.seq,
             "born": self.born}))

    def beat(self):
        while True:
            time.sleep(self.BEAT_S)
            if self.listener is not None:
                self.register()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.listener is not listener:
                    connection.close()
                    return
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def crash(self, back_after_s):
        """The process ends: its connections are reset and nothing listens until it is back."""
        with self.lock:
            if self.listener is None:
                return False
            listener, self.listener = self.listener, None
            connections, self.connections = self.connections, set()
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in connections:
            reset(connection)
        self.record(f"runner {self.name} has crashed")
        threading.Timer(back_after_s, self.restart).start()
        return True

    def restart(self):
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)), backlog=256)
        self.record(f"runner {self.name} is back")
        self.begin()

    def serve(self, connection):
        buffer = b""
        try:
            while True:
                while b"\r\n\r\n" not in buffer:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                head, buffer = buffer.split(b"\r\n\r\n", 1)
                head = head.decode("latin-1")
                size = int(field(head, "Content-Length") or 0)
                while len(buffer) < size:
                    data = connection.recv(65536)
                    if not data:
                        return
                    buffer += data
                body, buffer = buffer[:size], buffer[size:]
                if not self.handle(connection, head, body):
                    return
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def handle(self, connection, head, body):
        path = head.split(" ")[1]
        if path.startswith("/-/report"):
            connection.sendall(answer("200 OK", json.dumps(
                {"phase": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
                 "busy": False, "seq": 0, "queued": 0, "active": self.running, "kv_used": 0,
                 "kv_total": 700000, "handles": 0, "born": self.born}).encode(),
                ["Content-Type: application/json"]))
            return True
        if path.startswith("/-/"):
            connection.sendall(answer("404 Not Found", b"", []))
            return True
        if path == "/healthz":
            connection.sendall(answer("200 OK", b"", [f"Instance-Id: {self.name}"]))
            return True
        attempt = field(head, "Attempt-Id")
        echo = [f"Attempt-Id: {attempt}"]
        if field(head, "Target-Instance") not in (None, self.name):
            connection.sendall(answer("421 Misdirected Request", b"", echo))
            return True
        with self.lock:
            is_full = self.running >= self.slots + 8
            if not is_full:
                self.running += 1
        if is_full:
            connection.sendall(answer("503 Full", b"", echo + ["Not-Executed: 1", self.load()]))
            return True
        try:
            return self.work(self, connection, head, body)
        finally:
            with self.lock:
                self.running -= 1

    def load(self):
        return f"Server-Load: {self.running},0,{self.slots}"

    def own(self, attempt):
        return [f"Attempt-Id: {attempt}", f"Server-Signature: s.{self.name}", self.load()]


class NetworkPath:
    """The network path from one machine to one address. Once it is cut, connections through it are
    reset and new ones are refused."""

    def __init__(self, address):
        host, port = address.split(":")
        self.target = (host, int(port))
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.pairs = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return  # The path is cut.
            try:
                far = socket.create_connection(self.target, timeout=1)
            except OSError:
                reset(near)
                continue
            far.settimeout(None)
            self.pairs.add((near, far))
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.copy, args=(source, sink), daemon=True).start()

    @staticmethod
    def copy(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(sink)

    def cut(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for near, far in self.pairs:
            reset(near)
            reset(far)


def answer(status, body, fields):
    lines = "".join(line + "\r\n" for line in [f"HTTP/1.1 {status}", *fields, f"Content-Length: {len(body)}"])
    return lines.encode() + b"\r\n" + body


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
        connection.close()
    except OSError:
        pass


def render(template, values):
    """Fills in deploy/settings.yaml as DEPLOY.md describes it."""
    def find(name):
        value = values
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        kind, name, text = match.groups()
        present = find(name) not in (None, False, [])
        return text if present == (kind == "#") else ""

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def fill(match):
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


class Node:
    """One machine's process, started with the command of the deploy file. The store's address can
    be given, for a machine that sees other entries than the others."""

    def __init__(self, fleet, name, host, zone):
        self.fleet, self.name, self.host, self.zone = fleet, name, host, zone
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'(?m)^run = "(.*)"', deploy)[1].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the build line of deploy/system.toml has not been run")
        self.frontend, self.readiness = f"{host}:{fleet.ports[0]}", f"{host}:{fleet.ports[1]}"
        self.settings = Path(fleet.folder.name) / f"{name}.yaml"
        self.log = open(Path(fleet.folder.name) / f"{name}.log", "ab")
        self.store_address = fleet.store.address
        self.process = None

    def start(self):
        ports = self.fleet.ports
        values = {
            "node_name": self.name, "zone": self.zone, "ip": self.host, "heartbeat_ms": 1200,
            "port_range": [ports[3], ports[3]], "seed_nodes": [f"{h}:{ports[2]}" for h in self.fleet.hosts[:3]],
            "listen": {"frontend": self.frontend, "readiness": self.readiness, "admin": f"{self.host}:{ports[2]}"},
            "platform": {"address": self.store_address}, "cloud": {"address": self.fleet.cloud.address},
            "limits": {"cpu_quota": 0.25, "memory_mb": 260, "max_fds": 4200}, "bounds": BOUNDS}
        text = render((ROOT / "deploy/settings.yaml").read_text(), values)
        # The template's metrics port is fixed, and other processes of the machine may have it.
        text = text.replace(f"{self.host}:9464", f"{self.host}:{ports[4]}")
        self.settings.write_text(text)
        self.process = subprocess.Popen(
            [str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdout=self.log, stderr=self.log,
            env={"PATH": os.environ.get("PATH", ""), "POLLENLEDGE_CONFIG": str(self.settings)})
        PROCESSES.append(self.process)
        self.fleet.record(f"node {self.name} starts")

    def is_ready(self):
        try:
            return call(self.readiness, b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1).status == 200
        except OSError:
            return False

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.fleet.record(f"node {self.name} is killed")

    def log_text(self):
        return Path(self.log.name).read_text(errors="replace")


class Fleet:
    """Store, cloud API and nodes, in zones a, b, ..."""

    def __init__(self, record, nodes, first_host=11):
        self.record = record
        self.folder = tempfile.TemporaryDirectory()
        atexit.register(self.folder.cleanup)
        self.store, self.cloud = Store(), Cloud()
        self.hosts = [f"127.0.0.{first_host + i}" for i in range(nodes)]
        both = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        self.ports = []
        while len(self.ports) < 5:
            port = free_port(self.hosts, both)
            if port not in self.ports:
                self.ports.append(port)
        self.nodes = [Node(self, f"edge-{i + 1}", host, "a") for i, host in enumerate(self.hosts)]

    def start(self):
        for node in self.nodes:
            node.start()
        self.wait(lambda: all(node.is_ready() for node in self.nodes), 15, "the nodes are not ready")

    @staticmethod
    def wait(condition, seconds, what):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(what)
            time.sleep(0.05)


class Answer:
    def __init__(self, status, head, body, complete):
        self.status, self.head, self.body, self.complete = status, head, body, complete

    def __str__(self):
        signed = field(self.head, "Server-Signature") or "none"
        return f"{self.status or 'no answer'}, signature {signed}, {'complete' if self.complete else 'broken off'}"


def call(address, data, timeout_s):
    """Sends a request on a new connection and reads the answer."""
    host, port = address.split(":")
    end = time.monotonic() + timeout_s
    with socket.create_connection((host, int(port)), timeout=min(1.0, timeout_s)) as connection:
        connection.sendall(data)
        return read_answer(connection, end)


def read_answer(connection, end):
    buffer = b""

    def more():
        connection.settimeout(max(0.001, end - time.monotonic()))
        return connection.recv(65536)

    try:
        while b"\r\n\r\n" not in buffer:
            data = more()
            if not data:
                return Answer(0, "", b"", False)
            buffer += data
    except OSError:
        return Answer(0, "", b"", False)
    raw, body = buffer.split(b"\r\n\r\n", 1)
    head = raw.decode("latin-1")
    status = int(head.split()[1])
    length = field(head, "Content-Length")
    chunked = (field(head, "Transfer-Encoding") or "").lower() == "chunked"
    try:
        while True:
            if length is not None and len(body) >= int(length):
                return Answer(status, head, body[:int(length)], True)
            if chunked and (body == b"0\r\n\r\n" or body.endswith(b"\r\n0\r\n\r\n")):
                return Answer(status, head, unchunk(body), True)
            data = more()
            if not data:
                break
            body += data
    except OSError:
        pass
    return Answer(status, head, unchunk(body) if chunked else body, False)


def unchunk(data):
    out = b""
    while b"\r\n" in data:
        size, rest = data.split(b"\r\n", 1)
        size = int(size, 16)
        out += rest[:size]
        data = rest[size + 2:]
        if size == 0:
            break
    return out


def route(prefix, kind, service, **more):
    return {"name": prefix.strip("/"), "host": HOST, "prefix": prefix, "type": kind, "service": service,
            "timeout_ms": 10000, "slo_ms": 400, "priority": 1, "attempts": 2, "public": False,
            "resumable": False, "itl_target_ms": 400, "affinity": False, **more}


def config(version, routes, services, tenants):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "health_path": "/healthz", "max_conns": 230} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                   "idle_timeout_ms": 15000},
        "tenants": tenants})


def run_case(folder, body):
    """Runs a case: `body(record)` returns the broken rule's description, or None if it held."""
    record = Record(Path(folder))
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    try:
        broken = body(record)
    except CannotRun as reason:
        record(f"the case could not run: {reason}")
        print(f"could not run: {reason}")
        os._exit(finish(2))
    record(f"RULE BROKEN: {broken}" if broken else "the rule held")
    print(f"rule broken: {broken}" if broken else "the rule held")
    os._exit(finish(1 if broken else 0))


def finish(status):
    """Ends all processes and removes the temporary folders; threads of the stand-ins may still wait."""
    stop_all()
    atexit._run_exitfuncs()
    sys.stdout.flush()
    return status
