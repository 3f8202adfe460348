#!/usr/bin/env python3
"""The store comes back from an older copy: revisions are given out again, for other content.
Two nodes must put a later configuration into force, and stop sending to a runner that
leaves, although they know these revisions from before the restore. Nodes that start right after
a restore must not accept a key that was revoked since the copy was made."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import KEY, BackgroundLoad, Platform, config, route  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 2
# Bounds of the platform: a configuration must be in force, and a leaving runner must not get
# requests, within this time.
APPLY_SECONDS = 4.0
DRAIN_SECONDS = 2.5
NEW_KEY = "new-key"


def config_with_route(version, name):
    routes = json.loads(config(version))["routes"] + [route(name, "idempotent")]
    return config(version, routes=routes)


def is_served(platform, path):
    """Whether all nodes serve the path before the bound."""
    try:
        platform.wait_until(lambda: all(
            platform.send_request(f"a{time.monotonic()}", path, node=node)[0] == 200
            for node in range(NODE_COUNT)), APPLY_SECONDS)
        return True
    except TimeoutError:
        return False


def tables_activations(node):
    return node.read_log().count('"event":"tables_in_force"')


def check_revoked_key(platform, transcript):
    """All nodes are killed before the restore, so that none of them remembers the revocation."""
    def statuses(key):
        return [platform.send_request(f"k{time.monotonic()}", "/read/ok", key=key, node=node)[0]
                for node in range(NODE_COUNT)]

    store = platform.store
    copy = store.copy()
    revoking = config(4, tenants=[{"name": "ada", "api_keys": [NEW_KEY]}])
    store.put("op/config", revoking)
    platform.wait_until(lambda: statuses(KEY) == [401] * NODE_COUNT)
    activations = [tables_activations(node) for node in platform.nodes]
    for node in platform.nodes:
        node.kill()
    store.restore(copy)
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(
        tables_activations(node) > before for node, before in zip(platform.nodes, activations)))
    transcript.write(f"a revoked key is accepted after a restart: {200 in statuses(KEY)}")
    store.put("op/config", revoking)
    platform.wait_until(lambda: statuses(NEW_KEY) == [200] * NODE_COUNT)
    transcript.write(f"once the operator has written again: {statuses(KEY)}")


def run_checks(platform, transcript):
    store = platform.store
    runner = platform.runners[0]
    copy = store.copy()
    store.put("op/config", config_with_route(2, "second"))
    transcript.write(f"second version in force: {is_served(platform, '/second/ok')}")
    # The third version gets the revision that the second one had.
    revision = store.items["op/config"][1]
    store.restore(copy, [("op/config", config_with_route(3, "third"), revision)])
    transcript.write(f"third version in force, with the same revision: {is_served(platform, '/third/ok')}")
    for _ in range(3):
        copy = store.copy()
        runner.register()
    entry = json.loads(store.items["servers/i-0"][0])
    revision = store.items["servers/i-0"][1]
    platform.wait_until(lambda: platform.send_request("b", "/read/ok")[0] == 200)
    time.sleep(APPLY_SECONDS / 2)  # Both nodes have read the newest entry.
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"load-{node}-{number}", "/read/ok", node=node))
    store.restore(copy, [("servers/i-0", json.dumps({**entry, "state": "draining"}), revision)])
    time.sleep(DRAIN_SECONDS)
    runner.arrivals.clear()
    time.sleep(1)
    load.stop()
    print(f"# late requests: {len(runner.arrivals)}", file=sys.stderr)
    transcript.write(f"no request to a runner that leaves, with the same revision: {not runner.arrivals}")
    restores = [json.loads(line) for line in platform.nodes[0].read_log().split("\n")
                if '"event":"store_restored"' in line]
    transcript.write(f"the log names the eras: {[(line['earlier_era'], line['era']) for line in restores]}")
    check_revoked_key(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT))
