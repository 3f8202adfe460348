#!/usr/bin/env python3
"""Runners and callers that send endless messages. The node must abort each kind after
a bounded number of bytes and keep its memory bounded; the caller of an endless
response gets an error. Runners that hold many large incomplete messages open must not
take the memory of the node or the responses of other callers."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import CALLER_REQUEST_HEAD, ENDLESS_BYTES_LIMIT, ENDLESS_BYTES_SENT, Platform  # noqa: E402
from story import run_case  # noqa: E402

CONCURRENT_CALLS = 6
HELD_RESPONSES = 300
MIN_HELD_RESPONSES = 80  # fewer show nothing
SLOTS = 128  # of each runner
# The concurrent calls must leave memory free on the smallest machine, which has
# 160 MB.
MAX_PEAK_MEMORY_MB = 80
MAX_SENT_MB = 12  # Covers one buffered response and the data in socket buffers.
# (route, form of the endless response): see Runner.do_endless*.
FORMS = (("read", "head"), ("read", "fields"), ("read", "body"), ("read", "chunks"),
         ("read", "extension"), ("read", "extensions"), ("read", "trailers"), ("read", "interim"),
         ("read", "foreign"), ("chat", "event"), ("chat", "extension"), ("chat", "extensions"),
         ("chat", "trailers"))


def peak_mb(pid):
    """Peak resident memory of a process, in MB."""
    for line in Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0


def check_endless_response(platform, transcript, route, form):
    responses = {}

    def send(name):
        status, _, body = platform.send_request(name, f"/{route}/endless{form}", "POST", b"x")
        responses[name] = status if body is not None else "truncated"

    # Resets the peak, so that each form is checked separately.
    Path(f"/proc/{platform.process.pid}/clear_refs").write_text("5")
    names = [f"{route}{form}{i}" for i in range(CONCURRENT_CALLS)]
    threads = [threading.Thread(target=send, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    platform.wait_until(lambda: all(name in ENDLESS_BYTES_SENT for name in names))
    max_sent_mb = max(sent for name, sent in ENDLESS_BYTES_SENT.items() if name in names) / 2**20
    peak = peak_mb(platform.process.pid)
    print(f"# {route} {form}: {max_sent_mb:.1f} MB sent, peak {peak:.0f} MB", file=sys.stderr)
    transcript.write(f"{route}, endless {form}: {sorted(set(map(str, responses.values())))}, "
                     f"aborted within the byte limit: {max_sent_mb <= MAX_SENT_MB}, "
                     f"memory bounded: {peak <= MAX_PEAK_MEMORY_MB}")


def check_held_responses(platform, transcript, route, form):
    """Many responses that each stay below the limits and don't end, and small ones beside them."""
    Path(f"/proc/{platform.process.pid}/clear_refs").write_text("5")

    def send(name):
        platform.send_request(name, f"/{route}/{form}", "POST", b"x")

    threads = [threading.Thread(target=send, args=(f"{route}{form}{i}",)) for i in range(HELD_RESPONSES)]
    for thread in threads:
        thread.start()
        time.sleep(0.01)  # The node raises the load of a runner step by step.
    begun = sum(1 for runner in platform.runners for _, head, _ in runner.executed_requests if f"/{form} " in head)
    statuses = {platform.send_request(f"small{form}{i}", "/read/ok")[0] for i in range(20)}
    for thread in threads:
        thread.join()
    peak = peak_mb(platform.process.pid)
    print(f"# {route} {form}: {begun} begun, peak {peak:.0f} MB, small ones: {statuses}", file=sys.stderr)
    transcript.write(f"{route}, many of {form}: begun: {begun >= MIN_HELD_RESPONSES}, "
                     f"memory bounded: {peak <= MAX_PEAK_MEMORY_MB}, small responses beside them: {statuses}")


def check_endless_request(platform, transcript, name, prefix, repeated):
    """Sends a request that never ends, until the node closes the connection."""
    Path(f"/proc/{platform.process.pid}/clear_refs").write_text("5")
    sent = 0
    with platform.connect(platform.caller) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        try:
            connection.sendall(CALLER_REQUEST_HEAD + prefix)
            while sent < ENDLESS_BYTES_LIMIT:
                connection.sendall(repeated)
                sent += len(repeated)
        except OSError:
            pass
    print(f"# caller, {name}: {sent / 2**20:.1f} MB sent", file=sys.stderr)
    transcript.write(f"caller, endless {name}: aborted within the byte limit: "
                     f"{sent <= MAX_SENT_MB * 2**20}, "
                     f"memory bounded: {peak_mb(platform.process.pid) <= MAX_PEAK_MEMORY_MB}")


def run_checks(platform, transcript):
    for route, form in FORMS:
        check_endless_response(platform, transcript, route, form)
    check_held_responses(platform, transcript, "chat", "heldevent")
    check_endless_request(platform, transcript, "fields", b"", b"X: x\r\n" * 200)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    check_endless_request(platform, transcript, "body", chunked, b"400\r\n" + b"x" * 1024 + b"\r\n")
    check_endless_request(platform, transcript, "extension", chunked + b"1;a=", b"x" * 4096)
    check_endless_request(platform, transcript, "extensions", chunked, b"1;a=" + b"x" * 4000 + b"\r\nx\r\n")
    check_endless_request(platform, transcript, "trailers", chunked + b"0\r\n", b"X: x\r\n" * 200)
    platform.wait_until(lambda: platform.send_request("after", "/read/ok")[0] == 200)
    transcript.write("the node still serves requests")


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(slots=SLOTS))
