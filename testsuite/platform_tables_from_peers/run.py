#!/usr/bin/env python3
"""Guards against a node that goes on by old tables, or rejects its callers, because the store
turns it away while its peers have what it lacks (CONFIG with full links)."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import StoreOfOneNode  # noqa: E402
from platform_standins import KEY, config, route  # noqa: E402
from story import run_case  # noqa: E402

NODES = 3
# Longer than keys are valid without a confirmation, which is 5 s.
AWAY_SECONDS = 8
# The names of many routes make the document larger than one datagram.
MANY_ROUTES = [route(f"unused{i}", "idempotent") for i in range(400)]


def newer(version, added):
    return config(version, routes=[route("read", "idempotent"), route(added, "idempotent"), *MANY_ROUTES],
                  tenants=[{"name": "ada", "api_keys": [KEY]}])


def source_of(platform, version):
    """Waits until the first node has the version, and returns where it came from."""
    platform.wait_until(lambda: version in platform.nodes[0].activated_tables())
    return platform.nodes[0].activated_tables()[version]


def status_of(platform, name, path):
    return platform.send_request(name, path)[0]


def run_checks(platform, transcript):
    platform.wait_until(lambda: status_of(platform, "first", "/read/ok") == 200)
    platform.own_store.down = True
    platform.store.put("op/config", newer(2, "added"))
    platform.wait_until(lambda: status_of(platform, "added", "/added/ok") == 200)
    transcript.write(f"a route that the store doesn't tell this node: {source_of(platform, '2')}")
    statuses = set()
    end = time.monotonic() + AWAY_SECONDS
    while time.monotonic() < end:
        statuses.add(status_of(platform, "while-away", "/read/ok"))
        time.sleep(0.05)
    transcript.write(f"requests with a key for longer than keys last unconfirmed: {statuses}")
    platform.store.put("op/config", newer(3, "other"))
    platform.wait_until(lambda: status_of(platform, "removed", "/added/ok") == 404)
    transcript.write("a route that was removed since isn't served any more")
    platform.nodes[0].kill()
    platform.store.put("op/config", newer(4, "last"))
    platform.nodes[0].start()
    transcript.write(f"a node that starts without the store: {source_of(platform, '4')}")


if __name__ == "__main__":
    run_case(run_checks, lambda: StoreOfOneNode(NODES))
