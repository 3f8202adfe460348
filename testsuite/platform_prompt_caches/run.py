#!/usr/bin/env python3
"""Runners tell what their KV caches retain. Requests follow a prefix to the runner that retains it,
also when it moves, the cache begins anew, or the calls for events are refused."""

import json
import sys
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlparse

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, Platform, Runner, config, header, prompt_header, route  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 2
RUNNER_COUNT = 4
MOST_CALLS = 12
REQUESTS = 6
PREFIX = "5e55"
PREFIX_TOKENS = 5000


class CachingRunner(Runner):
    """A runner that serves the events of its KV cache."""

    def __init__(self, *args, **kwargs):
        self.events = []
        self.epoch = 1
        self.changed = threading.Condition()
        self.waits = []  # Wait-Ms of each call
        self.open_calls = 0
        self.most_open_calls = 0
        self.refuses_calls = False
        super().__init__(*args, **kwargs)

    def add_event(self, sign, segment):
        with self.changed:
            self.events.append([len(self.events), sign, "", segment, PREFIX_TOKENS, "m"])
            self.changed.notify_all()

    def begin_epoch(self):
        with self.changed:
            self.epoch += 1
            self.events = []
            self.changed.notify_all()

    def respond(self, connection, head, body):
        target = urlparse(head.split(" ")[1])
        if target.path != "/-/kv-events":
            return super().respond(connection, head, body)
        since = int(parse_qs(target.query)["since"][0])
        wait = int(header(head, "Wait-Ms"))
        with self.changed:
            self.waits.append(wait)
            if self.refuses_calls:
                connection.sendall(b"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n")
                return True
            self.open_calls += 1
            self.most_open_calls = max(self.most_open_calls, self.open_calls)
            epoch = self.epoch
            self.changed.wait_for(lambda: len(self.events) > since or self.epoch != epoch, wait / 1000)
            self.open_calls -= 1
            reply = json.dumps({"epoch": self.epoch, "next": len(self.events), "lost": 0,
                                "events": self.events[since:]}).encode()
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(reply), reply))
        return True


class CachingPlatform(Platform):
    """Nodes that schedule by prediction before runners that serve cache events."""

    runner_type = CachingRunner

    def __enter__(self):
        super().__enter__()
        self.store.put("op/config", config(
            2, routes=[route("draft", "streaming", resumable=True, affinity=True)],
            services=[{"name": "work", "health_path": "/healthz", "max_conns": 100, "engine": {
                "batch_slots": 8, "kv_capacity": 100000, "most": MOST_CALLS}}]))
        for node in self.nodes:
            node.kill()
            with open(node.settings, "a") as settings:
                settings.write("scheduling: predictive\n")
            node.start()
        self.wait_until(lambda: all(node.readiness_status() == 200 for node in self.nodes))
        return self


def runners_of_requests(platform, label):
    """The runners that requests with the prefix went to, and how many were answered."""
    answered = 0
    for number in range(REQUESTS):
        status, response_head, _ = platform.send_request(
            f"{label}-{number}", "/draft/stream", node=number % NODE_COUNT,
            extra=prompt_header(f"{PREFIX}:{PREFIX_TOKENS},{number + 1:x}:10"))
        if status != 200:
            print(f"# {label}: {response_head}", file=sys.stderr)
        answered += status == 200
    return {runner for attempt, runner, _ in EXECUTIONS if attempt.startswith(label)}, answered


def run_checks(platform, transcript):
    runners = platform.runners
    platform.wait_until(lambda: all(runner.waits for runner in runners))
    for runner in runners:
        runner.add_event("+", PREFIX)
        time.sleep(1)  # The nodes have read the event.
        label = f"at-{runner.name}"
        used, answered = runners_of_requests(platform, label)
        print(f"# {label}: {used}, {answered}", file=sys.stderr)
        transcript.write(f"requests follow the prefix to {runner.name}: "
                         f"{used == {runner.name} and answered == REQUESTS}")
        time.sleep(1.2)  # A node does not believe an eviction right after its request.
        runner.add_event("-", PREFIX)
        time.sleep(1)
    runners[0].add_event("+", PREFIX)
    time.sleep(1)
    for runner in runners:
        runner.begin_epoch()
    time.sleep(1.5)
    runners[1].add_event("+", PREFIX)
    time.sleep(1)
    used, answered = runners_of_requests(platform, "epoch")
    print(f"# epoch: {used}, {answered}", file=sys.stderr)
    transcript.write(f"after another epoch too: {used == {runners[1].name} and answered == REQUESTS}")
    for runner in runners:
        runner.refuses_calls = True
    time.sleep(1.5)
    for runner in runners:
        runner.waits_before = len(runner.waits)
    time.sleep(2)
    calls = sum(len(runner.waits) - runner.waits_before for runner in runners)
    _, answered = runners_of_requests(platform, "refused")
    print(f"# refused: {calls} calls, {answered}", file=sys.stderr)
    transcript.write(f"refused calls are backed off: {calls <= 2 * NODE_COUNT * RUNNER_COUNT}")
    transcript.write(f"requests are answered without events: {answered == REQUESTS}")
    waits = [wait for runner in runners for wait in runner.waits]
    transcript.write(f"calls wait long enough to be free: {all(200 <= wait <= 1000 for wait in waits)}")
    transcript.write("a runner has two calls at most: "
                     f"{max(runner.most_open_calls for runner in runners) <= 2}")


if __name__ == "__main__":
    run_case(run_checks, lambda: CachingPlatform(NODE_COUNT, RUNNER_COUNT))
