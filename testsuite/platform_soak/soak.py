#!/usr/bin/env python3
"""A fault soak with real processes. Callers with kept connections send requests through several
nodes, while a series of faults that the seed draws is injected from outside: signals to nodes,
crashes and releases of upstreams, a proxy before each upstream and between each node and the
store, a store that is down or cuts watches, changes of the configuration.

Checked from what callers and upstreams see: TWICE, REFUSED, MIXED, ORDER, RECOVER, and nodes that
end by themselves. Exits with 1 if a rule was broken; the series, the findings and the folder with
the nodes' logs are printed then."""

import argparse
import itertools
import json
import random
import re
import shutil
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import (EXECUTIONS, HOST, KEY, VERSIONED_EVENTS, Cloud, Node, Platform, Runner,  # noqa: E402
                               Store, config, free_peer_port, route)
from proxy import Proxy, ProxyLoop  # noqa: E402

WARM_UP_SECONDS = 3.0
QUIET_SECONDS = 9.0  # without faults, at the end
CHECKED_SECONDS = 4.0  # of these, at their end, for RECOVER
MIN_RECOVERED_SHARE = 0.25
STREAM_TRIES = 8
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request hasn't run


class Fault:
    """One fault of the series: a method of `Soak` and its arguments."""

    def __init__(self, at, kind, *args):
        self.at, self.kind, self.args = at, kind, args

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} {' '.join(map(str, self.args))}"


def draw_series(chance, options):
    """The faults, in order. The same seed and options draw the same series."""
    end = options.seconds - QUIET_SECONDS
    series = []
    for _ in range(round(options.faults * (end - WARM_UP_SECONDS))):
        at = chance.uniform(WARM_UP_SECONDS, end)
        node, runner = chance.randrange(options.nodes), chance.randrange(options.runners)
        length = round(min(chance.choice((0.3, 1.0, 1.5, 3.0)), end - at), 2)
        kind = chance.choice(("stop", "stop", "kill", "term", "hup", "kill_all", "crash", "replace", "release",
                              "leave", "refuse", "upstream_path", "upstream_path", "store_path", "store_down",
                              "cut_watches", "change_config", "change_config"))
        path = chance.choice(Proxy.KINDS[1:])
        args = {"stop": (node, length), "kill": (node,), "term": (node,), "hup": (node,), "kill_all": (),
                "crash": (runner,), "replace": (runner,), "release": (), "leave": (runner, length),
                "refuse": (runner, length), "upstream_path": (runner, path, length),
                "store_path": (node, path, length), "store_down": (length,), "cut_watches": (),
                "change_config": (chance.randrange(1000),)}[kind]
        series.append(Fault(at, kind, *args))
    return sorted(series, key=lambda fault: fault.at)


