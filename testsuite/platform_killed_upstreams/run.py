#!/usr/bin/env python3
"""Upstreams that are processes of their own and are killed (SIGKILL) in the middle of a
response with neither a length nor chunks. The kernel of a killed process ends its
connections in order if it had read all that it received, so half a body ends like a whole
one. Half a body must not reach a caller as a whole response: the request is sent to
another upstream where that is allowed, and otherwise fails or ends truncated. A response
of an upstream that lives on is whole."""

import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from queue import Queue

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import Platform, free_port, json  # noqa: E402
from story import run_case  # noqa: E402

UPSTREAM = Path(__file__).resolve().parent / "upstream.py"
ROUTES = ("read", "order", "draft", "chat")


class KillableUpstream:
    """An upstream whose process runs until it is killed. `lines` gets what it writes, with
    the upstream."""

    def __init__(self, name, store, directory, lines, states_start):
        self.name, self.store, self.directory, self.lines = name, store, directory, lines
        self.states_start = states_start  # its entry and its report have the start time
        self.port = free_port()
        self.start_count = 0
        self.start()

    def start(self):
        self.start_count += 1
        born = self.start_count if self.states_start else 0
        self.process = subprocess.Popen(
            [sys.executable, UPSTREAM, self.name, str(self.port), str(born), self.directory],
            stdout=subprocess.PIPE, text=True)
        assert self.process.stdout.readline() == "listening\n"
        threading.Thread(target=self.read_lines, args=(self.process,), daemon=True).start()
        entry = {"service": "work", "address": f"127.0.0.1:{self.port}", "zone": "a",
                 "state": "ready", "version": "v1", "batch_slots": 8}
        if self.states_start:
            entry["born"] = born
        self.store.put(f"servers/{self.name}", json.dumps(entry))

    def read_lines(self, process):
        for line in process.stdout:
            self.lines.put((self, line.strip()))

    def kill(self):
        self.process.kill()
        self.process.wait()


def send(platform, attempt, target):
    """Sends a request on a thread. Returns a function that waits for its response."""
    responses = Queue()
    threading.Thread(target=lambda: responses.put(platform.send_request(attempt, target)),
                     daemon=True).start()
    return lambda: responses.get(timeout=15)


def kill_in_the_middle(platform, upstream, is_replaced):
    """Kills the upstream. If it is replaced, another process has its address before the
    node sees that the connection has ended."""
    time.sleep(0.1)  # The node has read the first half.
    if is_replaced:
        platform.process.send_signal(signal.SIGSTOP)
    upstream.kill()
    if is_replaced:
        upstream.start()
        time.sleep(0.8)  # Each of the node's timers is late by then.
        platform.process.send_signal(signal.SIGCONT)


def describe(response):
    status, _, body = response
    if body is None:
        return f"{status}, truncated"
    if status != 200:
        return f"{status}"
    text = body.decode()
    events = [line[6:] for line in text.split("\n") if line.startswith("data: ")]
    return f"{status}, {events if events else repr(text)}"


def run_attempt(platform, lines, directory, attempt, route, fate):
    action = "whole" if fate == "lives" else "half"
    # Each has a target of its own, so that no request counts as one that ends upstreams.
    response = send(platform, attempt, f"/{route}/{action}?{attempt}")
    if fate != "lives":
        upstream, line = lines.get(timeout=15)
        assert line == f"half {attempt}", line
        kill_in_the_middle(platform, upstream, fate == "replaced")
        result = describe(response())
        if fate == "killed":
            upstream.start()
        wait_until_used(platform, [upstream])
    else:
        result = describe(response())
    runs = len((Path(directory) / attempt).read_text().split())
    return f"{result}, runs: {runs}"


def wait_until_used(platform, upstreams):
    """Waits until the node has passed on a response of each of these upstreams."""
    begin = len(platform.nodes[0].read_log())

    def are_used():
        wait_until_used.requests += 1
        attempt = f"use{wait_until_used.requests}"
        platform.send_request(attempt, f"/read/whole?{attempt}")
        lines = platform.nodes[0].read_log()[begin:].split("\n")
        ends = [line for line in lines if '"end":"completed"' in line]
        return all(any(f'"{upstream.name}"' in line for line in ends)
                   for upstream in upstreams)
    platform.wait_until(are_used)


wait_until_used.requests = 0


def run_checks(platform, transcript):
    lines = Queue()
    with tempfile.TemporaryDirectory() as directory:
        for states_start in (True, False):
            upstreams = [KillableUpstream(f"p{int(states_start)}{i}", platform.store, directory,
                                          lines, states_start) for i in range(3)]
            try:
                if states_start:
                    platform.runners[0].leave()  # It was needed for the node to get ready.
                wait_until_used(platform, upstreams)
                kind = "stated" if states_start else "not stated"
                for i in range(30):  # First attempts earn the retry budget for the retries below.
                    platform.send_request(f"earn{i}{states_start}", f"/read/whole?{i}")
                for fate in ("lives", "killed", "replaced"):
                    for route in ROUTES:
                        attempt = f"{route}-{fate}-{int(states_start)}"
                        seen = run_attempt(platform, lines, directory, attempt, route, fate)
                        transcript.write(f"start {kind}, {fate}, {route}: {seen}")
            finally:
                for upstream in upstreams:
                    upstream.kill()
                    platform.store.remove(f"servers/{upstream.name}")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(runners=1))
