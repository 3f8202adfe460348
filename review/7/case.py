"""A new version takes away the keys of the only tenant: its list of tenants is empty."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins2 import (BOUNDS, HOST, TROUBLE, Fleet, Runner, answer, call, config, field, route,  # noqa: E402
                       run_case)

KEYS = ["i9n73hh2b9wu3fexd9dn", "p2k81mv6c4ra9qhsx3lw"]
FORGED = "0000000000000000000z"  # A key that no configuration ever held.
SENDS = 10
NODES = 2


def main(record):
    fleet = Fleet(record, NODES)
    runs, lock = {}, threading.Lock()

    def work(runner, connection, head, body):
        attempt = field(head, "Attempt-Id")
        with lock:
            runs[attempt] = field(head, "Tenant")
        record(f"{attempt} runs at {runner.name}, Tenant: {field(head, 'Tenant')}")
        time.sleep(0.015)
        connection.sendall(answer("200 OK", b"receipt", runner.own(attempt)))
        return True

    for i in range(2):
        Runner(fleet.store, record, f"i-{i}", "ledger", "a", work)
    routes = [route("/issue/", "non_idempotent", "ledger", attempts=1, timeout_ms=1000, slo_ms=100)]
    fleet.store.put("op/config", config(1, routes, ["ledger"], [{"name": "hule930", "api_keys": KEYS}]))
    fleet.start()

    def send(attempt, key, node):
        data = (f"POST /issue/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1000\r\n"
                f"Api-Key: {key}\r\nContent-Length: 5\r\n\r\nDonor").encode()
        result = call(fleet.nodes[node].frontend, data, 2)
        record(f"{attempt} sent to edge-{node + 1}: {result}")

    for i in range(NODES):
        send(f"before-{i}", KEYS[0], i)
        send(f"forged-before-{i}", FORGED, i)
    acknowledged = time.monotonic()
    if TROUBLE:
        acknowledged = fleet.store.put("op/config", config(5, routes, ["ledger"], []))
        record("version 5, with an empty list of tenants, is acknowledged")
    time.sleep(max(0.0, acknowledged + BOUNDS["revoke_ms"] / 1000 + 1.0 - time.monotonic()))
    for i in range(SENDS):
        for node in range(NODES):
            send(f"taken-{node}-{i}", KEYS[i % 2], node)
            send(f"forged-{node}-{i}", FORGED, node)
    taken = [a for a in runs if a.startswith("taken-")]
    forged = [a for a in runs if a.startswith("forged-")]
    record(f"of {SENDS * NODES} requests with a key of version 1, sent over {BOUNDS['revoke_ms']} ms later, {len(taken)} ran; "
           f"of {SENDS * NODES + NODES} with a key that no configuration held, {len(forged)} ran")
    if forged:
        return f"ROUTE, CONFIG: {len(forged)} requests ran whose key no configuration held, {len(taken)} whose key was taken away"
    if TROUBLE and taken:
        return f"CONFIG: {len(taken)} requests ran that were sent over revoke_ms after their key had been taken away"
    return None


run_case(Path(__file__).resolve().parent, main)
