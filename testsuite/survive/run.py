#!/usr/bin/env python3
"""Accepted requests survive the reclaim of their upstream and of the entry itself: the
caller receives the complete response."""

import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import (  # noqa: E402
    CUSTOMER, MODEL, call, deploy, run_case, stream_text, wait_until,
)

TOKENS = 400


def stream(deployment, node, prompt, on_chunk=None):
    return deployment.chat(
        node, CUSTOMER, MODEL, prompt, max_tokens=TOKENS, stream=True, on_chunk=on_chunk
    )


def run_once_after(action, after_events):
    """Returns a chunk callback that runs `action` one time, after so many events."""
    done = threading.Event()

    def on_chunk(content):
        if content.count(b"data: ") >= after_events and not done.is_set():
            done.set()
            action()

    return on_chunk


def upstreams_in_use(deployment, node):
    """The upstreams that run requests of this node."""
    names = {
        u["name"] for u in deployment.status(node)["upstreams"]
        if u["own_requests"] > 0
    }
    return [u for u in deployment.upstreams if u.name in names]


def reclaim_and_kill(deployment, upstreams, remaining_ms):
    """Announces a reclaim of the upstreams and kills them when the time is up."""
    for upstream in upstreams:
        deployment.reclaim(upstream, remaining_ms)
    for upstream in upstreams:
        threading.Timer(remaining_ms / 1000, upstream.process.kill).start()


def run_checks(deployment, transcript):
    deploy(deployment, nodes=3, engines=6, services=0)
    first, second, third = deployment.nodes
    prompt = "Name every lifebuoy."
    expected_text = stream(deployment, second, prompt).text()

    response = stream(
        deployment, first, prompt,
        run_once_after(lambda: reclaim_and_kill(deployment, upstreams_in_use(deployment, first), 1000), 40),
    )
    transcript.write(
        f"one upstream is reclaimed with notice: equal {response.text() == expected_text}, "
        f"complete {b'[DONE]' in response.body}"
    )

    alive = [u for u in deployment.upstreams if u.process.alive()]
    response = stream(
        deployment, first, prompt,
        run_once_after(
            lambda: reclaim_and_kill(
                deployment,
                [u for u in alive if u.domain == upstreams_in_use(deployment, first)[0].domain],
                1000,
            ),
            40,
        ),
    )
    transcript.write(
        f"a whole failure domain is reclaimed: equal {response.text() == expected_text}"
    )

    def break_connection():
        for upstream in upstreams_in_use(deployment, second):
            deployment.set_behaviour(upstream.process, break_after_tokens=60)

    response = stream(deployment, second, prompt, run_once_after(break_connection, 40))
    transcript.write(
        f"a connection is lost without notice: equal {response.text() == expected_text}"
    )

    request = []

    def drain_entry():
        run = deployment.pollenctl("drain", "--remaining-ms", "2200", node=first)
        assert run.returncode == 0, run.stderr

    response = stream(deployment, first, prompt, run_once_after(drain_entry, 40))
    request.append(response.headers["x-request-id"])
    truncated = b"[DONE]" not in response.body
    transcript.write(f"the entry drains within seconds: the stream is truncated {truncated}")
    wait_until(lambda: not first.entry.alive(), "the entry to stop")
    headers = {"Authorization": f"Bearer {deployment.api_key(CUSTOMER)}"}
    for node in (second, third):
        offset = response.body.rfind(b"\n\n: handed") + 2
        remainder = call(
            node.caller_port, "GET", f"/v1/requests/{request[0]}?offset={offset}",
            headers=headers,
        )
        combined = response.body[:offset] + remainder.body
        transcript.write(
            f"the remainder is fetched through another entry: equal {stream_text(combined) == expected_text}, "
            f"complete {b'[DONE]' in remainder.body}"
        )


run_case(run_checks)
