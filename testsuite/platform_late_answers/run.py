#!/usr/bin/env python3
"""Guards against a node that was late itself and then takes sound upstreams for silent: it breaks
their answers off, which wait unread, and runs the requests once more elsewhere."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, Platform, config, route  # noqa: E402
from story import run_case  # noqa: E402

# More than one call of the event loop's poll returns.
CONNECTIONS = 400
# The upstreams answer after 1.5 s, the node retries elsewhere after 2 s of silence.
PATH = "/read/sleep1500"
STOP_SECONDS = 3.5


def ran():
    return [run for run in EXECUTIONS if run[0].startswith("late-")]


def run_checks(platform, transcript):
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
