#!/usr/bin/env python3
"""Callers that send more than the node's machine can hold: many whole bodies, bodies that stop
short of their end, bodies over the limit, connections that say nothing, callers that don't read
their answers, and a body that is cut where the parser didn't expect it. Guards against a process
that ends because it runs out of memory or descriptors or fails an assertion.

For each row: the processes live, their peak memory and their descriptors stay under the bounds of
the smallest machine, and an ordinary request is answered while the abusive callers are connected.
Nothing else is checked: no times and no share of served requests."""

import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import CutPlatform  # noqa: E402
from platform_standins import HOST, KEY, Node  # noqa: E402
from story import run_case  # noqa: E402

MEMORY_MB = 120  # of the smallest machine; also the bound on the peak
MAX_FDS = 300  # lowered, so that a small crowd exceeds it
CALLERS = 40  # 160 MB of bodies
SILENT_CALLERS = 400
MB = 1024 * 1024
BODY_BYTES = 4 * MB  # max_body_bytes
TINY_CHUNKS = 512 * 1024  # of one byte, 3 MB on the wire
BODY = b"x" * (5 * MB)
RELAYING, DIRECT = 0, 1  # nodes

HEAD = f"POST /read/ok HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\nDeadline-Ms: 20000\r\n".encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def announced(size):
    return HEAD + b"Content-Length: %d\r\n\r\n" % size


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, BODY[:size])


FORMS = {
    "whole bodies": lambda: announced(BODY_BYTES) + BODY[:BODY_BYTES],
    "one byte short": lambda: announced(BODY_BYTES) + BODY[:BODY_BYTES - 1],
    "large chunks, short": lambda: CHUNKED + chunk(MB) * 3 + chunk(MB - 1),
    "tiny chunks, short": lambda: CHUNKED + chunk(1) * TINY_CHUNKS,
    "over the limit, announced": lambda: announced(len(BODY)) + BODY,
    "over the limit, unannounced": lambda: CHUNKED + chunk(MB) * 5,
}


class SmallNode(Node):
    extra_settings = f"memory_mb: {MEMORY_MB}\nmax_fds: {MAX_FDS}\n"


class SmallPlatform(CutPlatform):
    """A relaying node and a node with a path to the upstreams, both on small machines."""

    node_type = SmallNode


class Crowd:
    """Callers that send their bytes at the same time and keep their connections open."""

    def __init__(self, platform, node, messages):
        self.connections = []
        threads = [threading.Thread(target=self.send, args=(platform, node, message)) for message in messages]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send(self, platform, node, message):
        try:
            connection = platform.connect(platform.nodes[node].caller)
            self.connections.append(connection)
            for part in message if isinstance(message, tuple) else (message,):
                connection.sendall(part)
                time.sleep(0.1)  # The node reads each part separately.
        except OSError:  # Refused or closed, which the node may do.
            pass

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self.connections:
            connection.close()


def peak_mb(node):
    for line in Path(f"/proc/{node.process.pid}/status").read_text().split("\n"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0  # The process has ended.


def descriptors(node):
    try:
        return len(os.listdir(f"/proc/{node.process.pid}/fd"))
    except OSError:
        return 0  # The process has ended.


def is_served(platform, node):
    try:
        return platform.send_request("ordinary", "/read/ok", node=node)[0] == 200
    except OSError:
        return False


def check_row(platform, transcript, name, node, messages):
    for process in (node.process for node in platform.nodes):
        Path(f"/proc/{process.pid}/clear_refs").write_text("5")  # Resets the peak.
    with Crowd(platform, node, messages):
        open_descriptors = max(descriptors(node) for node in platform.nodes)
        platform.wait_until(lambda: is_served(platform, node), 40)
    alive = all(node.process.poll() is None for node in platform.nodes)
    peaks = [peak_mb(node) for node in platform.nodes]
    print(f"# {name}: peaks {peaks} MB, {open_descriptors} descriptors", file=sys.stderr, flush=True)
    transcript.write(f"{name}: alive: {alive}, memory bounded: {max(peaks) <= MEMORY_MB}, "
                     f"descriptors bounded: {open_descriptors <= MAX_FDS}, an ordinary request is served")


def check_second_wave(platform, transcript):
    """Bodies that stop short keep the machine's memory, and more bodies come once they have stalled. Guards
    against a process that ends because each refusal that makes room evicts another stalled body."""
    bodies = [FORMS["one byte short"]()] * CALLERS
    with Crowd(platform, DIRECT, bodies):
        time.sleep(1.5)  # The bodies in the node stall.
        check_row(platform, transcript, "one byte short, in two waves", DIRECT, bodies)


def mix():
    return [list(FORMS.values())[i % len(FORMS)]() for i in range(CALLERS)]


def unread_answers(path):
    """Requests whose answers the callers don't read."""
    return [f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: large{i}\r\nApi-Key: {KEY}\r\n\r\n".encode()
            for i in range(CALLERS)]


def run_checks(platform, transcript):
    platform.wait_until(lambda: all(is_served(platform, node) for node in (RELAYING, DIRECT)))
    for name, form in FORMS.items():
        check_row(platform, transcript, name, DIRECT, [form()] * CALLERS)
    check_second_wave(platform, transcript)
    for name in ("whole bodies", "one byte short"):
        check_row(platform, transcript, f"{name}, relayed", RELAYING, [FORMS[name]()] * CALLERS)
    check_row(platform, transcript, "a mix", DIRECT, mix())
    check_row(platform, transcript, "a mix, relayed", RELAYING, mix())
    check_row(platform, transcript, "a last chunk in two parts", DIRECT, [(CHUNKED + b"0\r\n", b"\r", b"\n")])
    check_row(platform, transcript, "answers that are not read", DIRECT, unread_answers("/read/large"))
    check_row(platform, transcript, "streams that are not read", DIRECT, unread_answers("/chat/longstream"))
    check_row(platform, transcript, "silent connections", DIRECT, [b""] * SILENT_CALLERS)


if __name__ == "__main__":
    run_case(run_checks, lambda: SmallPlatform(nodes=2))
