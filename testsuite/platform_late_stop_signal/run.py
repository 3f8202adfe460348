#!/usr/bin/env python3
"""Guards against a node that handles its stop signal late, counts the grace period from then, and is
killed at the end of the grace period with requests that it has taken and not answered."""

import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, Platform, config, route  # noqa: E402
from story import run_case  # noqa: E402

# How long the signal waits, as the event loop stands still.
DELAY_SECONDS = 1.5
# From the signal until the process is killed, as in the node's settings.
GRACE_SECONDS = 8.0
# From the signal until each request. What is sent in the first 2 s after it was handled may be at work
# until the end.
SEND_SECONDS = [3.8 + 0.05 * i for i in range(8)]
# Work and deadline of the requests by turns: the first end after the process, the others before.
WORK_AND_DEADLINE_MS = ((4800, 5000), (600, 2500))


class KeptConnection(threading.Thread):
    """A caller that sends a request on an open connection during the stop."""

    def __init__(self, platform, number, send_at):
        super().__init__(daemon=True)
        self.platform, self.number, self.send_at = platform, number, send_at
        self.status = 0
        self.connection = platform.connect(platform.caller)
        self.start()

    def run(self):
        work, deadline = WORK_AND_DEADLINE_MS[self.number % 2]
        with self.connection as connection:
            time.sleep(max(0.0, self.send_at - time.monotonic()))
            try:
                connection.sendall((
                    f"GET /read/sleep{work} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: late-stop-{self.number}\r\n"
                    f"Api-Key: {KEY}\r\nDeadline-Ms: {deadline}\r\n\r\n").encode())
                status, _, body = self.platform.read_response(connection)
                self.status = status if body is not None else 0
            except OSError:
                pass


def stop_within(process, seconds):
    """Waits for the process and kills it after `seconds`, as its supervisor does. Returns whether
    it ended by itself."""
    try:
        process.wait(timeout=seconds)
        return True
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return False


def run_checks(platform, transcript):
    platform.store.put("op/config", config(2, routes=[route("read", "idempotent", timeout_ms=9000, slo_ms=5000)]))
    platform.wait_until(lambda: '"version":"2"' in platform.nodes[0].read_log())
    process = platform.process
    process.send_signal(signal.SIGSTOP)
    stopped_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    time.sleep(DELAY_SECONDS)
    process.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    callers = [KeptConnection(platform, number, stopped_at + seconds)
               for number, seconds in enumerate(SEND_SECONDS)]
    in_time = stop_within(process, stopped_at + GRACE_SECONDS - time.monotonic())
    for caller in callers:
        caller.join(timeout=15)
    statuses = [caller.status for caller in callers]
    print(f"# statuses {statuses}", file=sys.stderr)
    transcript.write(f"sent {len(statuses)}, without an answer {sum(s not in (200, 503) for s in statuses)}, "
                     f"served of those that end in time {statuses[1::2].count(200)}, "
                     f"within the grace period: {in_time}")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(nodes=1, runners=3))
