"""Starts a local deployment of pollenledge on the loopback interface: stand-ins,
entries and control agents. Used by the demo, by `make run` and by the tests in
testsuite/.
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


def wait_until(condition, description, timeout_s=START_TIMEOUT_S):
    """Polls `condition()` until it is true and returns its value. Raises TimeoutError with
    `description` after `timeout_s`."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TimeoutError(f"waited {timeout_s} s for {description}")


@dataclass
class Response:
    """An HTTP response; `complete` is false if the body was truncated."""

    status: int
    headers: dict
    body: bytes
    complete: bool = True

    def json(self):
        return json.loads(self.body)

    def text(self):
        """The text of a chat completion, streamed or not."""
        if self.headers.get("content-type", "").startswith("text/event-stream"):
            return stream_text(self.body)
        return self.json()["choices"][0]["message"]["content"]


def stream_text(body):
    """The text of a streamed chat completion."""
    text = ""
    for line in body.decode().split("\n"):
        if not line.startswith("data: {"):
            continue
        event = json.loads(line[6:])
        if event.get("choices"):
            text += event["choices"][0]["delta"]["content"]
    return text


def call(port, method, path, body=None, headers=None, timeout_s=60, on_chunk=None):
    """Sends an HTTP request to a local port. Calls `on_chunk` with the whole content so far
    each time that more of the body arrives."""
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
        response_headers = {name.lower(): value for name, value in response.getheaders()}
        return Response(response.status, response_headers, content, complete)
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

    def suspend(self):
        """Stops the process with SIGSTOP. The signal takes effect asynchronously, so this
        waits until every thread has stopped."""
        self.popen.send_signal(signal.SIGSTOP)
        while any(state != "T" for state in self.thread_states()):
            time.sleep(0.001)

    def thread_states(self):
        """State letter of each thread; `T` means stopped."""
        tasks = Path(f"/proc/{self.popen.pid}/task").glob("*/stat")
        return [task.read_text().rsplit(")", 1)[1].split()[0] for task in tasks]

    def resume(self):
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

    def list_entry(self, state="live"):
        """The entry of this upstream in the instance list."""
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
    """A local deployment, used as a context manager. On exit it stops the processes that
    it started, and no others."""

    example: str = "rioni"
    work_dir: Path = None
    processes: list = field(default_factory=list)
    nodes: list = field(default_factory=list)
    upstreams: list = field(default_factory=list)

    def __enter__(self):
        self._directory = tempfile.TemporaryDirectory(prefix="pollenledge-")
        self.work_dir = Path(self._directory.name)
        try:
            self.kv = self.start_standin("standin_kv")
            self.cloud = self.start_standin("standin_platform", {"role": "cloud"}, "cloud")
            self.list_service = self.start_standin("standin_platform", {"role": "list"}, "list")
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        for process in self.processes:
            if process.alive():
                process.resume()
                process.popen.terminate()
        for process in self.processes:
            try:
                process.popen.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
        self._directory.cleanup()

    def start(self, name, command):
        """Starts a process that logs to a file in the working directory."""
        log = self.work_dir / f"{name}-{len(self.processes)}.log"
        with open(log, "wb") as out:
            popen = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    def start_standin(self, program, behaviour=None, name=None):
        process = self.start(
            name or program,
            [BUILD / "standins" / program, "--behaviour", json.dumps(behaviour or {})],
        )

        def listening_line():
            if not process.alive():
                raise RuntimeError(f"{program} exited early: {process.log.read_text()}")
            lines = process.log.read_text().split("\n")
            return lines[0].startswith("listening ") and len(lines) > 1 and lines[0]

        process.port = int(wait_until(listening_line, program).split()[1])
        return process

    def add_upstream(self, pool, domain, machine_class, market, behaviour=None):
        program = "standin_engine" if machine_class != "small" else "standin_service"
        name = f"{pool}-{domain}-{len(self.upstreams)}"
        process = self.start_standin(program, behaviour, name)
        upstream = Upstream(
            name, len(self.upstreams) + 1, pool, domain, machine_class, market, process
        )
        self.upstreams.append(upstream)
        return upstream

    def publish_list(self, leaving=()):
        """Publishes the list of upstreams; those in `leaving` are listed as leaving."""
        listed = [
            u.list_entry("leaving" if u in leaving else "live") for u in self.upstreams
        ]
        call(self.list_service.port, "POST", "/standin/instances", listed)

    def add_node(self, name, domain, peer_nodes=None, extra=""):
        """Starts a node: an entry and its control agent. Its seed peers are
        `peer_nodes`, or all nodes so far."""
        ports = [free_port() for _ in range(3)]
        node = Node(name, domain, *ports, self.work_dir / f"{name}.yaml")
        peers = [f"127.0.0.1:{n.peer_port}" for n in (peer_nodes or self.nodes)]
        token_hash = hashlib.sha256(ADMIN_TOKEN.encode()).hexdigest()
        node.settings.write_text(
            f"node: {name}\ndomain: {domain}\n"
            f"caller_address: 127.0.0.1:{node.caller_port}\n"
            f"peer_address: 127.0.0.1:{node.peer_port}\n"
            f"admin_address: 127.0.0.1:{node.admin_port}\n"
            f"peers: {json.dumps(peers)}\n"
            f"kv_address: 127.0.0.1:{self.kv.port}\n"
            f"cloud_address: 127.0.0.1:{self.cloud.port}\n"
            f"list_address: 127.0.0.1:{self.list_service.port}\n"
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
            lambda: self.is_healthy((node or self.nodes[0]).admin_port, "/healthz"),
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
    def is_healthy(port, path):
        try:
            return call(port, "GET", path, timeout_s=2).status == 200
        except OSError:
            return False

    def wait_ready(self, nodes=None):
        """Waits until the entries are ready and know every upstream and peer."""
        for node in nodes or self.nodes:
            wait_until(
                lambda n=node: self.is_healthy(n.caller_port, "/readyz"),
                f"{node.name} to be ready",
            )
            wait_until(
                lambda n=node: len(self.status(n).get("upstreams", []))
                >= len(self.upstreams),
                f"{node.name} to list every upstream",
            )
            wait_until(
                lambda n=node: len(self.status(n).get("members", []))
                >= len(self.nodes) - 1,
                f"{node.name} to list its peers",
            )

    def status(self, node):
        try:
            response = call(
                node.admin_port, "GET", "/admin/v1/status",
                headers={"Authorization": f"Bearer {ADMIN_TOKEN}"}, timeout_s=5,
            )
            return response.json() if response.status == 200 else {}
        except OSError:
            return {}

    def api_key(self, customer):
        return f"{self.example}-{customer}-key"

    def chat(self, node, customer, model, content, **options):
        """Sends a chat completion request. Options other than `headers` and `on_chunk` become
        fields of the request body."""
        headers = {
            "Authorization": f"Bearer {self.api_key(customer)}",
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
        """Sends a service request, with an Idempotency-Key if `key` is given."""
        headers = {
            "Authorization": f"Bearer {self.api_key(customer)}",
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        return call(
            node.caller_port, "POST", f"/v1/services/{path}", body, headers, timeout_s
        )

    def reclaim(self, upstream, remaining_ms):
        """Lets the cloud API announce that the upstream's instance will be reclaimed."""
        call(
            self.cloud.port, "POST", "/standin/reclaim",
            {
                "instance": upstream.name,
                "incarnation": upstream.incarnation,
                "remaining_ms": remaining_ms,
            },
        )

    def set_behaviour(self, process, **behaviour):
        """Changes the behaviour of a stand-in."""
        call(process.port, "POST", "/standin/behaviour", behaviour)

    def executions(self, process):
        """Number of executions at a service stand-in, by Idempotency-Key."""
        return call(process.port, "GET", "/standin/executions").json()


def new_idempotency_key():
    return str(uuid.uuid4())


def read_kv_key(port, key):
    """The decoded value of a key in the key-value stand-in, or None."""
    body = {"key": base64.b64encode(key.encode()).decode()}
    kvs = call(port, "POST", "/v3/kv/range", body).json()["kvs"]
    return base64.b64decode(kvs[0]["value"]).decode() if kvs else None
