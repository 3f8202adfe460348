#!/usr/bin/env python3
"""Starts a local deployment and demonstrates it: requests of all ranks, a
non-idempotent request sent twice, an invalid request, and an upstream that is reclaimed
during a stream. Exits with status 0 only if every check passed."""

import sys
import tempfile
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployment import Deployment, new_idempotency_key, wait_until  # noqa: E402

MODEL = "lifebuoy-inspect"
ENGINE = {"between_tokens_ms": 10}


class Checks:
    """Prints the result of each check and counts the failures."""

    def __init__(self):
        self.failed = 0

    def expect(self, description, passed, detail=""):
        print(f"  [{'ok' if passed else 'FAILED'}] {description}{': ' + detail if detail else ''}")
        self.failed += 0 if passed else 1


def start(deployment):
    for domain, market in (
        ("batumi-a", "reclaimable"),
        ("batumi-b", "reclaimable"),
        ("kobuleti", "reclaimable"),
    ):
        deployment.add_upstream("inspectors", domain, "l4", market, ENGINE)
    for domain in ("batumi-a", "kobuleti"):
        deployment.add_upstream("stations", domain, "small", "reclaimable")
    deployment.publish_list()
    deployment.add_node("batumi-a-1", "batumi-a")
    deployment.add_node("kobuleti-1", "kobuleti")
    print(deployment.apply_example().strip())
    deployment.wait_ready()


def requests_of_all_ranks(deployment, checks):
    print("Requests of all ranks, with and without streaming:")
    for rank in ("urgent", "standard", "background"):
        texts = []
        for node, stream in ((deployment.nodes[0], False), (deployment.nodes[1], True)):
            response = deployment.chat(
                node, "batumi-city", MODEL, f"Check the ring at station 4 ({rank}).",
                max_tokens=12, stream=stream, service_tier=rank,
            )
            checks.expect(
                f"{rank}, {'streamed' if stream else 'not streamed'}, through {node.name}",
                response.status == 200, f"request {response.headers.get('x-request-id')}",
            )
            texts.append(response.text())
        checks.expect(f"{rank}: both responses have the same text", texts[0] == texts[1])


def order_sent_twice(deployment, checks):
    print("A replacement order, sent twice with one Idempotency-Key:")
    key, order = new_idempotency_key(), {"station": 4, "item": "ring"}
    first = deployment.service(
        deployment.nodes[0], "gonio-station", "orders/replacements", order, key
    )
    second = deployment.service(
        deployment.nodes[1], "gonio-station", "orders/replacements", order, key
    )
    checks.expect("the first request succeeds", first.status == 201, first.body.decode())
    checks.expect(
        "the second, through the other entry, gets the response of the first",
        second.status == 201 and second.body == first.body,
        f"replayed={second.headers.get('idempotent-replayed')}",
    )
    runs = sum(
        deployment.executions(u.process).get(key, 0)
        for u in deployment.upstreams
        if u.pool == "stations"
    )
    checks.expect("the order was executed once", runs == 1, f"{runs} execution(s)")
    other = deployment.service(
        deployment.nodes[1], "gonio-station", "orders/replacements",
        {"station": 5, "item": "ring"}, key,
    )
    checks.expect("the same key with another body is rejected", other.status == 422)


def bad_request(deployment, checks):
    print("An invalid request:")
    response = deployment.chat(
        deployment.nodes[0], "batumi-city", MODEL, "x", max_tokens="many"
    )
    checks.expect(
        "the response is 400 with a reason", response.status == 400, response.json()["detail"]
    )


def reclaim_during_stream(deployment, checks):
    print("An upstream is reclaimed during a stream:")
    prompt = "Describe every station between Batumi and Kobuleti."
    undisturbed = deployment.chat(
        deployment.nodes[1], "kobuleti-district", MODEL, prompt,
        max_tokens=150, stream=True,
    )
    reclaimed = threading.Event()
    reclaimed_upstreams = []

    def reclaim_now(content):
        if content.count(b"data: ") < 30 or reclaimed.is_set():
            return
        reclaimed.set()
        busy_names = {
            u["name"]
            for u in deployment.status(deployment.nodes[0])["upstreams"]
            if u["own_requests"] > 0 and u["pool"] == "inspectors"
        }
        reclaimed_upstreams.extend(u for u in deployment.upstreams if u.name in busy_names)
        for upstream in reclaimed_upstreams:
            deployment.reclaim(upstream, 1500)

        def kill_upstreams():
            for upstream in reclaimed_upstreams:
                upstream.process.kill()

        threading.Timer(1.5, kill_upstreams).start()

    disturbed = deployment.chat(
        deployment.nodes[0], "kobuleti-district", MODEL, prompt,
        max_tokens=150, stream=True, on_chunk=reclaim_now,
    )
    checks.expect(
        "an upstream was reclaimed", bool(reclaimed_upstreams), ", ".join(u.name for u in reclaimed_upstreams)
    )
    checks.expect(
        "the response is complete and equals the undisturbed one",
        disturbed.text() == undisturbed.text(),
        f"{len(disturbed.text().split())} tokens",
    )
    failovers = wait_until(
        lambda: [
            line
            for line in deployment.pollenctl(
                "timeline", "--request", disturbed.headers["x-request-id"]
            ).stdout.split("\n")
            if " moved " in line
        ],
        "the failover on the timeline",
    )
    checks.expect(
        "the timeline shows the failover", bool(failovers), failovers[0].split(" ", 1)[1]
    )


def reports(deployment, checks):
    print("Cost by customer:")
    cost = deployment.pollenctl("cost")
    print("  " + cost.stdout.strip().replace("\n", "\n  "))
    checks.expect("the cost report is available", cost.returncode == 0, cost.stderr)
    path = Path(tempfile.mkdtemp(prefix="pollenledge-timeline-")) / "timeline.json"
    line = deployment.pollenctl("timeline", "--format", "json", "--output", path)
    checks.expect("the timeline is written", line.returncode == 0, line.stderr)
    print(f"  timeline, for a Chrome trace viewer: {path}")
    print(deployment.pollenctl("status").stdout)


def main():
    checks = Checks()
    with Deployment() as deployment:
        start(deployment)
        requests_of_all_ranks(deployment, checks)
        order_sent_twice(deployment, checks)
        bad_request(deployment, checks)
        reclaim_during_stream(deployment, checks)
        reports(deployment, checks)
        processes = list(deployment.processes)
    running = [p.name for p in processes if p.alive()]
    checks.expect("all processes have ended", not running, ", ".join(running))
    print("demo: everything held" if checks.failed == 0 else f"demo: {checks.failed} failed")
    return 0 if checks.failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
