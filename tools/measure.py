#!/usr/bin/env python3
"""Measures a local deployment: throughput through the entry compared with the engine
stand-in alone, the cost of the idle control plane, and the calls to the key-value
service. Prints the figures of docs/MEASUREMENTS.md and docs/CAPACITY.md.

Usage: measure.py [load] [control] [polls] [claims]; all of them if none is named."""

import concurrent.futures
import json
import os
import re
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from deployment import BUILD, ROOT, Deployment, call, new_idempotency_key  # noqa: E402

MODEL = "lifebuoy-inspect"
CUSTOMER = "adjara-audit"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_mb(process, field):
    for line in Path(f"/proc/{process.popen.pid}/status").read_text().split("\n"):
        if line.startswith(field):
            return int(line.split()[1]) / 1024
    return 0


def run_load(port, key, threads, requests, tokens):
    run = subprocess.run(
        [BUILD / "bench" / "load_client", f"127.0.0.1:{port}", key, MODEL,
         str(threads), str(requests), str(tokens)],
        capture_output=True, text=True,
    )
    return json.loads(run.stdout)


def tables_without_limits(deployment):
    """A copy of the example's tables with limits that no measurement reaches."""
    tables = deployment.work_dir / "tables"
    tables.mkdir()
    for name in ("routes.yaml", "pools.yaml"):
        text = (ROOT / "examples" / "rioni" / name).read_text()
        text = re.sub(r"tokens_per_s: \d+", "tokens_per_s: 100000000", text)
        (tables / name).write_text(text)
    return tables


def deploy(deployment, nodes, engine, rounds=1):
    for domain in ("batumi-a", "batumi-b", "kobuleti") * rounds:
        deployment.add_upstream("inspectors", domain, "l4", "reclaimable", engine)
    deployment.add_upstream("stations", "batumi-a", "small", "reclaimable")
    deployment.publish_list()
    for i in range(nodes):
        deployment.add_node(f"node-{i}", ["batumi-a", "kobuleti"][i % 2])
    deployment.apply_example(tables=tables_without_limits(deployment))
    deployment.wait_ready()


def measure_load():
    """Throughput and cost of an entry, compared with direct requests to an engine."""
    engine = {"between_tokens_ms": 0.2, "slots": 64}
    for threads in (1, 8):
        with Deployment() as deployment:
            deploy(deployment, 1, engine)
            node = deployment.nodes[0]
            key = deployment.api_key(CUSTOMER)
            for tokens in (1, 100):
                before = cpu_seconds(node.entry)
                via_entry = run_load(node.caller_port, key, threads, 40, tokens)
                cpu_used = cpu_seconds(node.entry) - before
                direct = run_load(deployment.upstreams[0].process.port, key, threads, 40, tokens)
                print(
                    f"load threads {threads} tokens {tokens}: through the entry "
                    f"{via_entry}, direct {direct}, ratio of rates "
                    f"{via_entry['requests_per_s'] / direct['requests_per_s']:.2f}, "
                    f"entry cpu per request {cpu_used / (threads * 40) * 1000:.2f} ms, "
                    f"peak memory {memory_mb(node.entry, 'VmHWM'):.0f} MB"
                )


def measure_control():
    """Cost of an idle entry and control agent, by the number of nodes."""
    for nodes in (2, 4, 7):
        with Deployment() as deployment:
            deploy(deployment, nodes, {})
            time.sleep(2)
            node = deployment.nodes[0]
            calls = call(deployment.kv.port, "GET", "/standin/calls").json()
            start = time.monotonic()
            before = {p: cpu_seconds(p) for p in (node.control, node.entry)}
            time.sleep(10)
            elapsed = time.monotonic() - start
            after = call(deployment.kv.port, "GET", "/standin/calls").json()
            kv_rate = (sum(after.values()) - sum(calls.values())) / elapsed / nodes
            for name, process in (("agent", node.control), ("entry", node.entry)):
                share = (cpu_seconds(process) - before[process]) / elapsed
                print(
                    f"idle, {nodes} nodes, {name}: {share * 100:.2f}% of a core, "
                    f"{memory_mb(process, 'VmRSS'):.1f} MB resident, "
                    f"{memory_mb(process, 'VmHWM'):.1f} MB peak"
                )
            print(f"idle, {nodes} nodes: {kv_rate:.2f} key-value calls per second per node")


def measure_polls():
    """Cost of an idle entry and control agent, by the number of upstreams."""
    for rounds in (1, 4, 10):
        with Deployment() as deployment:
            deploy(deployment, 1, {}, rounds)
            time.sleep(2)
            node = deployment.nodes[0]
            before = {p: cpu_seconds(p) for p in (node.control, node.entry)}
            time.sleep(10)
            for name, process in (("agent", node.control), ("entry", node.entry)):
                share = (cpu_seconds(process) - before[process]) / 10
                print(
                    f"idle, {len(deployment.upstreams)} upstreams, {name}: "
                    f"{share * 100:.2f}% of a core, "
                    f"{memory_mb(process, 'VmRSS'):.1f} MB resident"
                )


def measure_claims():
    """Throughput of non-idempotent requests and their key-value writes."""
    with Deployment() as deployment:
        deploy(deployment, 2, {})
        for width in (1, 8, 32):
            before = call(deployment.kv.port, "GET", "/standin/calls").json()
            start = time.monotonic()
            count = width * 20

            def order(i):
                node = deployment.nodes[i % 2]
                return deployment.service(
                    node, "gonio-station", "orders/x", {"i": i}, new_idempotency_key()
                ).status

            with concurrent.futures.ThreadPoolExecutor(width) as pool:
                statuses = list(pool.map(order, range(count)))
            elapsed = time.monotonic() - start
            time.sleep(1)
            after = call(deployment.kv.port, "GET", "/standin/calls").json()
            writes = after.get("txn", 0) - before.get("txn", 0)
            print(
                f"claims, {width} concurrent: {count / elapsed:.0f} orders per second, "
                f"{statuses.count(201)} of {count} succeeded, "
                f"{writes / count:.2f} writes per order, "
                f"{writes / elapsed:.0f} writes per second"
            )


def main():
    selected = sys.argv[1:] or ["load", "control", "polls", "claims"]
    if "load" in selected:
        measure_load()
    if "control" in selected:
        measure_control()
    if "polls" in selected:
        measure_polls()
    if "claims" in selected:
        measure_claims()


if __name__ == "__main__":
    main()
