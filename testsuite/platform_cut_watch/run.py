#!/usr/bin/env python3
"""Guards against requests to upstreams whose entries the store has removed, because the
watches of the nodes were cut shortly before, or because single calls failed (DRAIN). Most
upstreams of the service leave at once, without saying so before."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import BackgroundLoad, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 2
RUNNER_COUNT = 3
LEAVING = 2
DRAIN_SECONDS = 2.0  # an upstream must not get requests later than this after it left


def wait_for_watches(platform):
    """Waits until each node has a watch on the upstreams that waits, just after a listing."""
    store = platform.store
    lists = store.list_count
    platform.wait_until(lambda: store.list_count > lists
                        and store.waiting_watches("servers/") >= NODE_COUNT)


def late_arrivals(platform, disturb, disturb_before):
    """Returns the number of requests that reach upstreams too long after they left."""
    runners = platform.runners[:LEAVING]
    wait_for_watches(platform)
    disturb(platform.store)
    time.sleep(disturb_before)
    for runner in runners:
        platform.store.remove(f"servers/{runner.name}")
        runner.arrivals.clear()
    left_at = time.monotonic()
    time.sleep(2 * DRAIN_SECONDS)
    late = [at - left_at for runner in runners for at, _ in runner.arrivals
            if at - left_at > DRAIN_SECONDS]
    print(f"# late requests: {len(late)}, the last after {max(late, default=0):.2f} s", file=sys.stderr)
    for runner in runners:
        runner.register()
    platform.wait_until(lambda: all(runner.arrivals for runner in runners))
    return len(late)


def cut_watches(store):
    store.cut_watches()


def fail_calls(store):
    """Turns single calls away and cuts the watches, so that they have to be listed anew."""
    store.failing_calls = 3
    store.cut_watches()


def run_checks(platform, transcript):
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"load-{node}-{number}", "/read/ok", node=node))
    platform.wait_until(lambda: all(runner.arrivals for runner in platform.runners))
    for before in (0.05, 0.15, 0.6):
        late = late_arrivals(platform, cut_watches, before)
        transcript.write(f"watches cut {before} s before most upstreams leave: late requests: {late > 0}")
    late = late_arrivals(platform, fail_calls, 0.15)
    transcript.write(f"calls turned away as well: late requests: {late > 0}")
    load.stop()
    transcript.write(f"all requests were served: {set(load.take()) == {200}}")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, RUNNER_COUNT))
