#!/usr/bin/env python3
"""A forwarding node against stand-ins for the platform's store, runners and cloud API."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, EXECUTIONS, Platform, config, header  # noqa: E402
from story import run_case  # noqa: E402


def execution_count(attempt):
    """Number of times that the request with this attempt id ran, on all runners."""
    return len([run for run in EXECUTIONS if run[0] == attempt])


def check_route_kinds(platform, transcript):
    for i in range(6):  # First attempts earn the retry budget for the retries below.
        for kind in ("read", "draft"):
            platform.send_request(f"earn{kind}{i}", f"/{kind}/" + ("ok" if kind == "read" else "stream"))
    status, head, body = platform.send_request("a1", "/read/ok?x=1")
    transcript.write(
        f"plain request: {status}, {body.decode()}, signed: {header(head, 'Server-Signature') is not None}"
    )
    status, _, body = platform.send_request("a2", "/order/ok", "POST", b"one ring")
    sent = [run for r in platform.runners for run in r.executed_requests if run[0] == "a2"][0]
    transcript.write(f"order: {status}, body unchanged: {sent[2] == b'one ring'}, "
                     f"customer forwarded: {header(sent[1], 'Tenant')}, API key forwarded: {KEY in sent[1]}")
    status, _, body = platform.send_request("a3", "/chat/stream")
    transcript.write(f"stream: {status}, events: {body.count(b'data: ')}")
    status, _, body = platform.send_request("a4", "/draft/break")
    events = [line for line in body.decode().split("\n") if line.startswith("data: ")]
    transcript.write(
        f"stream resumed on another runner: {status}, {', '.join(events)}, runs: {execution_count('a4')}"
    )
    status, _, body = platform.send_request("a5", "/chat/break")
    transcript.write(
        f"non-resumable stream is truncated: {body is None}, runs: {execution_count('a5')}"
    )


def check_failures(platform, transcript):
    status, _, body = platform.send_request("b1", "/read/fail")
    transcript.write(f"idempotent, first attempt failed: {status}, runs: {execution_count('b1')}")
    status, _, body = platform.send_request("b2", "/order/fail", "POST", b"x")
    transcript.write(f"order, failed: {status} {body.decode()}, runs: {execution_count('b2')}")
    status, _, _ = platform.send_request("b3", "/order/cut", "POST", b"x")
    transcript.write(f"order, response lost: {status}, runs: {execution_count('b3')}")
    status, _, _ = platform.send_request("b4", "/order/shed", "POST", b"x")
    transcript.write(f"order, first attempt shed: {status}, runs: {execution_count('b4')}")
    status, _, body = platform.send_request("b5", "/order/extra", "POST", b"x")
    transcript.write(f"response to another request comes first: {status}, {body.decode()}")
    status, _, body = platform.send_request("b6", "/order/ok", "POST", b"x")
    transcript.write(f"the next request: {status}, {body.decode()}")
    status, _, body = platform.send_request("b7", "/order/unframed", "POST", b"x")
    transcript.write(f"response without length: {status}, {body.decode()}")
    status, _, _ = platform.send_request("b8", "/order/unframedcut", "POST", b"x")
    transcript.write(f"response without length, connection reset: {status}")
    status, _, _ = platform.send_request("b9", "/order/unsigned", "POST", b"x")
    transcript.write(f"successful response without signature: {status}")


def check_bad_input(platform, transcript):
    for name, lines in (
        ("length and chunked encoding", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        ("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n"),
        ("space before the colon", "Transfer-Encoding : chunked\r\n"),
        ("folded line", "X: a\r\n b\r\n"),
    ):
        status, _, _ = platform.send_raw(platform.caller, (
            f"POST /read/ok HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c1\r\nApi-Key: {KEY}\r\n"
            f"{lines}\r\n0\r\n\r\n").encode())
        transcript.write(f"{name}: {status}")
    transcript.write(f"runs of the malformed requests: {execution_count('c1')}")
    status, _, _ = platform.send_request("c2", "/read/ok", key="nobody")
    transcript.write(f"unknown key: {status}")
    status, _, _ = platform.send_request("c3", "/nowhere/x")
    transcript.write(f"unknown route: {status}")
    platform.send_request("c4", "/read/ok", extra="Tenant: eve\r\nKv-From: x\r\nHold: 1\r\n")
    sent = [run for r in platform.runners for run in r.executed_requests if run[0] == "c4"][0]
    transcript.write(
        f"customer with a forged header: {header(sent[1], 'Tenant')}, forged hold forwarded: {header(sent[1], 'Hold')}"
    )


def check_changes(platform, transcript):
    connection = platform.connect(platform.caller)
    connection.sendall(platform.request("d1", "/read/wait"))
    platform.wait_until(lambda: execution_count("d1") == 1)
    connection.close()
    platform.wait_until(lambda: any(r.caller_disconnected.is_set() for r in platform.runners))
    transcript.write("a run is stopped when its caller disconnects")
    removed = platform.runners.pop(0)
    platform.store.remove(f"servers/{removed.name}")
    before = len(removed.executed_requests)
    platform.wait_until(lambda: platform.send_request("probe", "/read/ok")[0] == 200 and
                        "upstream_leaving" in read_log(platform))
    before = len(removed.executed_requests)
    for i in range(10):
        platform.send_request(f"d2{i}", "/read/ok")
    transcript.write(f"runs on a removed runner: {len(removed.executed_requests) - before}")
    platform.store.put("op/config", config(2, tenants=[]))
    platform.store.put("op/config", config(3, tenants=[{"name": "bo", "api_keys": ["k2"]}]))
    platform.wait_until(lambda: platform.send_request("d3", "/read/ok", key="k2")[0] == 200)
    transcript.write(f"a removed API key: {platform.send_request('d4', '/read/ok')[0]}")
    platform.store.put("op/config", b"{")
    platform.wait_until(lambda: "tables_rejected" in read_log(platform))
    transcript.write(
        f"after an unreadable configuration: {platform.send_request('d5', '/read/ok', key='k2')[0]}"
    )
    platform.wait_until(lambda: any(call[0] == "/usage" and call[2]["counts"] for call in platform.cloud.calls))
    windows = [call[2]["window_id"] for call in platform.cloud.calls if call[0] == "/usage"]
    transcript.write(f"each usage window is reported once: {len(windows) == len(set(windows))}")


def check_shutdown(platform, transcript):
    platform.store.down = True
    platform.wait_until(lambda: platform.readiness_status() == 503)
    status, head, _ = platform.send_request("e1", "/read/ok", key="k2")
    transcript.write(f"store unreachable for longer than the key freshness limit: {status}, "
                     f"tells the caller when to retry: {header(head, 'Retry-After') is not None}, runs: {execution_count('e1')}")
    platform.store.down = False
    platform.store.put("op/config", config(4))
    platform.wait_until(lambda: platform.readiness_status() == 200)
    transcript.write("ready again once the store is back")
    platform.process.send_signal(signal.SIGTERM)
    platform.wait_until(lambda: platform.readiness_status() == 503)
    status, head, _ = platform.send_request("e2", "/read/ok")
    transcript.write(
        f"a request after the stop signal: {status}, connection header: {header(head, 'Connection')}"
    )
    transcript.write(f"exit status: {platform.process.wait(timeout=20)}")


def read_log(platform):
    return platform.nodes[0].read_log()


def run_checks(platform, transcript):
    check_route_kinds(platform, transcript)
    check_failures(platform, transcript)
    check_bad_input(platform, transcript)
    check_changes(platform, transcript)
    check_shutdown(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, Platform)
