#!/usr/bin/env python3
"""A forwarding node before the platform's store, runners and cloud API."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import HOST, KEY, RUNS, Platform, config, header  # noqa: E402
from story import run_story  # noqa: E402


def runs(attempt):
    return len([run for run in RUNS if run[0] == attempt])


def tell_kinds(platform, story):
    for i in range(6):  # First attempts earn the retries below.
        for kind in ("read", "draft"):
            platform.ask(f"earn{kind}{i}", f"/{kind}/" + ("ok" if kind == "read" else "stream"))
    status, head, body = platform.ask("a1", "/read/ok?x=1")
    story.tell(f"plain: {status}, {body.decode()}, signed: {header(head, 'Server-Signature') is not None}")
    status, _, body = platform.ask("a2", "/order/ok", "POST", b"one ring")
    sent = [run for r in platform.runners for run in r.runs if run[0] == "a2"][0]
    story.tell(f"order: {status}, body as sent: {sent[2] == b'one ring'}, "
               f"customer named: {header(sent[1], 'Tenant')}, key passed on: {KEY in sent[1]}")
    status, _, body = platform.ask("a3", "/chat/stream")
    story.tell(f"stream: {status}, events: {body.count(b'data: ')}")
    status, _, body = platform.ask("a4", "/draft/break")
    events = [line for line in body.decode().split("\n") if line.startswith("data: ")]
    story.tell(f"stream resumed elsewhere: {status}, {', '.join(events)}, runs: {runs('a4')}")
    status, _, body = platform.ask("a5", "/chat/break")
    story.tell(f"stream that may not be resumed looks cut: {body is None}, runs: {runs('a5')}")


def tell_failures(platform, story):
    status, _, body = platform.ask("b1", "/read/fail")
    story.tell(f"idempotent, failed once: {status}, runs: {runs('b1')}")
    status, _, body = platform.ask("b2", "/order/fail", "POST", b"x")
    story.tell(f"order, failed: {status} {body.decode()}, runs: {runs('b2')}")
    status, _, _ = platform.ask("b3", "/order/cut", "POST", b"x")
    story.tell(f"order, answer lost: {status}, runs: {runs('b3')}")
    status, _, _ = platform.ask("b4", "/order/shed", "POST", b"x")
    story.tell(f"order, shed once: {status}, runs: {runs('b4')}")
    status, _, body = platform.ask("b5", "/order/extra", "POST", b"x")
    story.tell(f"another's answer comes first: {status}, {body.decode()}")
    status, _, body = platform.ask("b6", "/order/ok", "POST", b"x")
    story.tell(f"the next request: {status}, {body.decode()}")
    status, _, body = platform.ask("b7", "/order/unframed", "POST", b"x")
    story.tell(f"an answer without length: {status}, {body.decode()}")
    status, _, _ = platform.ask("b8", "/order/unframedcut", "POST", b"x")
    story.tell(f"the same, reset: {status}")
    status, _, _ = platform.ask("b9", "/order/unsigned", "POST", b"x")
    story.tell(f"a success that is not signed: {status}")


def tell_bad_input(platform, story):
    for name, lines in (
        ("length and chunks", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        ("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n"),
        ("space before the colon", "Transfer-Encoding : chunked\r\n"),
        ("folded line", "X: a\r\n b\r\n"),
    ):
        status, _, _ = platform.raw(platform.caller, (
            f"POST /read/ok HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c1\r\nApi-Key: {KEY}\r\n"
            f"{lines}\r\n0\r\n\r\n").encode())
        story.tell(f"{name}: {status}")
    story.tell(f"runs of these: {runs('c1')}")
    status, _, _ = platform.ask("c2", "/read/ok", key="nobody")
    story.tell(f"unknown key: {status}")
    status, _, _ = platform.ask("c3", "/nowhere/x")
    story.tell(f"unknown route: {status}")
    platform.ask("c4", "/read/ok", extra="Tenant: eve\r\nKv-From: x\r\nHold: 1\r\n")
    sent = [run for r in platform.runners for run in r.runs if run[0] == "c4"][0]
    story.tell(f"forged customer: {header(sent[1], 'Tenant')}, forged hold: {header(sent[1], 'Hold')}")


def tell_changes(platform, story):
    connection = platform.connect(platform.caller)
    connection.sendall(platform.request("d1", "/read/wait"))
    platform.until(lambda: runs("d1") == 1)
    connection.close()
    platform.until(lambda: any(r.left.is_set() for r in platform.runners))
    story.tell("a caller that leaves stops its run")
    gone = platform.runners.pop(0)
    platform.store.remove(f"servers/{gone.name}")
    before = len(gone.runs)
    platform.until(lambda: platform.ask("probe", "/read/ok")[0] == 200 and
                   "upstream_leaving" in read_log(platform))
    before = len(gone.runs)
    for i in range(10):
        platform.ask(f"d2{i}", "/read/ok")
    story.tell(f"runs at a runner that is gone: {len(gone.runs) - before}")
    platform.store.put("op/config", config(2, tenants=[]))
    platform.store.put("op/config", config(3, tenants=[{"name": "bo", "api_keys": ["k2"]}]))
    platform.until(lambda: platform.ask("d3", "/read/ok", key="k2")[0] == 200)
    story.tell(f"a key that was taken away: {platform.ask('d4', '/read/ok')[0]}")
    platform.store.put("op/config", b"{")
    platform.until(lambda: "tables_rejected" in read_log(platform))
    story.tell(f"after a configuration that cannot be read: {platform.ask('d5', '/read/ok', key='k2')[0]}")
    platform.until(lambda: any(call[0] == "/usage" and call[2]["counts"] for call in platform.cloud.calls))
    windows = [call[2]["window_id"] for call in platform.cloud.calls if call[0] == "/usage"]
    story.tell(f"usage is reported, each window once: {len(windows) == len(set(windows))}")


def tell_stop(platform, story):
    platform.store.down = True
    platform.until(lambda: platform.ready() == 503)
    status, head, _ = platform.ask("e1", "/read/ok", key="k2")
    story.tell(f"store away for longer than keys hold: {status}, "
               f"says when to come back: {header(head, 'Retry-After') is not None}, runs: {runs('e1')}")
    platform.store.down = False
    platform.store.put("op/config", config(4))
    platform.until(lambda: platform.ready() == 200)
    story.tell("ready again when the store is back")
    platform.process.send_signal(signal.SIGTERM)
    platform.until(lambda: platform.ready() == 503)
    status, head, _ = platform.ask("e2", "/read/ok")
    story.tell(f"a request after the stop signal: {status}, closes: {header(head, 'Connection')}")
    story.tell(f"exit status: {platform.process.wait(timeout=20)}")


def read_log(platform):
    return platform.nodes[0].read_log()


def tell(platform, story):
    tell_kinds(platform, story)
    tell_failures(platform, story)
    tell_bad_input(platform, story)
    tell_changes(platform, story)
    tell_stop(platform, story)


if __name__ == "__main__":
    run_story(tell, Platform)
