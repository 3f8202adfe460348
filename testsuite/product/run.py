#!/usr/bin/env python3
"""The command line, the reports and the logs from an operator's point of view."""

import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import BUILD, CUSTOMER, MODEL, deploy, run_case  # noqa: E402

PROGRAMS = ("pollen_entry", "pollen_control", "pollenctl")
MAX_HELP_LINES = 48


def run_program(program, *arguments):
    return subprocess.run(
        [BUILD / program / program, *arguments], capture_output=True, text=True
    )


def run_checks(deployment, transcript):
    for program in PROGRAMS:
        help_output = run_program(program, "--help")
        lines = help_output.stdout.count("\n")
        transcript.write(
            f"{program} --help: {help_output.returncode}, fits on a screen "
            f"{0 < lines <= MAX_HELP_LINES}"
        )
        transcript.write(
            f"{program} --version: {run_program(program, '--version').stdout.strip()}"
        )
        rejected = run_program(program, "--no-such-option")
        transcript.write(f"{program} with an unknown option: {rejected.returncode}")
    deploy(deployment)
    first, second = deployment.nodes
    checked = run_program("pollen_entry", "--config", first.settings, "--check")
    transcript.write(f"--check: {checked.returncode} {checked.stdout.strip()}")
    for i in range(4):
        deployment.chat(deployment.nodes[i % 2], CUSTOMER, MODEL, f"x {i}", max_tokens=9)

    status = json.loads(deployment.pollenctl("status", "--format", "json").stdout)
    transcript.write(f"status of {sorted(n['status']['node'] for n in status)}")
    cost = json.loads(deployment.pollenctl("cost", "--format", "json").stdout)
    total = sum(line["micros"] for line in cost["lines"])
    transcript.write(f"the cost lines add up to the total: {total == cost['total_micros']}")
    customers = {line["customer"] for line in cost["lines"] if line["customer"]}
    transcript.write(f"customers in the cost report: {sorted(customers)}")

    response = deployment.chat(first, CUSTOMER, MODEL, "follow", max_tokens=5)
    request = response.headers["x-request-id"]
    timeline = deployment.pollenctl("timeline", "--request", request, node=second)
    events = [text.split()[2] for text in timeline.stdout.strip().split("\n")]
    transcript.write(f"timeline of a request, queried through another node: {events}")
    trace = json.loads(deployment.pollenctl("timeline", "--format", "json").stdout)
    transcript.write(f"the exported trace has events: {len(trace['traceEvents']) > 10}")

    diff = deployment.pollenctl(
        "diff", "--routes", BUILD.parent.parent / "examples/cymorth/routes.yaml",
        "--pools", BUILD.parent.parent / "examples/cymorth/pools.yaml",
    )
    transcript.write(f"diff with other tables: {diff.stdout.count('removed')} rows removed")
    logs = first.entry.log.read_text().strip().split("\n")
    parsed = [json.loads(text) for text in logs]
    transcript.write(
        "logs are JSON lines with node and domain: "
        f"{all(p['node'] == 'node-1' and p['domain'] == 'batumi-a' for p in parsed)}"
    )
    third = deployment.add_node("node-3", "gonio", extra="log_level: debug\n")
    deployment.wait_ready([third])
    response = deployment.chat(third, CUSTOMER, MODEL, "logged", max_tokens=2)
    lines = [json.loads(t) for t in third.entry.log.read_text().strip().split("\n")]
    request_events = [p["event"] for p in lines if p.get("request") == response.headers["x-request-id"]]
    transcript.write(f"log events of a request at level debug: {request_events}")
    api_key = deployment.api_key(CUSTOMER)
    transcript.write(f"no API key in the logs: {all(api_key not in text for text in logs)}")


run_case(run_checks)
