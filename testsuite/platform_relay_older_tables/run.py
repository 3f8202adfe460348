#!/usr/bin/env python3
"""Guards against requests that are refused, or handled in another way, by the older tables of
the node that they pass through (incident CONFIG). The first node of three has no path to any
upstream and has tables that the others don't have yet."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import CutPlatform  # noqa: E402
from platform_standins import EXECUTIONS, KEY, config, route  # noqa: E402
from story import run_case  # noqa: E402

NEW_KEY = "second-key-of-ada"
NEWER = config(2, routes=[route("read", "idempotent"), route("added", "idempotent")],
               tenants=[{"name": "ada", "api_keys": [KEY, NEW_KEY]}])
REQUESTS = 10


def has_newer_tables(node):
    return "2" in node.activated_tables()


def statuses_of(platform, name, path, key):
    """Sends some requests to the first node. Returns the statuses, and whether each response
    that isn't a success says when to come back."""
    statuses, says_when = set(), True
    for i in range(REQUESTS):
        status, head, _ = platform.send_request(f"{name}-{i}", path, key=key)
        statuses.add(status)
        says_when &= status == 200 or "Retry-After" in head
    return f"{sorted(statuses)}, says when to return: {says_when}"


def run_checks(platform, transcript):
    # The node has just started and learns of the others.
    platform.wait_until(lambda: platform.send_request("first", "/read/ok")[0] == 200)
    platform.cut_store.put("op/config", NEWER)
    platform.wait_until(lambda: has_newer_tables(platform.nodes[0]))
    transcript.write(f"a route that only the first node knows: {statuses_of(platform, 'route', '/added/ok', KEY)}")
    transcript.write(f"a key that only the first node knows: {statuses_of(platform, 'key', '/read/ok', NEW_KEY)}")
    runs = sum(1 for run in EXECUTIONS if run[0] != "first")
    transcript.write(f"runs: {runs}")
    platform.store.put("op/config", NEWER)
    platform.wait_until(lambda: all(has_newer_tables(node) for node in platform.nodes))
    status, _, _ = platform.send_request("stated", "/added/ok", extra="Min-Tables-Version: 99\r\n", node=1)
    transcript.write(f"a caller can't ask for a version: {status}")
    transcript.write(f"all know the route: {statuses_of(platform, 'route2', '/added/ok', KEY)}")
    transcript.write(f"all know the key: {statuses_of(platform, 'key2', '/read/ok', NEW_KEY)}")


if __name__ == "__main__":
    run_case(run_checks, lambda: CutPlatform(nodes=3))
