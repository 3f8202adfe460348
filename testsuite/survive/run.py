#!/usr/bin/env python3
"""Accepted requests survive reclaims of upstreams and of the entry itself, and
the caller receives the whole answer."""

import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import (  # noqa: E402
    CUSTOMER, MODEL, call, deploy, run_story, stream_text, wait_until,
)

TOKENS = 400


def stream(deployment, node, prompt, on_chunk=None):
    return deployment.chat(
        node, CUSTOMER, MODEL, prompt, max_tokens=TOKENS, stream=True, on_chunk=on_chunk
    )


def once(action, after_events):
    """A chunk callback that runs `action` once so many events are there."""
    done = threading.Event()

    def on_chunk(content):
        if content.count(b"data: ") >= after_events and not done.is_set():
            done.set()
            action()

    return on_chunk


def busy(deployment, node):
    names = {
        u["name"] for u in deployment.status(node)["upstreams"]
        if u["own_requests"] > 0
    }
    return [u for u in deployment.upstreams if u.name in names]


def take_away(deployment, upstreams, remaining_ms):
    for upstream in upstreams:
        deployment.reclaim(upstream, remaining_ms)
    for upstream in upstreams:
        threading.Timer(remaining_ms / 1000, upstream.process.kill).start()


def tell(deployment, story):
    deploy(deployment, nodes=3, engines=6, services=0)
    first, second, third = deployment.nodes
    prompt = "Name every lifebuoy."
    whole = stream(deployment, second, prompt).text()

    answer = stream(
        deployment, first, prompt,
        once(lambda: take_away(deployment, busy(deployment, first), 1000), 40),
    )
    story.tell(
        f"an upstream is reclaimed with notice: equal {answer.text() == whole}, "
        f"ended {b'[DONE]' in answer.body}"
    )

    alive = [u for u in deployment.upstreams if u.process.alive()]
    answer = stream(
        deployment, first, prompt,
        once(
            lambda: take_away(
                deployment,
                [u for u in alive if u.domain == busy(deployment, first)[0].domain],
                1000,
            ),
            40,
        ),
    )
    story.tell(f"a whole failure domain: equal {answer.text() == whole}")

    def break_connection():
        for upstream in busy(deployment, second):
            deployment.behave(upstream.process, break_after_tokens=60)

    answer = stream(deployment, second, prompt, once(break_connection, 40))
    story.tell(f"a connection breaks without notice: equal {answer.text() == whole}")

    request = []

    def drain_entry():
        run = deployment.pollenctl("drain", "--remaining-ms", "2200", node=first)
        assert run.returncode == 0, run.stderr

    answer = stream(deployment, first, prompt, once(drain_entry, 40))
    request.append(answer.headers["x-request-id"])
    cut = b"[DONE]" not in answer.body
    story.tell(f"the entry itself leaves within seconds: the stream is cut {cut}")
    wait_until(lambda: not first.entry.alive(), "the entry to stop")
    headers = {"Authorization": f"Bearer {deployment.key_of(CUSTOMER)}"}
    for node in (second, third):
        offset = answer.body.rfind(b"\n\n: handed") + 2
        rest = call(
            node.caller_port, "GET", f"/v1/requests/{request[0]}?offset={offset}",
            headers=headers,
        )
        together = answer.body[:offset] + rest.body
        story.tell(
            f"the rest through another entry: equal {stream_text(together) == whole}, "
            f"ended {b'[DONE]' in rest.body}"
        )


run_story(tell)
