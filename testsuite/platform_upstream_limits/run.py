#!/usr/bin/env python3
"""Three of twelve runners state a limit on the requests that they accept from all nodes
together. Requests and streams are sent through four nodes at many times that rate. All
nodes are killed half-way. At the end the runners state no limit any more."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import BackgroundLoad, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 12
LIMITED_COUNT = 3
LIMIT = 2.0  # Requests a second.
# Bounds of the platform: a runner may get 1.5 times its limit in this window and some requests
# more, from nodes that have passed on such a response, once it has stated the limit for a while.
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
PROPAGATION_SECONDS = 3.0
TOLD_SECONDS = 0.5
MIN_SERVED = 0.97


def node_of(attempt):
    """The node that a request was sent through, from its attempt id."""
    return attempt.split("-")[1]


def most_arrivals(runner, since):
    """The most requests within a window from nodes that the runner has told its limit."""
    told = {}
    for attempt, at in runner.signalled.items():
        told[node_of(attempt)] = min(at, told.get(node_of(attempt), at))
    times = sorted(at for at, attempt in list(runner.arrivals)
                   if at > since and at > told.get(node_of(attempt), at) + TOLD_SECONDS)
    return max((sum(1 for at in times if start <= at < start + WINDOW_SECONDS)
                for start in times), default=0)


def check_limits(platform, load, transcript, label):
    """Observes the limited runners for two windows after the limit has spread."""
    time.sleep(PROPAGATION_SECONDS)
    since = time.monotonic()
    time.sleep(2 * WINDOW_SECONDS)
    most = max(most_arrivals(runner, since) for runner in platform.runners[:LIMITED_COUNT])
    responses = load.take()
    print(f"# {label}: at most {most} of {ALLOWED:.0f} allowed; {dict(responses)}", file=sys.stderr)
    transcript.write(f"{label}, within the limit: {most <= ALLOWED}")
    served = responses[200] / max(1, sum(responses.values()))
    transcript.write(f"{label}, callers are served: {served >= MIN_SERVED}")


def run_checks(platform, transcript):
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"fine-{node}-{number}-{time.monotonic()}",
        "/draft/stream" if number % 2 else "/read/ok", node=node))
    time.sleep(1)
    for runner in platform.runners[:LIMITED_COUNT]:
        runner.signal(Server_Limit=str(LIMIT))
    check_limits(platform, load, transcript, "a limit is stated")
    for node in platform.nodes:
        node.kill()
    for runner in platform.runners[:LIMITED_COUNT]:
        runner.signal(Server_Limit=str(LIMIT))
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    load.take()
    check_limits(platform, load, transcript, "after the restart of all nodes")
    for runner in platform.runners[:LIMITED_COUNT]:
        runner.signal()
    platform.wait_until(lambda: all(
        len(runner.arrivals) > 4 * ALLOWED for runner in platform.runners[:LIMITED_COUNT]))
    transcript.write("without a limit the runners are used again")
    load.stop()


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, RUNNER_COUNT))
