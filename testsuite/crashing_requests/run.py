#!/usr/bin/env python3
"""A request that crashes every runner that starts it is sent repeatedly through four
nodes, next to other requests. All nodes are killed half-way, so that the suspects
must survive a restart. Guards also against such a request that comes with another query
each time (review/9)."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import CRASHES, BackgroundLoad, Platform  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 12
SEND_COUNT = 24  # of the crash-causing request, for each route kind
# Time after the third crash by which every node must know the suspect. At most
# MAX_LATE_CRASHES crashes may happen later.
PROPAGATION_SECONDS = 3.0
MAX_LATE_CRASHES = 3
# (route, method, body): one route of each kind.
ROUTE_KINDS = (("draft", "GET", b""), ("chat", "GET", b""), ("read", "POST", b"look up"),
               ("order", "POST", b"one ring"))
# The same, for requests with another query each time.
QUERY_KINDS = (("order", "POST", b"two rings"),)


def start_background_load(platform, kind):
    action = "stream" if kind in ("draft", "chat") else "ok"

    def send_one(node, number):
        attempt = f"{kind}-{node}-{number}"
        return platform.send_request(attempt, f"/{kind}/{action}", "POST", attempt.encode(), node=node)

    return BackgroundLoad(platform, send_one)


def rejected_as_suspects(platform):
    """Number of harmless requests that were rejected as suspects."""
    lines = [json.loads(line) for node in platform.nodes
             for line in node.read_log().split("\n") if '"event":"refused"' in line]
    return sum(1 for line in lines if line["reason"] in ("ends-upstreams", "tried-alone")
               and not line["request"].startswith(("first", "again")))


def late_crashes(crashes):
    """Number of crashes after every node should have known the suspect."""
    if len(crashes) < 3:
        return 0
    return sum(1 for crash in crashes if crash[2] > crashes[2][2] + PROPAGATION_SECONDS)


def send_repeatedly(platform, kind, method, body, count, label, has_query):
    """Sends the request through the nodes in turn and returns the statuses."""
    statuses = []
    for i in range(count):
        query = f"?label={label}&number={i}" if has_query else ""
        try:
            status, _, response = platform.send_request(
                f"{label}-{kind}-{i}", f"/{kind}/crash{query}", method, body, node=i % NODE_COUNT)
            statuses.append(status if response is not None else 502)
        except OSError:
            statuses.append(0)
        time.sleep(0.25)
    return statuses


def check_route_kind(platform, transcript, kind, method, body, has_query=False):
    previous_crashes = len(CRASHES)
    background_load = start_background_load(platform, kind)
    send_repeatedly(platform, kind, method, body, SEND_COUNT // 2, "first", has_query)
    for node in platform.nodes:
        node.kill()
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    statuses = send_repeatedly(platform, kind, method, body, SEND_COUNT // 2, "again", has_query)
    background_load.stop()
    responses = background_load.take()
    crashes = CRASHES[previous_crashes:]
    print(f"# {kind}: {len(crashes)} runner crashes, {late_crashes(crashes)} of them late; "
          f"responses {sorted(set(statuses))}; responses to other requests {dict(responses)}", file=sys.stderr)
    name = f"{kind}, another query each time" if has_query else kind
    transcript.write(f"{name}: late crashes within the limit: {late_crashes(crashes) <= MAX_LATE_CRASHES}, "
                     f"rejected as not run: {set(statuses) == {503}}")


def run_checks(platform, transcript):
    for kind, method, body in ROUTE_KINDS:
        check_route_kind(platform, transcript, kind, method, body)
    for kind, method, body in QUERY_KINDS:
        check_route_kind(platform, transcript, kind, method, body, has_query=True)
    transcript.write(f"harmless requests rejected as suspects: {rejected_as_suspects(platform)}")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, RUNNER_COUNT))
