#!/usr/bin/env python3
"""Starts a local deployment and shows what it does: requests of all ranks, a
non-idempotent request sent twice, a bad one, and an upstream that is reclaimed
in the middle of a stream. Ends with status 0 only if all of it held."""

import sys
import tempfile
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployment import Deployment, new_key, wait_until  # noqa: E402

MODEL = "lifebuoy-inspect"
ENGINE = {"between_tokens_ms": 10}


class Checks:
    def __init__(self):
        self.failed = 0

    def that(self, what, held, detail=""):
        print(f"  [{'ok' if held else 'FAILED'}] {what}{': ' + detail if detail else ''}")
        self.failed += 0 if held else 1


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
    print("Requests of all ranks, whole and streamed:")
    for rank in ("urgent", "standard", "background"):
        texts = []
        for node, stream in ((deployment.nodes[0], False), (deployment.nodes[1], True)):
            answer = deployment.chat(
                node, "batumi-city", MODEL, f"Check the ring at station 4 ({rank}).",
                max_tokens=12, stream=stream, service_tier=rank,
            )
            checks.that(
                f"{rank}, {'streamed' if stream else 'whole'}, by {node.name}",
                answer.status == 200, f"request {answer.headers.get('x-request-id')}",
            )
            texts.append(answer.text())
        checks.that(f"{rank}: both answers are the same", texts[0] == texts[1])


def order_sent_twice(deployment, checks):
    print("A replacement order, sent twice with one Idempotency-Key:")
    key, order = new_key(), {"station": 4, "item": "ring"}
    first = deployment.service(
        deployment.nodes[0], "gonio-station", "orders/replacements", order, key
    )
    second = deployment.service(
        deployment.nodes[1], "gonio-station", "orders/replacements", order, key
    )
    checks.that("the first is answered", first.status == 201, first.body.decode())
    checks.that(
        "the second, through the other entry, gets the first one's answer",
        second.status == 201 and second.body == first.body,
        f"replayed={second.headers.get('idempotent-replayed')}",
    )
    runs = sum(
        deployment.executions(u.process).get(key, 0)
        for u in deployment.upstreams
        if u.pool == "stations"
    )
    checks.that("it ran once", runs == 1, f"{runs} execution(s)")
    other = deployment.service(
        deployment.nodes[1], "gonio-station", "orders/replacements",
        {"station": 5, "item": "ring"}, key,
    )
    checks.that("the key with another body is refused", other.status == 422)


def bad_request(deployment, checks):
    print("A bad request:")
    answer = deployment.chat(
        deployment.nodes[0], "batumi-city", MODEL, "x", max_tokens="many"
    )
    checks.that("it gets a clear answer", answer.status == 400, answer.json()["detail"])


def reclaim_during_stream(deployment, checks):
    print("An upstream is reclaimed in the middle of a stream:")
    prompt = "Describe every station between Batumi and Kobuleti."
    undisturbed = deployment.chat(
        deployment.nodes[1], "kobuleti-district", MODEL, prompt,
        max_tokens=150, stream=True,
    )
    reclaimed = threading.Event()
    gone = []

    def reclaim_now(content):
        if content.count(b"data: ") < 30 or reclaimed.is_set():
            return
        reclaimed.set()
        busy = {
            u["name"]
            for u in deployment.status(deployment.nodes[0])["upstreams"]
            if u["own_requests"] > 0 and u["pool"] == "inspectors"
        }
        gone.extend(u for u in deployment.upstreams if u.name in busy)
        for upstream in gone:
            deployment.reclaim(upstream, 1500)

        def take_away():
            for upstream in gone:
                upstream.process.kill()

        threading.Timer(1.5, take_away).start()

    disturbed = deployment.chat(
        deployment.nodes[0], "kobuleti-district", MODEL, prompt,
        max_tokens=150, stream=True, on_chunk=reclaim_now,
    )
    checks.that("an upstream was reclaimed", bool(gone), ", ".join(u.name for u in gone))
    checks.that(
        "the whole answer arrived, equal to the undisturbed one",
        disturbed.text() == undisturbed.text(),
        f"{len(disturbed.text().split())} tokens",
    )
    moved = wait_until(
        lambda: [
            line
            for line in deployment.pollenctl(
                "timeline", "--request", disturbed.headers["x-request-id"]
            ).stdout.split("\n")
            if " moved " in line
        ],
        "the move on the time line",
    )
    checks.that("the time line shows the move", bool(moved), moved[0].split(" ", 1)[1])


def reports(deployment, checks):
    print("Cost by customer:")
    cost = deployment.pollenctl("cost")
    print("  " + cost.stdout.strip().replace("\n", "\n  "))
    checks.that("the cost report is there", cost.returncode == 0, cost.stderr)
    path = Path(tempfile.mkdtemp(prefix="pollenledge-timeline-")) / "timeline.json"
    line = deployment.pollenctl("timeline", "--format", "json", "--output", path)
    checks.that("the time line is written", line.returncode == 0, line.stderr)
    print(f"  time line (opens in a Chrome trace viewer): {path}")
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
    left = [p.name for p in processes if p.alive()]
    checks.that("no process is left", not left, ", ".join(left))
    print("demo: everything held" if checks.failed == 0 else f"demo: {checks.failed} failed")
    return 0 if checks.failed == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
