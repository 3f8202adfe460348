#!/usr/bin/env python3
"""A graceful shutdown cuts off no request; a leaving upstream gets no work."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import CUSTOMER, MODEL, call, deploy, run_story, wait_until  # noqa: E402


def tell(deployment, story):
    deploy(deployment, nodes=2, engines=3, services=0)
    first, second = deployment.nodes
    answers = []

    def long_stream(number):
        answers.append(
            deployment.chat(
                first, CUSTOMER, MODEL, f"long {number}", max_tokens=600, stream=True
            )
        )

    threads = [threading.Thread(target=long_stream, args=(i,)) for i in range(8)]
    for thread in threads:
        thread.start()
    wait_until(
        lambda: deployment.status(first).get("active_requests") == 8, "the streams"
    )
    first.entry.popen.terminate()
    wait_until(
        lambda: call(first.caller_port, "GET", "/readyz").status == 503,
        "readiness to fail",
    )
    story.tell("SIGTERM: not ready for new work while streams go on")
    for thread in threads:
        thread.join()
    ended = sum(a.body.endswith(b"data: [DONE]\n\n") for a in answers)
    tokens = sum(a.body.count(b"data: {") for a in answers)
    story.tell(f"streams that ended whole: {ended} of 8, {tokens} tokens")
    wait_until(lambda: not first.entry.alive(), "the entry to stop")
    story.tell(f"the entry ended by itself: {first.entry.popen.returncode}")

    leaving = deployment.upstreams[0]
    deployment.reclaim(leaving, 60_000)
    time.sleep(3)
    before = sum(deployment.executions(leaving.process).values())
    for i in range(60):
        deployment.chat(second, CUSTOMER, MODEL, f"short {i}", max_tokens=2)
    after = sum(deployment.executions(leaving.process).values())
    story.tell(f"requests to a leaving upstream 3 s after its notice: {after - before}")
    listed = [u["state"] for u in deployment.status(second)["upstreams"]
              if u["name"] == leaving.name]
    story.tell(f"the list still calls it live, the entry says: {listed[0]}")


run_story(tell)
