#!/usr/bin/env python3
"""Event streams with neither a length nor chunks, which end with their connection. One
that ends in order after an event is complete; one that ends inside an event, before the
first event or by a reset is broken off: resumed where the route allows it, and otherwise
truncated for the caller as well."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, Platform  # noqa: E402
from story import run_case  # noqa: E402

FORMS = ("closed", "closed10", "closedheader", "closedinside", "closedempty", "closedreset")


def run_checks(platform, transcript):
    for i in range(30):  # First attempts earn the retry budget for the retries below.
        platform.send_request(f"earn{i}", "/draft/stream")
    for form in FORMS:
        for route in ("draft", "chat"):
            attempt = f"{form}-{route}"
            status, _, body = platform.send_request(attempt, f"/{route}/{form}")
            runs = sum(1 for run in EXECUTIONS if run[0] == attempt)
            events = "truncated" if body is None else [
                line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]
            transcript.write(f"{route}, {form}: {status}, {events}, runs: {runs}")


if __name__ == "__main__":
    run_case(run_checks, Platform)
