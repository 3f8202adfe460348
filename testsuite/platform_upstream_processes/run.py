#!/usr/bin/env python3
"""Short runs of fleet.py with fixed seeds. Guards against responses that belong to another request, half
bodies that look complete, promises that don't hold and pieces of two runs in one stream, where upstreams
are processes that are killed, stand still, start again and respond twice. Only rules about events count.
Each of these seeds breaks MIXED and ORDER on code that believes responses without an id or the end of a
connection; REFUSED is seldom, so platform_reused_address guards against it."""

import sys
from contextlib import nullcontext, redirect_stdout

from fleet import Fleet, parse_options
from findings import RULES
from story import run_case

SEEDS = (1, 2)
SECONDS = 18
MIN_ATTEMPTS = 200  # of a run, a fifth of what an idle machine bears


def run_fleet(seed):
    """The findings of one run, by their rules, and the activity that it lacks."""
    fleet = Fleet(parse_options(["--seed", str(seed), "--seconds", str(SECONDS)]))
    try:
        with redirect_stdout(sys.stderr):
            fleet.run()
        return fleet.counts(), missing_activity(fleet)
    finally:
        fleet.close()


def missing_activity(fleet):
    """What a run must contain to show anything, and this one lacks."""
    logs = "".join(node.read_log() for node in fleet.nodes)
    activity = {
        "attempts": len(fleet.answers) >= MIN_ATTEMPTS,
        "answers": sum(answer.status == 200 for answer in fleet.answers) >= MIN_ATTEMPTS // 2,
        "kept connections": any(answer.before > 0 for answer in fleet.answers),
        "relays": '"relayed"' in logs,
        "copies of earlier responses": '"foreign_answer"' in logs,
        "whole bodies without a length": '"outcome":"whole"' in logs,
        "cut bodies without a length": '"outcome":"cut"' in logs,
    }
    return [name for name, is_there in activity.items() if not is_there]


def run_checks(_, transcript):
    for seed in SEEDS:
        findings, missing = run_fleet(seed)
        transcript.write(f"seed {seed}: " + ", ".join(
            f"{rule} {findings[rule]}" for rule in (*RULES, "ended by itself", "soak failed")))
        transcript.write(f"seed {seed}: missing activity: {', '.join(missing) or 'none'}")


if __name__ == "__main__":
    run_case(run_checks, nullcontext)
