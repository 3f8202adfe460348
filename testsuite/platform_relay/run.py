#!/usr/bin/env python3
"""Guards against callers of a node without a path to any upstream that are rejected while
other nodes reach all upstreams. The first node of three goes by a list whose addresses lead
nowhere; the others go by the right one. Each kind of request passes through one of them."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import CutPlatform  # noqa: E402
from platform_standins import EXECUTIONS, KEY  # noqa: E402
from story import run_case  # noqa: E402


def runs_of(attempt):
    return sum(1 for run in EXECUTIONS if run[0] == attempt)


def check_kinds(platform, transcript):
    """Sends requests of each kind to the node without a path."""
    for kind, action, method in (("read", "ok", "GET"), ("order", "ok", "POST"), ("draft", "stream", "GET"),
                                 ("chat", "stream", "GET")):
        statuses = set()
        runs = set()
        for i in range(20):
            attempt = f"{kind}-{i}"
            status, head, body = platform.send_request(attempt, f"/{kind}/{action}", method, b"one ring")
            statuses.add(status if body is not None else "truncated")
            runs.add(runs_of(attempt))
            assert f"Attempt-Id: {attempt}" in head, head
        transcript.write(f"{kind}: statuses {sorted(statuses)}, runs of each {sorted(runs)}")


def check_body_and_key(platform, transcript):
    status, _, _ = platform.send_request("keyed", "/read/ok", key="stranger")
    transcript.write(f"unknown key: {status}")
    platform.send_request("bytes", "/order/ok?a=1", "POST", b"x" * 100_000)
    run = next(run for runner in platform.runners for run in runner.executed_requests if run[0] == "bytes")
    transcript.write(f"the upstream gets the body: {len(run[2]) == 100_000}, "
                     f"the query: {'/order/ok?a=1 ' in run[1]}, the key: {KEY in run[1]}")


def check_caller_leaves(platform, transcript):
    for runner in platform.runners:
        runner.caller_disconnected.clear()
    with platform.connect(platform.caller) as connection:
        connection.sendall(platform.request("left", "/read/wait"))
        platform.wait_until(lambda: runs_of("left") == 1)
    platform.wait_until(lambda: any(runner.caller_disconnected.is_set() for runner in platform.runners), 2)
    transcript.write("a caller that leaves ends the run")


def check_peer_dies(platform, transcript):
    """Kills the nodes that relay while an order runs: it may have run, so it isn't repeated."""
    responses = []

    def send():
        responses.append(platform.send_request("lost", "/order/wait", "POST", b"one ring")[0])

    thread = threading.Thread(target=send)
    thread.start()
    platform.wait_until(lambda: runs_of("lost") == 1)
    for node in platform.nodes[1:]:
        node.kill()
    thread.join()
    transcript.write(f"the relaying node dies: {responses}, runs {runs_of('lost')}")


def check_nobody_has_a_path(platform, transcript):
    began = time.monotonic()
    status, head, _ = platform.send_request("alone", "/order/ok", "POST", b"one ring")
    transcript.write(f"nobody has a path: {status}, at once: {time.monotonic() - began < 2}, "
                     f"says when to return: {'Retry-After' in head}, runs {runs_of('alone')}")


def run_checks(platform, transcript):
    # The node has just started and learns of the others.
    platform.wait_until(lambda: platform.send_request("first", "/read/ok")[0] == 200)
    check_kinds(platform, transcript)
    check_body_and_key(platform, transcript)
    check_caller_leaves(platform, transcript)
    check_peer_dies(platform, transcript)
    check_nobody_has_a_path(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: CutPlatform(nodes=3))
