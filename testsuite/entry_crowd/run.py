#!/usr/bin/env python3
"""Callers of the own interface that stop short of the end of their requests and keep their connections open.
Guards against callers that hold all threads of the entry, so that no other caller is served, and against an
entry that runs out of memory or descriptors.

For each row: the process lives, its peak memory and its descriptors stay under the bounds, and an ordinary
request is answered while the crowd is connected. Nothing else is checked: no times and no share of served
requests."""

import os
import socket
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import CUSTOMER, MODEL, deploy, run_case, wait_until  # noqa: E402

MB = 1024 * 1024
MEMORY_MB = 120  # of the smallest machine
MAX_FDS = 300
THREADS = 8  # lowered, so that a small crowd holds them all
CALLERS = 60
TIMEOUT_MS = 60_000  # far longer than an ordinary caller waits
ANSWER_S = 40
PATH = "/v1/chat/completions"


def forms(key):
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n".encode()
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "one byte short": head + b"Content-Length: %d\r\n\r\n" % MB + b"x" * (MB - 1),
        "large chunks, short": chunked + b"%x\r\n%s\r\n" % (MB // 2, b"x" * (MB // 2)) + b"%x\r\nx" % (MB // 4),
        "tiny chunks, short": chunked + b"1\r\nx\r\n" * (MB // 16),
        "unfinished heads": head + b"X-Unfinished: ",
        "over the limit, announced": head + b"Content-Length: %d\r\n\r\n" % (64 * MB) + b"x" * MB,
        "over the limit, unannounced": chunked + b"%x\r\n%s\r\n" % (MB, b"x" * MB) * 4,
    }


class Crowd:
    """Callers that send the same bytes at the same time and keep their connections open."""

    def __init__(self, port, message):
        self.connections = []
        self.threads = [threading.Thread(target=self.send, args=(port, message)) for _ in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def send(self, port, message):
        try:
            connection = socket.create_connection(("127.0.0.1", port))
            self.connections.append(connection)
            connection.settimeout(ANSWER_S)
            connection.sendall(message)
        except OSError:  # Refused or closed, which the entry may do.
            pass

    def close(self):
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:  # Closed by the entry.
                pass
        for thread in self.threads:
            thread.join()
        for connection in self.connections:
            connection.close()


def peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0  # The process has ended.


def is_served(deployment, node):
    try:
        return deployment.chat(node, CUSTOMER, MODEL, "ordinary", max_tokens=3).status == 200
    except OSError:
        return False


def check_row(deployment, transcript, name, message):
    node = deployment.nodes[0]
    pid = node.entry.popen.pid
    crowd = Crowd(node.caller_port, message)
    served = []
    ordinary = threading.Thread(target=lambda: served.append(is_served(deployment, node)), daemon=True)
    ordinary.start()
    ordinary.join(ANSWER_S)
    descriptors = len(os.listdir(f"/proc/{pid}/fd")) if node.entry.alive() else 0
    peak = peak_mb(pid) if node.entry.alive() else 0
    print(f"# {name}: peak {peak:.0f} MB, {descriptors} descriptors", file=sys.stderr, flush=True)
    transcript.write(f"{name}: alive: {node.entry.alive()}, memory bounded: {peak <= MEMORY_MB}, "
                     f"descriptors bounded: {descriptors <= MAX_FDS}, an ordinary request is served: {served == [True]}")
    crowd.close()
    wait_until(lambda: is_served(deployment, node), "the crowd to be gone", ANSWER_S)


def run_checks(deployment, transcript):
    deploy(deployment, nodes=1, engines=1, services=1,
           extra=f"caller_threads: {THREADS}\ncaller_timeout_ms: {TIMEOUT_MS}\n")
    for name, message in forms(deployment.api_key(CUSTOMER)).items():
        check_row(deployment, transcript, name, message)


if __name__ == "__main__":
    run_case(run_checks)
