#!/usr/bin/env python3
"""Guards against streams that are joined from upstreams of two software versions. Callers
stream through four nodes from twelve upstreams of two versions. Upstreams, connections and
all nodes break; callers take their streams up again at another node and say which attempt
began them."""

import itertools
import random
import re
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, VERSIONED_EVENTS, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 12
CALLER_COUNT = 40
MAX_MIXED_STREAMS = 2  # over each part of the case
MIN_TAKE_UPS = 12  # a part with fewer shows nothing
TAKE_UP_TRIES = 8
PART_SECONDS = 6.0
PAUSE_SECONDS = 0.15  # between a caller's tries
# Callers that close their connections themselves do so once in this many streams.
CLOSE_ONE_IN = 4


class Stream:
    """One stream as its caller sees it, over all tries."""

    numbers = itertools.count(1)

    def __init__(self):
        self.name = f"stream-{next(Stream.numbers)}"
        self.first_attempt = None  # the attempt that brought the first event
        self.last_event = 0
        self.versions = set()
        self.tries = 0
        self.take_ups = 0
        self.went_on = 0  # take-ups that brought at least one more event
        self.complete = False
        self.out_of_order = False


class Callers:
    """Callers that open streams and take them up again when they break."""

    def __init__(self, platform, closes_connections):
        self.platform = platform
        self.closes_connections = closes_connections
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.streams = []
        self.statuses = Counter()  # of take-ups
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True)
                        for number in range(CALLER_COUNT)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        chance = random.Random(number)
        time.sleep(chance.random())  # Callers are not in step.
        while not self.stopped.is_set():
            stream = Stream()
            close_after = (chance.randrange(2, VERSIONED_EVENTS)
                           if self.closes_connections and chance.randrange(CLOSE_ONE_IN) == 0 else None)
            while not stream.complete and stream.tries < TAKE_UP_TRIES:
                stream.tries += 1
                node = chance.randrange(NODE_COUNT)
                try:
                    self.attempt(stream, f"{stream.name}-{stream.tries}", node, close_after)
                except OSError:
                    pass  # The node was killed.
                close_after = None
                if stream.complete or (stream.last_event == 0 and self.stopped.is_set()):
                    break
                time.sleep(PAUSE_SECONDS)
            with self.lock:
                self.streams.append(stream)

    def attempt(self, stream, attempt, node, close_after):
        before = stream.last_event
        extra = (f"Last-Event-Id: {before}\r\nResumes: {stream.first_attempt}\r\n" if before else "")
        request = (f"POST /story/versions HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nApi-Key: {KEY}\r\n"
                   f"Deadline-Ms: 8000\r\n{extra}Content-Length: 0\r\n\r\n")
        status = 0
        try:
            with Platform.connect(self.platform.nodes[node].caller) as connection:
                connection.sendall(request.encode())
                status = self.read(connection, stream, attempt, close_after)
        finally:
            # A node that doesn't run is out of touch, so the try doesn't count.
            if before and status != 0:
                stream.take_ups += 1
                stream.went_on += stream.last_event > before
                with self.lock:
                    self.statuses[f"{status}{'' if stream.last_event > before else ' without events'}"] += 1

    def read(self, connection, stream, attempt, close_after):
        buffer, status = b"", 0
        while not stream.complete:
            try:
                data = connection.recv(65536)
            except ConnectionResetError:
                return status
            if not data:
                return status
            buffer += data
            if status == 0 and b"\r\n" in buffer:
                status = int(buffer.split()[1])
            for number, version in re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", buffer):
                self.on_event(stream, attempt, int(number), version)
            buffer = buffer[buffer.rfind(b"\n\n") + 2:] if b"\n\n" in buffer else buffer
            if close_after is not None and stream.last_event >= close_after:
                return status
            if status not in (0, 200):
                return status
            stream.complete = stream.last_event == VERSIONED_EVENTS
        return status

    @staticmethod
    def on_event(stream, attempt, number, version):
        stream.out_of_order |= number != stream.last_event + 1
        stream.last_event = number
        stream.versions.add(version)
        stream.first_attempt = stream.first_attempt or attempt

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def restart_all_nodes(platform, while_down=lambda: None):
    for node in platform.nodes:
        node.kill()
    while_down()
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))