class Caller:
    """A caller that keeps its connection until the node closes it."""

    numbers = itertools.count(1)

    def __init__(self, soak, number):
        self.soak = soak
        self.chance = random.Random(f"{soak.options.seed}-{number}")
        self.connection = None
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        time.sleep(self.chance.random())
        while not self.soak.stopped.is_set():
            kind = self.chance.choice(("read", "order", "order", "story"))
            name = f"{kind}-{next(Caller.numbers)}"
            if kind == "story":
                self.stream(name)
            else:
                self.plain(name, kind)
            time.sleep(self.chance.uniform(0, 0.05))

    def plain(self, name, kind):
        sent_at = time.monotonic()
        action = self.chance.choice(("echo", "echo", "slowecho"))
        status, body = 0, b""
        try:
            status, body = self.exchange(name, f"/{kind}/{action}", b"b" * self.chance.choice((0, 10, 3000)))
        except OSError:
            self.close()
        self.soak.on_response(sent_at, kind, name, status, body)

    def connect(self):
        if self.connection is None:
            node = self.chance.choice(self.soak.nodes)
            self.connection = Platform.connect(node.caller)
            self.connection.settimeout(7)

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def send(self, name, path, body, extra=""):
        self.connect()
        head = (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\nApi-Key: {KEY}\r\n"
                f"Deadline-Ms: 3000\r\n{extra}Content-Length: {len(body)}\r\n\r\n").encode()
        if self.chance.random() < 0.3:  # In several segments.
            cut = self.chance.randrange(1, len(head))
            self.connection.sendall(head[:cut])
            time.sleep(0.002)
            head = head[cut:]
        self.connection.sendall(head + body)

    def exchange(self, name, path, body):
        self.send(name, path, body)
        data = b""
        while b"\r\n\r\n" not in data:
            part = self.connection.recv(65536)
            if not part:
                raise ConnectionResetError
            data += part
        head, rest = data.split(b"\r\n\r\n", 1)
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        while len(rest) < length:
            part = self.connection.recv(65536)
            if not part:
                raise ConnectionResetError
            rest += part
        if re.search(rb"(?i)connection: close", head):
            self.close()
        if len(rest) > length:
            self.soak.find("MIXED", f"{name}: {len(rest) - length} bytes after its response")
        return int(head.split()[1]), rest[:length]

    def stream(self, name):
        """Reads a stream, and takes it up again at another node when it breaks."""
        events, versions, first_attempt, sent_at = 0, set(), None, time.monotonic()
        for number in range(STREAM_TRIES):
            attempt = f"{name}-{number}"
            extra = f"Last-Event-Id: {events}\r\nResumes: {first_attempt}\r\n" if events else ""
            buffer, status = b"", 0
            try:
                self.close()
                self.send(attempt, "/story/versions", b"", extra)
                while events < VERSIONED_EVENTS and status in (0, 200):
                    part = self.connection.recv(65536)
                    if not part:
                        break
                    buffer += part
                    if status == 0 and b"\r\n" in buffer:
                        status = int(buffer.split()[1])
                    for event, version in re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", buffer):
                        if int(event) != events + 1:
                            self.soak.find("ORDER", f"{attempt}: event {event} after {events}")
                        events = int(event)
                        first_attempt = first_attempt or attempt
                        versions.add(version)
                    buffer = buffer[buffer.rfind(b"\n\n") + 2:] if b"\n\n" in buffer else buffer
            except OSError:
                pass
            self.close()
            if events == VERSIONED_EVENTS or self.soak.stopped.is_set():
                break
            time.sleep(0.1)
        if len(versions) > 1:
            self.soak.find("ORDER", f"{name} (first attempt {first_attempt}): of the versions {sorted(versions)}")
        self.soak.on_stream(sent_at, events == VERSIONED_EVENTS)


