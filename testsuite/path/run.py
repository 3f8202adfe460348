#!/usr/bin/env python3
"""Requests of a caller through all components, each a separate process."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import CUSTOMER, MODEL, call, deploy, run_case, stream_text  # noqa: E402


def run_checks(deployment, transcript):
    deploy(deployment)
    first, second = deployment.nodes
    unstreamed = deployment.chat(first, CUSTOMER, MODEL, "hello", max_tokens=5)
    streamed = deployment.chat(
        second, CUSTOMER, MODEL, "hello", max_tokens=5, stream=True
    )
    transcript.write(f"not streamed: {unstreamed.status}, streamed: {streamed.status}")
    transcript.write(f"both have the same text: {unstreamed.text() == streamed.text()}")
    usage = unstreamed.json()["usage"]
    transcript.write(f"completion tokens in the usage: {usage['completion_tokens']}")
    transcript.write(f"the stream ends with [DONE]: {b'data: [DONE]' in streamed.body}")
    transcript.write(f"no usage event by default: {b'usage' not in streamed.body}")
    with_usage = deployment.chat(
        first, CUSTOMER, MODEL, "hello", max_tokens=2, stream=True,
        stream_options={"include_usage": True},
    )
    transcript.write(f"a usage event when requested: {b'usage' in with_usage.body}")

    headers = {"Authorization": f"Bearer {deployment.api_key(CUSTOMER)}"}
    request = streamed.headers["x-request-id"]
    for node in (second, first):
        fetched = call(
            node.caller_port, "GET", f"/v1/requests/{request}?offset=0",
            headers=headers,
        )
        transcript.write(
            f"the same text fetched through {node.name}: "
            f"{stream_text(fetched.body) == streamed.text()}"
        )
    other_customer = {"Authorization": f"Bearer {deployment.api_key('gonio-station')}"}
    denied = call(
        second.caller_port, "GET", f"/v1/requests/{request}?offset=0", headers=other_customer
    )
    transcript.write(f"fetched by another customer: {denied.status}")

    served = deployment.service(first, CUSTOMER, "stations/4", {"q": 1})
    transcript.write(f"a plain service: {served.status} {served.json()['path']}")
    metrics = call(first.caller_port, "GET", "/metrics").body.decode()
    transcript.write(
        "metrics count completed requests by rank: "
        f"{'requests_completed_total{rank=' in metrics}"
    )


run_case(run_checks)
