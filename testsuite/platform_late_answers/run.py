#!/usr/bin/env python3
"""Guards against a node that was late itself and then takes sound upstreams for silent: it breaks
their answers off, which wait unread, and runs the requests once more elsewhere. Guards as well
against a caller's time that stands still while its request waits to be read."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, HOST, KEY, Platform, config, route  # noqa: E402
from story import run_case  # noqa: E402

# More than one call of the event loop's poll returns.
CONNECTIONS = 400
# The upstreams answer after 1.5 s, the node retries elsewhere after 2 s of silence.
PATH = "/read/sleep1500"
STOP_SECONDS = 3.5


def ran():
    return [run for run in EXECUTIONS if run[0].startswith("late-")]


# How long a request waits to be read, and its deadline. The runner works for 3 s, which is less than
# the deadline, but more than what is left of it.
WAIT_SECONDS, DEADLINE_SECONDS = 3.0, 4.0
LATEST_END_SECONDS = 5.5


def check_unread_request(platform, transcript):
    """The caller's time runs while its request waits to be read."""
    with platform.connect(platform.caller) as connection:
        platform.process.send_signal(signal.SIGSTOP)
        sent_at = time.monotonic()
        connection.sendall((
            f"GET /read/sleep3000 HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: unread\r\nApi-Key: {KEY}\r\n"
            f"Deadline-Ms: {int(1000 * DEADLINE_SECONDS)}\r\n\r\n").encode())
        time.sleep(WAIT_SECONDS)
        platform.process.send_signal(signal.SIGCONT)
        status = platform.read_response(connection)[0]
        took = time.monotonic() - sent_at
    print(f"# unread request: {status} after {took:.2f} s", file=sys.stderr)
    transcript.write(f"a request that waited unread: ended by its deadline {took < LATEST_END_SECONDS}, "
                     f"status of a timeout {status in (503, 504)}")


def run_checks(platform, transcript):
    check_late_responses(platform, transcript)
    check_unread_request(platform, transcript)


def check_late_responses(platform, transcript):
    platform.store.put("op/config", config(
        2, routes=[route("read", "idempotent", timeout_ms=10000)],
        services=[{"name": "work", "health_path": "/healthz", "max_conns": CONNECTIONS}]))
    platform.wait_until(lambda: '"version":"2"' in platform.nodes[0].read_log())
    connections = [platform.connect(platform.caller) for _ in range(CONNECTIONS)]
    for number, connection in enumerate(connections):
        connection.sendall(platform.request(f"late-{number}", PATH))
    platform.wait_until(lambda: len(ran()) >= CONNECTIONS)
    platform.process.send_signal(signal.SIGSTOP)
    time.sleep(STOP_SECONDS)
    platform.process.send_signal(signal.SIGCONT)
    answered = 0
    for connection in connections:
        with connection:
            answered += platform.read_response(connection)[0] == 200
    silent = platform.nodes[0].read_log().count('"event":"upstream_silent"')
    transcript.write(f"a late loop: answered {answered}, upstreams taken for silent {silent}, "
                     f"runs {len(ran())}")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(nodes=1, runners=3, slots=800))
