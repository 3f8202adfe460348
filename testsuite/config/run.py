#!/usr/bin/env python3
"""Edits of the tables become active on every node within 8 s and never revert,
whatever the key-value service does. Operators see the result of each edit."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import ROOT, deploy, read_kv_key, run_case, wait_until  # noqa: E402

PROPAGATION_LIMIT_S = 8
TABLES_DIR = ROOT / "examples" / "rioni"


def apply(deployment, *options, node=None):
    return deployment.pollenctl(
        "apply", "--routes", TABLES_DIR / "routes.yaml", "--pools",
        TABLES_DIR / "pools.yaml", *options, node=node,
    )


def versions(deployment, nodes=None):
    return [deployment.status(n).get("tables_version") for n in nodes or deployment.nodes]


def wait_until_active(deployment, version, nodes=None):
    """Waits until `version` is active and returns whether that took at most
    PROPAGATION_LIMIT_S."""
    start = time.monotonic()
    wait_until(
        lambda: set(versions(deployment, nodes)) == {version},
        f"version {version} on every node",
    )
    return time.monotonic() - start <= PROPAGATION_LIMIT_S


def run_checks(deployment, transcript):
    deploy(deployment, nodes=3, engines=1, services=1)
    first, second, third = deployment.nodes
    transcript.write(f"version 1 active on every node in time: {wait_until_active(deployment, 1)}")

    results = []
    editors = [
        threading.Thread(
            target=lambda n=node: results.append(
                apply(deployment, "--base", "1", "--author", n.name, node=n)
            )
        )
        for node in deployment.nodes
    ]
    for editor in editors:
        editor.start()
    for editor in editors:
        editor.join()
    codes = sorted(r.returncode for r in results)
    transcript.write(f"three operators edit version 1 concurrently: exit statuses {codes}")
    names_conflict = {"version 2 by" in r.stderr for r in results if r.returncode == 4}
    transcript.write(f"the conflict message names version 2 and its author: {names_conflict}")
    transcript.write(f"version 2 active on every node in time: {wait_until_active(deployment, 2)}")

    deployment.set_behaviour(deployment.kv, lose_answers=1)
    run = apply(deployment)
    transcript.write(
        f"the response to the write is lost, the edit is reconciled: {run.returncode}, {run.stdout.split()[-1]}"
    )
    transcript.write(f"version 3 active on every node in time: {wait_until_active(deployment, 3)}")

    deployment.set_behaviour(deployment.kv, stale_reads=True)
    run = apply(deployment)
    transcript.write(f"an edit with stale reads: {run.returncode}")
    wait_until_active(deployment, 4)
    time.sleep(2)
    transcript.write(f"stale reads do not revert the tables: {versions(deployment)}")
    deployment.set_behaviour(deployment.kv, stale_reads=False)

    deployment.set_behaviour(deployment.kv, down=True)
    run = apply(deployment)
    transcript.write(
        f"an edit with the key-value service down: {run.returncode}, "
        f"{'nothing was changed' in run.stderr}"
    )
    third.entry.kill()
    third.control.kill()
    deployment.start_entry(third)
    deployment.start_control(third)
    transcript.write(
        "a node that starts meanwhile gets the tables from a peer: "
        f"{wait_until_active(deployment, 4, [third])}"
    )
    first.entry.kill()
    deployment.start_entry(first)
    transcript.write(
        "a restarted entry gets the tables from its control agent: "
        f"{wait_until_active(deployment, 4, [first])}"
    )
    deployment.set_behaviour(deployment.kv, down=False)
    run = wait_until(
        lambda: (r := apply(deployment, node=second)).returncode == 0 and r, "an edit to succeed"
    )
    transcript.write(f"the key-value service is back: {run.stdout.split()[-1]}")
    transcript.write(f"version 5 active on every node in time: {wait_until_active(deployment, 5)}")
    assert '"version":5' in read_kv_key(deployment.kv.port, "config/tables")

    second.control.kill()
    run = apply(deployment, node=first)
    transcript.write(f"an edit while one control agent is down: {run.returncode}")
    wait_until_active(deployment, 6, [first, third])

    def unreached_nodes():
        shown = deployment.pollenctl("status", node=first).stdout.split("\n")
        return [line.split()[0] for line in shown if "not reached" in line]

    unreachable = wait_until(unreached_nodes, "status to name the unreachable node")
    transcript.write(f"status names the unreachable node: {unreachable}")


run_case(run_checks)
