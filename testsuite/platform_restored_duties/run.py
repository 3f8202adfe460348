#!/usr/bin/env python3
"""The store comes back from a copy that is older than the duty lease and all usage counts,
and the node that holds the duties is killed. The successor must not act under a lower fencing
token, nor report a window again with other counts."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import BackgroundLoad, Node, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 3


def old_copy(store):
    """A copy of what the operator and the runners wrote, from before the nodes wrote."""
    items, _ = store.copy()
    items = {key: item for key, item in items.items() if key.startswith(("op/", "servers/"))}
    return items, max(revision for _, revision in items.values())


def reports(platform):
    return [body for path, _, body in list(platform.cloud.calls) if path == "/usage"]


def conflicting_windows(platform):
    """The windows that were reported with different counts."""
    first = {}
    return {body["window_id"] for body in reports(platform)
            if first.setdefault(body["window_id"], body["counts"]) != body["counts"]}


def windows(platform):
    return {body["window_id"] for body in reports(platform)}


def run_checks(platform, transcript):
    cloud = platform.cloud
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"load-{node}-{number}", "/read/ok", node=node))
    platform.wait_until(lambda: len(windows(platform)) >= 3)
    holder = cloud.owners[-1]
    before = len(cloud.calls)
    newest = max(windows(platform))
    platform.store.restore(old_copy(platform.store))
    killed = next(node for node in platform.nodes if node.name == holder)
    killed.kill()
    # The restarted node knows nothing from before.
    killed.start()
    platform.wait_until(lambda: len([w for w in windows(platform) if w > newest + 3]) >= 3, 40)
    load.stop()
    fences = [fence for _, fence, _ in cloud.calls]
    print(f"# {before} calls before, {len(fences)} in all; conflicts: {conflicting_windows(platform)}; "
          f"holders {[o for i, o in enumerate(cloud.owners) if i == 0 or cloud.owners[i - 1] != o]}",
          file=sys.stderr)
    transcript.write("later windows are reported")
    transcript.write(f"fencing tokens never fall: {fences == sorted(fences)}")
    transcript.write(f"no window is reported with other counts: {not conflicting_windows(platform)}")


if __name__ == "__main__":
    # A new holder looks back over several windows, beyond the time that it waits first.
    Node.usage_window_ms = 2500
    run_case(run_checks, lambda: Platform(NODE_COUNT))