def crash_runners(platform):
    """Crashes runners of both versions, one after the other; they are back soon."""
    for runner in platform.runners[::3]:
        runner.do_crash(None, "none")
        time.sleep(PART_SECONDS / RUNNER_COUNT)
    time.sleep(PART_SECONDS / 2)


def kill_nodes_twice(platform):
    for _ in range(2):
        time.sleep(PART_SECONDS / 4)
        restart_all_nodes(platform)
    time.sleep(PART_SECONDS / 4)


def old_version_leaves_unseen(platform):
    time.sleep(PART_SECONDS / 4)

    def leave():
        for runner in platform.runners[::2]:
            runner.leave()

    restart_all_nodes(platform, leave)
    time.sleep(PART_SECONDS / 2)
    for runner in platform.runners[::2]:
        runner.restart()


def return_as_other_version(platform):
    """Runners crash and come back under their ids, as the other version."""
    for runner in platform.runners[::2]:
        runner.crash()
        runner.restart("v2" if runner.version == "v1" else "v1")
        time.sleep(PART_SECONDS / RUNNER_COUNT)
    time.sleep(PART_SECONDS / 4)


def check_part(platform, transcript, name, disturb, closes_connections=False):
    callers = Callers(platform, closes_connections)
    time.sleep(2)
    disturb(platform)
    callers.stop()
    streams = callers.streams
    mixed = sum(1 for stream in streams if len(stream.versions) > 1)
    out_of_order = sum(1 for stream in streams if stream.out_of_order)
    began = sum(1 for stream in streams if stream.last_event > 0) / len(streams)
    take_ups = sum(stream.take_ups for stream in streams)
    went_on = sum(stream.went_on for stream in streams) / max(1, take_ups)
    print(f"# {name}: {len(streams)} streams, {mixed} of two versions, began {began:.3f}; "
          f"{take_ups} take-ups, went on {went_on:.3f}, {dict(callers.statuses)}", file=sys.stderr)
    transcript.write(f"{name}: taken up: {take_ups >= MIN_TAKE_UPS}, "
                     f"within the limit of two versions: {mixed <= MAX_MIXED_STREAMS}, "
                     f"in order: {out_of_order == 0}")
    return began, went_on


def check_takes_up(transcript, name, shares):
    """Checks that at least half as large a share of take-ups goes on as of streams begins."""
    began, went_on = shares
    transcript.write(f"{name}: take-ups go on: {went_on >= began / 2}")


def run_checks(platform, transcript):
    platform.serve_stories()
    name = "one version, broken by callers and upstreams"
    began, went_on = check_part(platform, transcript, name, crash_runners, closes_connections=True)
    transcript.write(f"{name}: all go on: {went_on == 1}")
    for runner in platform.runners[::2]:
        runner.crash()
        runner.restart("v2")
    time.sleep(2)
    name = "broken by callers and upstreams"
    check_takes_up(transcript, name, check_part(platform, transcript, name, crash_runners, closes_connections=True))
    name = "all nodes killed twice"
    check_takes_up(transcript, name, check_part(platform, transcript, name, kill_nodes_twice))
    # Streams of the version that is gone can't go on.
    check_part(platform, transcript, "a version leaves while the nodes are down", old_version_leaves_unseen)
    check_part(platform, transcript, "upstreams return as the other version", return_as_other_version,
               closes_connections=True)


def make_platform():
    random.seed(1)
    return Platform(NODE_COUNT, RUNNER_COUNT)


if __name__ == "__main__":
    run_case(run_checks, make_platform)
