#!/usr/bin/env python3
"""Measures the CPU time per plain request and per streamed event, and the memory per
open stream, of the forwarding node (event loop) and of the entry (one thread per
connection). Each runs as a real process against stand-ins."""

import os
import sys
import threading
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "testsuite"), str(ROOT / "tools")]
os.environ.setdefault("POLLENLEDGE_BUILD", str(ROOT / "build"))
import platform_standins  # noqa: E402
from platform_standins import Platform, Runner  # noqa: E402

REQUESTS = 2000  # plain requests to the node; the entry gets a quarter of them
EVENTS = 20000  # events of the stream through the node
STREAMS = 100  # concurrent open streams
ROUNDS = 5  # streams through the entry, one after the other
TOKENS = 200  # tokens of each stream through the entry; each token is one event


def cpu_seconds(pid):
    """CPU time of all threads that are still running, in seconds."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def resident_kb(pid):
    """Resident memory of a process, in KB."""
    for line in Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    return 0


def long_stream(self, connection, attempt):
    return self.stream(connection, attempt, 1, EVENTS, True)


def open_stream(self, connection, attempt):
    """Sends one event and keeps the stream open until the caller disconnects."""
    self.stream(connection, attempt, 1, 1, False)
    connection.recv(1)
    return False


def measure_node():
    Runner.do_long = long_stream
    Runner.do_hold = open_stream
    with Platform() as platform:
        pid = platform.process.pid
        with platform.connect(platform.caller) as connection:
            before = cpu_seconds(pid)
            for i in range(REQUESTS):
                connection.sendall(platform.request(f"m{i}", "/read/ok"))
                platform.read_response(connection)
            plain = (cpu_seconds(pid) - before) / REQUESTS
        before = cpu_seconds(pid)
        platform.send_request("long", "/chat/long")
        event = (cpu_seconds(pid) - before) / EVENTS
        memory = resident_kb(pid)
        connections = []
        for i in range(STREAMS):
            connection = platform.connect(platform.caller)
            connection.sendall(platform.request(f"h{i}", "/chat/hold"))
            connection.recv(10)
            connections.append(connection)
        stream = (resident_kb(pid) - memory) / STREAMS
        print(f"node: plain request {plain * 1000:.3f} ms, event {event * 1e6:.1f} us, "
              f"open stream {stream:.0f} KB, resident {memory / 1024:.1f} MB")


def main():
    platform_standins.EXECUTIONS.clear()
    measure_node()
    measure_threads()


def measure_threads():
    from story import CUSTOMER, MODEL, Deployment, deploy
    with Deployment() as deployment:
        deploy(deployment, nodes=1, engine={"between_tokens_ms": 5})
        node = deployment.nodes[0]
        pid = node.entry.popen.pid
        before = cpu_seconds(pid)
        for i in range(REQUESTS // 4):
            deployment.service(node, CUSTOMER, "stations/4", {"q": 1})
        plain = (cpu_seconds(pid) - before) / (REQUESTS // 4)
        before = cpu_seconds(pid)
        for _ in range(ROUNDS):
            deployment.chat(node, CUSTOMER, MODEL, "hello", max_tokens=TOKENS, stream=True)
        event = (cpu_seconds(pid) - before) / (ROUNDS * TOKENS)
        memory = resident_kb(pid)
        threads = [threading.Thread(target=lambda: deployment.chat(
            node, CUSTOMER, MODEL, "hello", max_tokens=TOKENS, stream=True), daemon=True)
            for _ in range(STREAMS)]
        for thread in threads:
            thread.start()
        threading.Event().wait(0.7)
        stream = (resident_kb(pid) - memory) / len(threads)
        print(f"entry: plain request {plain * 1000:.3f} ms, event {event * 1e6:.1f} us, "
              f"open stream {stream:.0f} KB, resident {memory / 1024:.1f} MB")


if __name__ == "__main__":
    main()
