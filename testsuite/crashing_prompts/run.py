#!/usr/bin/env python3
"""Requests that share a segment of their prompts, and nothing else, crash every runner
that begins to respond. They are sent through four nodes, next to harmless requests with
the same other segments. All nodes are killed half-way. At the end the runners are repaired
and an operator lifts the rejection."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import (  # noqa: E402
    CRASHES, CRASHING_SEGMENTS, BackgroundLoad, Platform, prompt_header)
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 12
SEND_COUNT = 32
DOCUMENT_COUNT = 8
# Bounds of the platform: time after the fifth crash by which every node must know the
# segment, and the number of requests with it that may reach runners later.
ALLOWED_CRASHES = 5
PROPAGATION_SECONDS = 3.0
MAX_LATE_CRASHES = 3


def prompt(number, segment=""):
    """The prompt of a request: a preamble, a document, `segment` and a part of its own."""
    return prompt_header(f"aa:100,d{number % DOCUMENT_COUNT}:200,{segment}{number:x}9:10")


def send_crashing(platform, label, count):
    """Sends requests with the segment through the nodes in turn; returns the statuses."""
    statuses = []
    for i in range(count):
        try:
            status, _, body = platform.send_request(
                f"{label}-{i}", "/draft/stream", "POST", f"{label}{i}".encode(),
                extra=prompt(i, "dead:50,"), node=i % NODE_COUNT)
            statuses.append(status if body is not None else 502)
        except OSError:
            statuses.append(0)
        time.sleep(0.25)
    return statuses


def run_checks(platform, transcript):
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"fine-{node}-{number}", "/draft/stream", extra=prompt(number), node=node))
    time.sleep(1)
    CRASHING_SEGMENTS.add("dead")
    send_crashing(platform, "first", SEND_COUNT // 2)
    for node in platform.nodes:
        node.kill()
    for node in platform.nodes:
        node.start()
    platform.wait_until(lambda: all(node.readiness_status() == 200 for node in platform.nodes))
    load.take()
    statuses = send_crashing(platform, "again", SEND_COUNT // 2)
    harmless = load.take()
    times = [crash[2] for crash in CRASHES]
    late = 0 if len(times) < ALLOWED_CRASHES else sum(
        1 for at in times if at > times[ALLOWED_CRASHES - 1] + PROPAGATION_SECONDS)
    print(f"# {len(times)} crashes, {late} late; other requests: {dict(harmless)}", file=sys.stderr)
    transcript.write(f"late crashes within the limit: {late <= MAX_LATE_CRASHES}")
    transcript.write(f"after the restart of all nodes, rejected as not run: {set(statuses) == {503}}")
    served = harmless[200] / max(1, sum(harmless.values()))
    transcript.write(f"requests with the other segments are served: {served >= 0.9}")
    CRASHING_SEGMENTS.clear()
    status, _, _ = platform.send_request("repaired", "/draft/stream", extra=prompt(1, "dead:50,"))
    transcript.write(f"runners repaired: {status}")
    found = [json.loads(line) for line in platform.nodes[0].read_log().split("\n")
             if '"event":"suspect_found"' in line]
    transcript.write(f"the log names the segment: {found[-1]['segment']}")
    status, _, _ = platform.send_raw(
        platform.nodes[0].admin,
        f"DELETE /suspects/{found[-1]['suspect']} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    transcript.write(f"an operator lifts the rejection at one node: {status}")
    platform.wait_until(lambda: platform.send_request(
        "lifted", "/draft/stream", extra=prompt(1, "dead:50,"), node=NODE_COUNT - 1)[0] == 200)
    transcript.write("served by another node")
    load.stop()


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(NODE_COUNT, RUNNER_COUNT))
