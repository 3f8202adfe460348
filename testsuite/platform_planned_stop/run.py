#!/usr/bin/env python3
"""Guards against requests that a stopping node takes late in its grace period, passes on and
then cuts off. Callers keep their connections and send on until the node closes them."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, Platform, config, route  # noqa: E402
from story import run_case  # noqa: E402

CONNECTION_COUNT = 24
# Longest that the upstreams take; the route's timeout is 5 s.
WORK_MS = (600, 1500, 3000)
SECONDS_BEFORE_STOP = 1.0


class KeptConnection(threading.Thread):
    """A caller that sends one request after the other on one connection."""

    def __init__(self, platform, number):
        super().__init__(daemon=True)
        self.platform, self.number = platform, number
        self.unanswered = []  # attempts that were sent and got no complete response
        self.statuses = []
        self.start()

    def run(self):
        chance = random.Random(self.number)
        with self.platform.connect(self.platform.caller) as connection:
            for i in range(10_000):
                attempt = f"stop-{self.number}-{i}"
                kind = chance.choice(("order", "read"))
                work = chance.choice(WORK_MS)
                try:
                    connection.sendall(
                        f"POST /{kind}/sleep{work} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                        f"Api-Key: {KEY}\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n".encode())
                    status, head, body = self.platform.read_response(connection)
                except OSError:
                    status, head, body = 0, "", None
                if status == 0 or body is None:
                    self.unanswered.append(attempt)
                    return
                self.statuses.append(status)
                if "connection: close" in head.lower():
                    return
                time.sleep(chance.random() * 0.2)


def check_stop(platform, transcript, name, second_signal=False):
    connections = [KeptConnection(platform, i) for i in range(CONNECTION_COUNT)]
    time.sleep(SECONDS_BEFORE_STOP)
    stopped_at = time.monotonic()
    platform.process.send_signal(signal.SIGTERM)
    if second_signal:
        time.sleep(2.5)
        platform.process.send_signal(signal.SIGTERM)
    platform.process.wait(timeout=15)
    took = time.monotonic() - stopped_at
    for connection in connections:
        connection.join(timeout=15)
    ran = {run[0] for runner in platform.runners for run in runner.executed_requests}
    cut_off = [attempt for connection in connections for attempt in connection.unanswered if attempt in ran]
    statuses = {status for connection in connections for status in connection.statuses}
    print(f"# {name}: stopped after {took:.1f} s, cut off {cut_off}, {statuses}", file=sys.stderr)
    transcript.write(f"{name}: passed on and not answered: {len(cut_off)}, statuses within 200 and 503: "
                     f"{statuses <= {200, 503}}, exit status {platform.process.returncode}, "
                     f"within the grace period: {took < 8}")


def run_checks(platform, transcript):
    # The longest work is within the latency target, so that nothing is sent twice.
    platform.store.put("op/config", config(2, routes=[
        route("read", "idempotent", slo_ms=4000), route("order", "non_idempotent", attempts=1, slo_ms=4000)]))
    platform.wait_until(lambda: platform.send_request("ready", "/order/ok", "POST")[0] == 200)
    # By the first tables, whose latency target is shorter, requests are sent twice.
    platform.wait_until(lambda: all(node.read_log().count('"event":"tables_in_force"') >= 2
                                    for node in platform.nodes))
    check_stop(platform, transcript, "one signal")
    platform.nodes[0].start()
    platform.wait_until(lambda: platform.readiness_status() == 200)
    check_stop(platform, transcript, "a second signal in between", second_signal=True)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(nodes=2, runners=6))
