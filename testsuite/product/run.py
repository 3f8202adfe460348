#!/usr/bin/env python3
"""The command line, the reports and the logs, as an operator meets them."""

import json
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import BUILD, CUSTOMER, MODEL, deploy, run_story  # noqa: E402

PROGRAMS = ("pollen_entry", "pollen_control", "pollenctl")
MAX_HELP_LINES = 48


def run(program, *arguments):
    return subprocess.run(
        [BUILD / program / program, *arguments], capture_output=True, text=True
    )


def tell(deployment, story):
    for program in PROGRAMS:
        shown = run(program, "--help")
        lines = shown.stdout.count("\n")
        story.tell(
            f"{program} --help: {shown.returncode}, fits a screen "
            f"{0 < lines <= MAX_HELP_LINES}"
        )
        story.tell(f"{program} --version: {run(program, '--version').stdout.strip()}")
        wrong = run(program, "--no-such-option")
        story.tell(f"{program} with a wrong option: {wrong.returncode}")
    deploy(deployment)
    first, second = deployment.nodes
    checked = run("pollen_entry", "--config", first.settings, "--check")
    story.tell(f"--check: {checked.returncode} {checked.stdout.strip()}")
    for i in range(4):
        deployment.chat(deployment.nodes[i % 2], CUSTOMER, MODEL, f"x {i}", max_tokens=9)

    status = json.loads(deployment.pollenctl("status", "--format", "json").stdout)
    story.tell(f"status of {sorted(n['status']['node'] for n in status)}")
    cost = json.loads(deployment.pollenctl("cost", "--format", "json").stdout)
    total = sum(line["micros"] for line in cost["lines"])
    story.tell(f"the cost lines add up to the bill: {total == cost['total_micros']}")
    customers = {line["customer"] for line in cost["lines"] if line["customer"]}
    story.tell(f"customers on the bill: {sorted(customers)}")

    answer = deployment.chat(first, CUSTOMER, MODEL, "follow", max_tokens=5)
    request = answer.headers["x-request-id"]
    line = deployment.pollenctl("timeline", "--request", request, node=second)
    events = [text.split()[2] for text in line.stdout.strip().split("\n")]
    story.tell(f"one request's way, asked of the other node: {events}")
    trace = json.loads(deployment.pollenctl("timeline", "--format", "json").stdout)
    story.tell(f"the trace has events: {len(trace['traceEvents']) > 10}")

    diff = deployment.pollenctl(
        "diff", "--routes", BUILD.parent.parent / "examples/cymorth/routes.yaml",
        "--pools", BUILD.parent.parent / "examples/cymorth/pools.yaml",
    )
    story.tell(f"diff against other tables: {diff.stdout.count('removed')} rows go")
    logs = first.entry.log.read_text().strip().split("\n")
    parsed = [json.loads(text) for text in logs]
    story.tell(
        "logs are JSON lines with node and domain: "
        f"{all(p['node'] == 'node-1' and p['domain'] == 'batumi-a' for p in parsed)}"
    )
    third = deployment.add_node("node-3", "gonio", extra="log_level: debug\n")
    deployment.wait_ready([third])
    answer = deployment.chat(third, CUSTOMER, MODEL, "logged", max_tokens=2)
    lines = [json.loads(t) for t in third.entry.log.read_text().strip().split("\n")]
    way = [p["event"] for p in lines if p.get("request") == answer.headers["x-request-id"]]
    story.tell(f"a request's lines at level debug: {way}")
    secret = deployment.key_of(CUSTOMER)
    story.tell(f"no key in the logs: {all(secret not in text for text in logs)}")


run_story(tell)
