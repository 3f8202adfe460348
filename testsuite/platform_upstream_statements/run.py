#!/usr/bin/env python3
"""Runners say in their responses that they leave, or reject a request and ask for a pause, while
the store still lists them as ready. Requests are sent through four nodes. All nodes are killed
half-way."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import BackgroundLoad, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 12
SPEAKING_COUNT = 3
# Bounds of the platform: a leaving runner gets nothing from a node later than this after the node
# was told; a runner that asks for a pause gets two requests at most from a node within it, from
# half a second after it has asked.
DRAIN_SECONDS = 2.0
PAUSE_SECONDS = 3.0
PAUSE_SLACK_SECONDS = 0.5
MAX_IN_PAUSE = 2
MIN_SERVED = 0.97


def node_of(attempt):
    return attempt.split("-")[1]


def late_at_leaving(runner):
    """Requests to a leaving runner from a node that was told more than the bound before."""
    told = {}
    for attempt, at in runner.signalled.items():
        told[node_of(attempt)] = min(at, told.get(node_of(attempt), at))
    return sum(1 for at, attempt in list(runner.arrivals)
               if at > told.get(node_of(attempt), at) + DRAIN_SECONDS)


def most_in_pause(runner):
    """The most requests from one node within a pause that the runner asked it for."""
    most = 0
    for attempt, asked in list(runner.signalled.items()):
        count = sum(1 for at, other in list(runner.arrivals)
                    if node_of(other) == node_of(attempt)
                    and asked + PAUSE_SLACK_SECONDS < at < asked + PAUSE_SECONDS)
        most = max(most, count)
    return most


def check_statements(platform, load, transcript, label):
    runners = platform.runners[:SPEAKING_COUNT]
    for runner in runners:
        runner.register()
        runner.refuses = False
        runner.signal(Server_Leaving="1")
    load.take()
    time.sleep(2 * DRAIN_SECONDS)
    late = sum(late_at_leaving(runner) for runner in runners)
    speaking = platform.runners[SPEAKING_COUNT:2 * SPEAKING_COUNT]
    for runner in speaking:
        runner.signal(Retry_After=str(PAUSE_SECONDS))
        runner.refuses = True
    time.sleep(2 * PAUSE_SECONDS)
    most = max(most_in_pause(runner) for runner in speaking)
    for runner in speaking:
        runner.refuses = False
        runner.signal()
    responses = load.take()
    print(f"# {label}: {late} requests too late; at most {most} in a pause; {dict(responses)}", file=sys.stderr)
    transcript.write(f"{label}, none to leaving runners: {late == 0}")
    transcript.write(f"{label}, pauses are kept: {most <= MAX_IN_PAUSE}")
    transcript.write(f"{label}, callers are served: {responses[200] / max(1, sum(responses.values())) >= MIN_SERVED}")


def run_checks(platform, transcript):
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"fine-{node}-{number}-{time.monotonic()}",
        "/draft/stream" if number % 2 else "/read/ok", node=node))
    time.sleep(1)
    check_statements(platform, load, transcript, "runners speak")
    for node in platform.nodes:
        node.kill()
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    check_statements(platform, load, transcript, "after the restart of all nodes")
    load.stop()


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, RUNNER_COUNT))
