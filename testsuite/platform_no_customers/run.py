#!/usr/bin/env python3
"""Guards against requests that run without a key because a version of the configuration has an
empty list of customers (review/7, CONFIG and ROUTE)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import StoreOfOneNode  # noqa: E402
from platform_standins import EXECUTIONS, KEY, config, route  # noqa: E402
from story import run_case  # noqa: E402

NODES = 2
REQUESTS = 10  # with each key, at each node
KEYS = {"taken away": KEY, "never given": "another-key", "none": ""}
# Longer than keys are valid without a confirmation, which is 5 s.
CUT_SECONDS = 6
ROUTES = [route("order", "non_idempotent", attempts=1),
          route("open", "non_idempotent", attempts=1, public=True)]


class TwoStores(StoreOfOneNode):
    """Two nodes, of which the first can be cut off from the store by itself."""

    def __init__(self):
        super().__init__(nodes=NODES)

    def wait_for_version(self, version):
        self.wait_until(lambda: all(str(version) in node.activated_tables() for node in self.nodes))


def check(platform, transcript, when):
    """Sends requests with each kind of key to all nodes."""
    for kind, key in KEYS.items():
        statuses = {platform.send_request(f"{when}/{kind}/{node}/{i}", "/order/echo", "POST", b"x", key=key, node=node)[0]
                    for node in range(NODES) for i in range(REQUESTS)}
        transcript.write(f"{when}, key {kind}: {sorted(statuses)}, {count_runs(f'{when}/{kind}/')} ran")
    statuses = {platform.send_request(f"{when}/open/{node}", "/open/echo", "POST", b"x", key="", node=node)[0]
                for node in range(NODES)}
    transcript.write(f"{when}, public route: {sorted(statuses)}")


def count_runs(prefix):
    return sum(run[0].startswith(prefix) for run in EXECUTIONS)


def run_checks(platform, transcript):
    platform.put_config(config(2, routes=ROUTES))
    platform.wait_for_version(2)
    check(platform, transcript, "one customer")
    platform.put_config(config(3, routes=ROUTES, tenants=[]))
    platform.wait_for_version(3)
    check(platform, transcript, "no customers")
    for node in platform.nodes:
        node.kill()
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    check(platform, transcript, "after a restart")
    for store in (platform.own_store, platform.store):
        store.down = True
    time.sleep(CUT_SECONDS)
    transcript.write(f"without the store, ready: {[node.readiness_status() for node in platform.nodes]}")
    check(platform, transcript, "without the store")


if __name__ == "__main__":
    run_case(run_checks, TwoStores)
