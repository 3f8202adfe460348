"""Starts a local deployment of pollenledge on loopback: stand-ins, entries and
control agents. Used by the demo, by `make run` and by the tests in testsuite/.
"""

import base64
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BUILD = Path(os.environ.get("POLLENLEDGE_BUILD", ROOT / "build")) / "src"
ADMIN_TOKEN = "local-operator-token"
PEER_TOKEN = "local-peer-token"
START_TIMEOUT_S = 30

RIONI_DOMAINS = ["batumi-a", "batumi-b", "kobuleti", "gonio"]


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Waits for `condition()` to be true; its last value is returned."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"waited {timeout_s} s for {what}")


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes
    complete: bool = True

    def json(self):
        return json.loads(self.body)

    def text(self):
        """The text of a chat completion, whole or streamed."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            return stream_text(self.body)
        return self.json()["choices"][0]["message"]["content"]


def stream_text(body):
    text = ""
    for line in body.decode().split("\n"):
        if not line.startswith("data: {"):
            continue
        event = json.loads(line[6:])
        if event.get("choices"):
            text += event["choices"][0]["delta"]["content"]
    return text


def call(port, method, path, body=None, headers=None, timeout_s=60, on_chunk=None):
    """One HTTP call to loopback; reads the answer as it comes."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
        connection.request(method, path, body=data, headers=headers or {})
        response = connection.getresponse()
        content, complete = b"", True
        try:
            while chunk := response.read1(65536):
                content += chunk
                if on_chunk:
                    on_chunk(content)
        except (http.client.IncompleteRead, ConnectionError, socket.timeout):
            complete = False
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, content, complete)
    finally:
        connection.close()


@dataclass(eq=False)
class Process:
    name: str
    popen: subprocess.Popen
    log: Path
    port: int = 0

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def freeze(self):
        """Returns when every thread stands still: the signal only asks for it."""
        self.popen.send_signal(signal.SIGSTOP)
        while any(state != "T" for state in self.thread_states()):
            time.sleep(0.001)

    def thread_states(self):
        """The state letter of each thread, `T` if it is stopped."""
        tasks = Path(f"/proc/{self.popen.pid}/task").glob("*/stat")
        return [task.read_text().rsplit(")", 1)[1].split()[0] for task in tasks]

    def thaw(self):
        self.popen.send_signal(signal.SIGCONT)

    def alive(self):
        return self.popen.poll() is None


@dataclass
class Upstream:
    name: str
    incarnation: int
    pool: str
    domain: str
    machine_class: str
    market: str
    process: Process

    def listed(self, state="live"):
        return {
            "name": self.name,
            "incarnation": self.incarnation,
            "address": f"127.0.0.1:{self.process.port}",
            "pool": self.pool,
            "domain": self.domain,
            "class": self.machine_class,
            "market": self.market,
            "state": state,
        }


@dataclass
class Node:
    name: str
    domain: str
    caller_port: int
    peer_port: int
    admin_port: int
    settings: Path
    entry: Process = None
    control: Process = None


