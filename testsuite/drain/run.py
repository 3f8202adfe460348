#!/usr/bin/env python3
"""A graceful shutdown truncates no stream, and a leaving upstream gets no requests."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import CUSTOMER, MODEL, call, deploy, run_case, wait_until  # noqa: E402


def run_checks(deployment, transcript):
    deploy(deployment, nodes=2, engines=3, services=0)
    first, second = deployment.nodes
    responses = []

    def long_stream(number):
        responses.append(
            deployment.chat(
                first, CUSTOMER, MODEL, f"long {number}", max_tokens=600, stream=True
            )
        )

    threads = [threading.Thread(target=long_stream, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    wait_until(
        lambda: deployment.status(first).get("active_requests") == 8, "the streams to start"
    )
    first.entry.popen.terminate()
    wait_until(
        lambda: call(first.caller_port, "GET", "/readyz").status == 503,
        "readiness to fail",
    )
    transcript.write("SIGTERM: not ready for new requests while streams continue")
    for thread in threads:
        thread.join()
    complete = sum(r.body.endswith(b"data: [DONE]\n\n") for r in responses)
    tokens = sum(r.body.count(b"data: {") for r in responses)
    transcript.write(f"complete streams: {complete} of 8, {tokens} tokens")
    wait_until(lambda: not first.entry.alive(), "the entry to stop")
    transcript.write(f"exit status of the entry: {first.entry.popen.returncode}")

    leaving = deployment.upstreams[0]
    deployment.reclaim(leaving, 60_000)
    time.sleep(3)
    executed_before = sum(deployment.executions(leaving.process).values())
    for i in range(60):
        deployment.chat(second, CUSTOMER, MODEL, f"short {i}", max_tokens=2)
    executed_after = sum(deployment.executions(leaving.process).values())
    transcript.write(
        f"requests to a leaving upstream 3 s after its notice: {executed_after - executed_before}"
    )
    states = [u["state"] for u in deployment.status(second)["upstreams"]
              if u["name"] == leaving.name]
    transcript.write(
        f"the instance list still has it as live, its state at the entry: {states[0]}"
    )


run_case(run_checks)
