#!/usr/bin/env python3
"""Edits of the tables: in force everywhere within 8 s, never back, whatever the
key-value service does; operators are told what happened."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import ROOT, deploy, kv_read, run_story, wait_until  # noqa: E402

IN_FORCE_WITHIN_S = 8
TABLES = ROOT / "examples" / "rioni"


def apply(deployment, *options, node=None):
    return deployment.pollenctl(
        "apply", "--routes", TABLES / "routes.yaml", "--pools",
        TABLES / "pools.yaml", *options, node=node,
    )


def versions(deployment, nodes=None):
    return [deployment.status(n).get("tables_version") for n in nodes or deployment.nodes]


def in_force(deployment, version, nodes=None):
    start = time.monotonic()
    wait_until(
        lambda: set(versions(deployment, nodes)) == {version},
        f"version {version} everywhere",
    )
    return time.monotonic() - start <= IN_FORCE_WITHIN_S


def tell(deployment, story):
    deploy(deployment, nodes=3, engines=1, services=1)
    first, second, third = deployment.nodes
    story.tell(f"version 1 everywhere in time: {in_force(deployment, 1)}")

    results = []
    racers = [
        threading.Thread(
            target=lambda n=node: results.append(
                apply(deployment, "--base", "1", "--author", n.name, node=n)
            )
        )
        for node in deployment.nodes
    ]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    codes = sorted(r.returncode for r in results)
    story.tell(f"three operators race on version 1: exit statuses {codes}")
    told = {"version 2 by" in r.stderr for r in results if r.returncode == 4}
    story.tell(f"the losers are told against what: {told}")
    story.tell(f"version 2 everywhere in time: {in_force(deployment, 2)}")

    deployment.behave(deployment.kv, lose_answers=1)
    run = apply(deployment)
    story.tell(f"a lost answer is settled: {run.returncode}, {run.stdout.split()[-1]}")
    story.tell(f"version 3 everywhere in time: {in_force(deployment, 3)}")

    deployment.behave(deployment.kv, stale_reads=True)
    run = apply(deployment)
    story.tell(f"an edit under stale reads: {run.returncode}")
    in_force(deployment, 4)
    time.sleep(2)
    story.tell(f"stale reads take nothing back: {versions(deployment)}")
    deployment.behave(deployment.kv, stale_reads=False)

    deployment.behave(deployment.kv, down=True)
    run = apply(deployment)
    story.tell(
        f"an edit with the service down: {run.returncode}, "
        f"{'nothing was changed' in run.stderr}"
    )
    third.entry.kill()
    third.control.kill()
    deployment.start_entry(third)
    deployment.start_control(third)
    story.tell(
        "a node that starts meanwhile takes a peer's copy: "
        f"{in_force(deployment, 4, [third])}"
    )
    first.entry.kill()
    deployment.start_entry(first)
    story.tell(
        "an entry that is replaced gets its agent's copy: "
        f"{in_force(deployment, 4, [first])}"
    )
    deployment.behave(deployment.kv, down=False)
    run = wait_until(
        lambda: (r := apply(deployment, node=second)).returncode == 0 and r, "an edit"
    )
    story.tell(f"the service is back: {run.stdout.split()[-1]}")
    story.tell(f"version 5 everywhere in time: {in_force(deployment, 5)}")
    assert '"version":5' in kv_read(deployment.kv.port, "config/tables")

    second.control.kill()
    run = apply(deployment, node=first)
    story.tell(f"an edit while one agent is dead: {run.returncode}")
    in_force(deployment, 6, [first, third])


    def not_reached():
        shown = deployment.pollenctl("status", node=first).stdout.split("\n")
        return [line.split()[0] for line in shown if "not reached" in line]

    lagging = wait_until(not_reached, "a node that is not reached")
    story.tell(f"status names who is not reached: {lagging}")


run_story(tell)
