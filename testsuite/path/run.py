#!/usr/bin/env python3
"""A caller's requests through the whole path, each part a separate process."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import CUSTOMER, MODEL, call, deploy, run_story, stream_text  # noqa: E402


def tell(deployment, story):
    deploy(deployment)
    first, second = deployment.nodes
    whole = deployment.chat(first, CUSTOMER, MODEL, "hello", max_tokens=5)
    streamed = deployment.chat(
        second, CUSTOMER, MODEL, "hello", max_tokens=5, stream=True
    )
    story.tell(f"whole: {whole.status}, streamed: {streamed.status}")
    story.tell(f"the same text: {whole.text() == streamed.text()}")
    usage = whole.json()["usage"]
    story.tell(f"tokens counted: {usage['completion_tokens']}")
    story.tell(f"the stream has its end mark: {b'data: [DONE]' in streamed.body}")
    story.tell(f"no usage event unless asked for: {b'usage' not in streamed.body}")
    asked = deployment.chat(
        first, CUSTOMER, MODEL, "hello", max_tokens=2, stream=True,
        stream_options={"include_usage": True},
    )
    story.tell(f"a usage event when asked for: {b'usage' in asked.body}")

    headers = {"Authorization": f"Bearer {deployment.key_of(CUSTOMER)}"}
    request = streamed.headers["x-request-id"]
    for node in (second, first):
        fetched = call(
            node.caller_port, "GET", f"/v1/requests/{request}?offset=0",
            headers=headers,
        )
        story.tell(
            f"fetched again through {node.name}: "
            f"{stream_text(fetched.body) == streamed.text()}"
        )
    stranger = {"Authorization": f"Bearer {deployment.key_of('gonio-station')}"}
    hidden = call(
        second.caller_port, "GET", f"/v1/requests/{request}?offset=0", headers=stranger
    )
    story.tell(f"another customer fetches it: {hidden.status}")

    served = deployment.service(first, CUSTOMER, "stations/4", {"q": 1})
    story.tell(f"a plain service: {served.status} {served.json()['path']}")
    metrics = call(first.caller_port, "GET", "/metrics").body.decode()
    story.tell(
        "metrics count the urgent answers: "
        f"{'requests_completed_total{rank=' in metrics}"
    )


run_story(tell)