def handles(pid, number):
    """Whether the process catches or ignores the signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"Sig(?:Cgt|Ign):\s*([0-9a-f]+)", status)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


class Soak:
    """One run."""

    def __init__(self, options):
        self.options = options
        self.chance = random.Random(options.seed)
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.findings = []
        self.responses = []  # (time sent, kind, attempt, status)
        self.streams = []  # (time begun, complete)
        self.versions = itertools.count(2)
        self.config_numbers = itertools.count(10)
        self.expected_ends = set()  # processes that were ended
        self.node_locks = [threading.Lock() for _ in range(options.nodes)]

    def find(self, rule, text):
        with self.lock:
            self.findings.append(f"{rule} at {time.monotonic() - self.began:.2f} s: {text}")

    def on_response(self, sent_at, kind, name, status, body):
        with self.lock:
            self.responses.append((sent_at, kind, name, status))
        if status == 200 and body != name.encode():
            self.find("MIXED", f"{name} got {body[:60]!r}")

    def on_stream(self, sent_at, complete):
        with self.lock:
            self.streams.append((sent_at, complete))

    # Start and end.

    def start(self):
        options = self.options
        self.store, self.cloud = Store(), Cloud()
        self.store.put("op/config", self.tables(0))
        proxy_loop = ProxyLoop()
        self.runners, self.upstream_paths = [], []
        for i in range(options.runners):
            runner = Runner(f"i-{i}", slots=32)
            path = Proxy(proxy_loop, runner.address)
            runner.public_address, runner.store = path.address, self.store
            runner.register()
            self.runners.append(runner)
            self.upstream_paths.append(path)
        hosts = [f"127.0.0.{i + 1}" for i in range(options.nodes)]
        peer_port = free_peer_port()
        self.store_paths = [Proxy(proxy_loop, self.store.address) for _ in hosts]
        self.nodes = [Node(f"n{i + 1}", host, peer_port, hosts[:3], self.store_paths[i], self.cloud)
                      for i, host in enumerate(hosts)]
        for node in self.nodes[::2] if options.production else []:
            node.kill()
            node.build = Path(options.production)
            node.start()
        Platform.wait_until(lambda: all(node.readiness_status() == 200 for node in self.nodes))

    def tables(self, draw):
        """A configuration; `draw` varies the timeouts and the names of other routes."""
        return config(next(self.config_numbers), routes=[
            route("read", "idempotent", timeout_ms=3000 + draw), route("order", "non_idempotent", attempts=3),
            route("story", "streaming", resumable=True, attempts=4, timeout_ms=8000),
            route(f"other{draw}", "idempotent")])

    def run(self):
        self.start()
        series = draw_series(self.chance, self.options)
        self.began = time.monotonic()
        callers = [Caller(self, number) for number in range(self.options.callers)]
        threads = []
        for fault in series:
            time.sleep(max(0, self.began + fault.at - time.monotonic()))
            threads.append(threading.Thread(target=getattr(self, fault.kind), args=fault.args, daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()
        self.healed = time.monotonic()
        time.sleep(max(QUIET_SECONDS, self.began + self.options.seconds - self.healed))
        ended = time.monotonic()
        self.stopped.set()
        for caller in callers:
            caller.thread.join(timeout=15)
        self.check(ended)
        self.report(series)
        return 1 if self.findings else 0

    # Faults.

    def stop(self, number, length):
        with self.node_locks[number]:
            process = self.nodes[number].process
            process.send_signal(signal.SIGSTOP)
            time.sleep(length)
            process.send_signal(signal.SIGCONT)

    def end(self, number, end_signal):
        """Ends a node by a signal and starts it again, from the other build if there are two."""
        with self.node_locks[number]:
            node = self.nodes[number]
            self.expected_ends.add(node.process.pid)
            self.check_alive(node)
            node.process.send_signal(end_signal)
            node.process.wait(timeout=15)
            if self.options.production:
                node.build = Node.build if node.build != Node.build else Path(self.options.production)
            node.start()

    def check_alive(self, node):
        status = node.process.poll()
        if status is not None:
            self.find("ended by itself", f"{node.name}, status {status}")

    def kill(self, number):
        self.end(number, signal.SIGKILL)

    def term(self, number):
        self.end(number, signal.SIGTERM)

    def hup(self, number):
        with self.node_locks[number]:
            process = self.nodes[number].process
            # Before the program's first line any process ends by it.
            Platform.wait_until(lambda: process.poll() is not None or handles(process.pid, signal.SIGHUP))
            process.send_signal(signal.SIGHUP)

    def kill_all(self):
        threads = [threading.Thread(target=self.kill, args=(number,)) for number in range(self.options.nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def crash(self, number, version=None):
        runner = self.runners[number]
        if runner.crash():
            time.sleep(0.4)
            runner.restart(version)

    def replace(self, number):
        """The upstream's process is replaced by one of another version, under the same id."""
        self.crash(number, f"v{next(self.versions)}")

    def release(self):
        version = f"v{next(self.versions)}"
        for number in range(0, self.options.runners, 2):
            self.crash(number, version)

    def leave(self, number, length):
        """The upstream's entry is removed, and it comes back."""
        self.store.remove(f"servers/i-{number}")
        time.sleep(length)
        self.runners[number].register()

    def refuse(self, number, length):
        self.runners[number].refuses = True
        time.sleep(length)
        self.runners[number].refuses = False

    def path(self, proxy, kind, length):
        proxy.set(kind)
        time.sleep(length)
        proxy.set("pass")

    def upstream_path(self, number, kind, length):
        self.path(self.upstream_paths[number], kind, length)

    def store_path(self, number, kind, length):
        self.path(self.store_paths[number], kind, length)

    def store_down(self, length):
        self.store.down = True
        time.sleep(length)
        self.store.down = False

    def cut_watches(self):
        self.store.cut_watches()

    def change_config(self, draw):
        self.store.put("op/config", self.tables(draw))

    # Checks.

    def check(self, ended):
        runs = Counter(attempt for attempt, _, _ in EXECUTIONS)
        for _, kind, name, status in self.responses:
            if kind == "order" and status in NOT_RUN and runs[name] > 0:
                self.find("REFUSED", f"{name}: answered {status}, ran {runs[name]} times")
        for attempt, count in runs.items():
            if attempt.startswith("order-") and count > 1:
                self.find("TWICE", f"{attempt} ran {count} times")
        late = [status for sent_at, _, _, status in self.responses
                if ended - CHECKED_SECONDS <= sent_at < ended - 0.5]
        self.recovered = sum(status == 200 for status in late) / max(1, len(late))
        if self.recovered < MIN_RECOVERED_SHARE:
            self.find("RECOVER", f"{self.recovered:.3f} of {len(late)} served")
        for node in self.nodes:
            self.check_alive(node)

    def report(self, series):
        options = self.options
        served = sum(status == 200 for _, _, _, status in self.responses) / max(1, len(self.responses))
        complete = sum(whole for _, whole in self.streams) / max(1, len(self.streams))
        print(json.dumps({
            "seed": options.seed, "nodes": options.nodes, "faults": len(series), "requests": len(self.responses),
            "served": round(served, 3), "served_at_the_end": round(self.recovered, 3),
            "statuses": dict(Counter(status for _, _, _, status in self.responses)),
            "streams": len(self.streams), "complete": round(complete, 3), "findings": len(self.findings)}), flush=True)
        if not self.findings:
            return
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
        for node in self.nodes:
            shutil.copy(node.log.name, folder / f"{node.name}.log")
        (folder / "series").write_text("\n".join(map(str, series)) + "\n")
        (folder / "findings").write_text("\n".join(self.findings) + "\n")
        for line in self.findings[:20]:
            print(line)
        print(f"logs, series and findings are in {folder}", flush=True)

    def close(self):
        for node in getattr(self, "nodes", []):
            node.process.send_signal(signal.SIGCONT)
            node.close()


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="draws the series and the callers' requests")
    parser.add_argument("--seconds", type=float, default=30, help="length; the last 9 are without faults")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--runners", type=int, default=8, help="upstreams")
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--faults", type=float, default=1.0, help="a second, on average")
    parser.add_argument("--production", help="folder of an older build; nodes change between the two")
    options = parser.parse_args()
    if options.seconds < WARM_UP_SECONDS + QUIET_SECONDS + 1:
        parser.error(f"--seconds: at least {WARM_UP_SECONDS + QUIET_SECONDS + 1:.0f} are needed")
    if min(options.nodes, options.runners, options.callers) < 1 or options.faults < 0:
        parser.error("--nodes, --runners and --callers must be 1 or more, --faults 0 or more")
    if options.nodes > 200:
        parser.error("--nodes: at most 200, the processes that one machine bears")
    if options.production and not (Path(options.production) / "src/pollen_node/pollen_node").exists():
        parser.error(f"--production: there is no src/pollen_node/pollen_node in {options.production}")
    return options


def main():
    soak = Soak(parse_options())
    try:
        return soak.run()
    finally:
        soak.close()


if __name__ == "__main__":
    sys.exit(main())
