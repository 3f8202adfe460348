#!/usr/bin/env python3
"""Short runs of fleet.py with fixed seeds. Guards against responses that belong to another request, half
bodies that look complete, promises that don't hold and pieces of two runs in one stream, where upstreams
are processes that are killed, stand still, start again and respond twice. Only rules about events count."""

import sys
from contextlib import redirect_stdout

from fleet import Fleet, parse_options
from findings import RULES
from story import run_case

SEEDS = (1, 2)
SECONDS = 18


class Runs:
    """Context manager that plays one run after another."""

    def __enter__(self):
        return self

    def __exit__(self, *_):
        pass

    def run(self, seed):
        """The findings of one run, by their rules."""
        fleet = Fleet(parse_options(["--seed", str(seed), "--seconds", str(SECONDS)]))
        try:
            with redirect_stdout(sys.stderr):
                fleet.run()
        finally:
            fleet.close()
        return fleet.counts()


def run_checks(runs, transcript):
    for seed in SEEDS:
        findings = runs.run(seed)
        transcript.write(f"seed {seed}: " + ", ".join(
            f"{rule} {findings[rule]}" for rule in (*RULES, "ended by itself", "soak failed")))


if __name__ == "__main__":
    run_case(run_checks, Runs)