@dataclass
class Deployment:
    """A local deployment. Use it as a context manager: leaving it ends every
    process that it started, and no other."""

    example: str = "rioni"
    work: Path = None
    processes: list = field(default_factory=list)
    nodes: list = field(default_factory=list)
    upstreams: list = field(default_factory=list)

    def __enter__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="pollenledge-")
        self.work = Path(self._directory.name)
        try:
            self.kv = self.standin("standin_kv")
            self.cloud = self.standin("standin_platform", {"role": "cloud"}, "cloud")
            self.list = self.standin("standin_platform", {"role": "list"}, "list")
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for process in self.processes:
            if process.alive():
                process.thaw()
                process.popen.terminate()
        for process in self.processes:
            try:
                process.popen.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
        self._directory.cleanup()

    def start(self, name, command):
        log = self.work / f"{name}-{len(self.processes)}.log"
        with open(log, "wb") as out:
            popen = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    def standin(self, program, behaviour=None, name=None):
        process = self.start(
            name or program,
            [BUILD / "standins" / program, "--behaviour", json.dumps(behaviour or {})],
        )

        def listening():
            if not process.alive():
                raise RuntimeError(f"{program} ended: {process.log.read_text()}")
            lines = process.log.read_text().split("\n")
            return lines[0].startswith("listening ") and len(lines) > 1 and lines[0]

        process.port = int(wait_until(listening, program).split()[1])
        return process

    def add_upstream(self, pool, domain, machine_class, market, behaviour=None):
        program = "standin_engine" if machine_class != "small" else "standin_service"
        name = f"{pool}-{domain}-{len(self.upstreams)}"
        process = self.standin(program, behaviour, name)
        upstream = Upstream(
            name, len(self.upstreams) + 1, pool, domain, machine_class, market, process
        )
        self.upstreams.append(upstream)
        return upstream

    def publish_list(self, leaving=()):
        listed = [
            u.listed("leaving" if u in leaving else "live") for u in self.upstreams
        ]
        call(self.list.port, "POST", "/standin/instances", listed)

    def add_node(self, name, domain, peers_of=None, extra=""):
        ports = [free_port() for _ in range(3)]
        node = Node(name, domain, *ports, self.work / f"{name}.yaml")
        peers = [f"127.0.0.1:{n.peer_port}" for n in (peers_of or self.nodes)]
        token_hash = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
        node.settings.write_text(
            f"node: {name}\ndomain: {domain}\n"
            f"caller_address: 127.0.0.1:{node.caller_port}\n"
            f"peer_address: 127.0.0.1:{node.peer_port}\n"
            f"admin_address: 127.0.0.1:{node.admin_port}\n"
            f"peers: {json.dumps(peers)}\n"
            f"kv_address: 127.0.0.1:{self.kv.port}\n"
            f"cloud_address: 127.0.0.1:{self.cloud.port}\n"
            f"list_address: 127.0.0.1:{self.list.port}\n"
            f"list_interval_ms: 200\n"
            f"peer_token: {PEER_TOKEN}\nadmin_token_sha256: {token_hash}\n{extra}"
        )
        self.nodes.append(node)
        self.start_entry(node)
        self.start_control(node)
        return node

    def start_entry(self, node):
        program = BUILD / "pollen_entry" / "pollen_entry"
        node.entry = self.start(
            f"{node.name}-entry", [program, "--config", node.settings]
        )

    def start_control(self, node):
        program = BUILD / "pollen_control" / "pollen_control"
        node.control = self.start(
            f"{node.name}-control", [program, "--config", node.settings]
        )

    def pollenctl(self, *arguments, node=None):
        program = BUILD / "pollenctl" / "pollenctl"
        admin = f"127.0.0.1:{(node or self.nodes[0]).admin_port}"
        return subprocess.run(
            [program, *arguments, "--admin", admin],
            env={**os.environ, "POLLEN_ADMIN_TOKEN": ADMIN_TOKEN},
            capture_output=True,
            text=True,
        )

    def apply_example(self, node=None, tables=None):
        tables = tables or ROOT / "examples" / self.example
        wait_until(
            lambda: self.probe((node or self.nodes[0]).admin_port, "/healthz"),
            "the admin API",
        )
        result = self.pollenctl(
            "apply", "--routes", tables / "routes.yaml",
            "--pools", tables / "pools.yaml", "--author", "demo", node=node,
        )
        if result.returncode != 0:
            raise RuntimeError(result.stderr)
        return result.stdout

    @staticmethod
    def probe(port, path):
        try:
            return call(port, "GET", path, timeout_s=2).status == 200
        except OSError:
            return False

    def wait_ready(self, nodes=None):
        """Waits until the entries are ready and see every upstream and peer."""
        for node in nodes or self.nodes:
            wait_until(
                lambda n=node: self.probe(n.caller_port, "/readyz"),
                f"{node.name} to be ready",
            )
            wait_until(
                lambda n=node: len(self.status(n).get("upstreams", []))
                >= len(self.upstreams),
                f"{node.name} to see the upstreams",
            )
            wait_until(
                lambda n=node: len(self.status(n).get("members", []))
                >= len(self.nodes) - 1,
                f"{node.name} to see its peers",
            )

    def status(self, node):
        try:
            answer = call(
                node.admin_port, "GET", "/admin/v1/status",
                headers={"Authorization": f"Bearer {ADMIN_TOKEN}"}, timeout_s=5,
            )
            return answer.json() if answer.status == 200 else {}
        except OSError:
            return {}

    def key_of(self, customer):
        return f"{self.example}-{customer}-key"

    def chat(self, node, customer, model, content, **options):
        """Sends a chat completion. Options that the call does not take go into
        the body."""
        headers = {
            "Authorization": f"Bearer {self.key_of(customer)}",
            "Content-Type": "application/json",
            **options.pop("headers", {}),
        }
        on_chunk = options.pop("on_chunk", None)
        body = {
            "model": model,
            "messages": [{"role": "user", "content": content}],
            **options,
        }
        return call(
            node.caller_port, "POST", "/v1/chat/completions", body, headers,
            on_chunk=on_chunk,
        )

    def service(self, node, customer, path, body, key=None, timeout_s=60):
        headers = {
            "Authorization": f"Bearer {self.key_of(customer)}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        return call(
            node.caller_port, "POST", f"/v1/services/{path}", body, headers, timeout_s
        )

    def reclaim(self, upstream, remaining_ms):
        call(
            self.cloud.port, "POST", "/standin/reclaim",
            {
                "instance": upstream.name,
                "incarnation": upstream.incarnation,
                "remaining_ms": remaining_ms,
            },
        )

    def behave(self, process, **behaviour):
        call(process.port, "POST", "/standin/behaviour", behaviour)

    def executions(self, process):
        return call(process.port, "GET", "/standin/executions").json()


def new_key():
    return str(uuid.uuid4())


def kv_read(port, key):
    """The value of a key of the key-value stand-in, decoded, or None."""
    body = {"key": base64.b64encode(key.encode()).decode()}
    kvs = call(port, "POST", "/v3/kv/range", body).json()["kvs"]
    return base64.b64decode(kvs[0]["value"]).decode() if kvs else None
