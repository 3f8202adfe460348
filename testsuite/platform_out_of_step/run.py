#!/usr/bin/env python3
"""Guards against streams that are joined from two software versions by a node that is out of
step (ORDER). One of four nodes stands still while upstreams of a second version join. Streams
that began at these through the other nodes break, and their callers take them up at that node
as it comes back."""

import re
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, Platform, Runner  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
OLD_COUNT = NEW_COUNT = 6
STREAM_COUNT = 60
MIN_NEW_STREAMS = 12  # that began at the second version; fewer show nothing
READ_SECONDS = 6.0


class Stream:
    """A stream that a caller begins at one node and takes up at another."""

    def __init__(self, platform, number, part):
        self.platform = platform
        self.number = number
        self.attempt = f"{part}-{number}"
        self.versions = set()
        self.last_event = 0
        self.went_on = False
        self.in_order = True
        self.status = 0

    def read(self, connection, until):
        buffer = b""
        connection.settimeout(READ_SECONDS)
        while self.last_event < until:
            try:
                data = connection.recv(65536)
            except (TimeoutError, ConnectionResetError):
                return
            if not data:
                return
            buffer += data
            if self.status == 0 and b"\r\n" in buffer:
                self.status = int(buffer.split()[1])
            for number, version in re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", buffer):
                self.in_order &= int(number) == self.last_event + 1
                self.last_event = int(number)
                self.versions.add(version)
            buffer = buffer[buffer.rfind(b"\n\n") + 2:] if b"\n\n" in buffer else buffer
            if self.status not in (0, 200):
                return

    def send(self, node, attempt, extra=""):
        connection = Platform.connect(self.platform.nodes[node].caller)
        connection.sendall((f"POST /story/versions HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                            f"Api-Key: {KEY}\r\nDeadline-Ms: 8000\r\n{extra}Content-Length: 0\r\n\r\n").encode())
        return connection

    def begin(self):
        with self.send(1 + self.number % (NODE_COUNT - 1), self.attempt) as connection:
            self.read(connection, 2)

    def ask_to_go_on(self):
        """Sends the request to the first node, which may not read it yet."""
        if self.last_event == 0:
            return
        self.connection = self.send(
            0, f"{self.attempt}-again", f"Last-Event-Id: {self.last_event}\r\nResumes: {self.attempt}\r\n")

    def go_on(self):
        if self.last_event == 0:
            return
        before, self.status = self.last_event, 0
        with self.connection as connection:
            self.read(connection, before + 2)
        self.went_on = self.last_event > before


def for_each(streams, method):
    threads = [threading.Thread(target=getattr(stream, method), daemon=True) for stream in streams]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def check_part(platform, transcript, name, part, seconds):
    """Upstreams of the second version join while the first node is stopped."""
    time.sleep(1)
    platform.process.send_signal(signal.SIGSTOP)
    since = time.monotonic()
    new = [Runner(f"{part}-new-{i}", platform.store, f"v2-{part}") for i in range(NEW_COUNT)]
    platform.wait_until(lambda: any(runner.executed_requests for runner in new) or probe(platform, part))
    streams = [Stream(platform, number, part) for number in range(STREAM_COUNT)]
    for_each(streams, "begin")
    time.sleep(max(0, since + seconds - time.monotonic()))
    for_each(streams, "ask_to_go_on")
    began_new = sum(1 for stream in streams if stream.versions == {f"v2-{part}".encode()})
    platform.process.send_signal(signal.SIGCONT)
    for_each(streams, "go_on")
    mixed = sum(1 for stream in streams if len(stream.versions) > 1)
    went_on = sum(stream.went_on for stream in streams)
    statuses = sorted({stream.status for stream in streams})
    print(f"# {name}: {began_new} of {len(streams)} began at the new version, {went_on} went on, "
          f"{mixed} of two versions, statuses {statuses}", file=sys.stderr)
    transcript.write(f"{name}: streams began at the new version: {began_new >= MIN_NEW_STREAMS}, "
                     f"joined from two versions: {mixed}, in order: {all(s.in_order for s in streams)}")
    for runner in new:
        runner.leave()
    time.sleep(1)


def probe(platform, part):
    """Sends a request through another node; the new upstreams get their share of these."""
    platform.send_request(f"probe-{part}-{time.monotonic()}", "/story/ok", node=1)
    return False


def run_checks(platform, transcript):
    platform.serve_stories()
    check_part(platform, transcript, "node stopped for 1.5 s", "a", 1.5)
    # The version of the part before counts as in use for a minute.
    for node in platform.nodes:
        node.kill()
    for key in [key for key in platform.store.items if key.startswith("pollenledge/versions/")]:
        platform.store.remove(key)
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    time.sleep(2)
    check_part(platform, transcript, "node stopped for 3 s", "b", 3.0)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, OLD_COUNT))
