#!/usr/bin/env python3
"""Guards against a "not run" that another node said of an earlier request on the same connection
and that is believed of the current one, which has run (REFUSED). The first node of two has no path
to any upstream; a stand-in takes the requests that it relays to the second one."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_cut import CutPlatform  # noqa: E402
from platform_standins import HOST, KEY, Node, header, read_message  # noqa: E402
from story import run_case  # noqa: E402

RELAYED = []  # (attempt id, how many requests its connection had carried before)


class Peer:
    """Receives what other nodes relay. The last part of the path says how it responds."""

    def __init__(self, address):
        self.listener = socket.create_server(address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            self.respond(connection)
        except OSError:
            pass  # The node has closed the connection.

    @staticmethod
    def respond(connection):
        buffer, earlier = b"", 0
        while True:
            head, _, buffer = read_message(connection, buffer)
            if head is None:
                return
            attempt, action = header(head, "Attempt-Id"), head.split()[1].rsplit("/", 1)[-1]
            RELAYED.append((attempt, earlier))
            if action.isdigit():
                connection.sendall(f"HTTP/1.1 {action} Refused\r\nContent-Length: 0\r\n\r\n".encode())
                time.sleep(0.05)
            connection.sendall((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n"
                                "Content-Length: 4\r\n\r\ndone").encode())
            earlier += 1


class OccupiedNode(Node):
    """A node whose peer address a stand-in has taken, so that it relays nothing itself."""

    def __init__(self, name, host, peer_port, *args):
        if name == "n2":
            self.peer = Peer((host, peer_port))
        super().__init__(name, host, peer_port, *args)


class OccupiedPlatform(CutPlatform):
    node_type = OccupiedNode


# Guards against a node's own response that another node can't tell from a late copy.
def check_own_responses(platform, transcript):
    for name, fields in (("a malformed field", "Last-Event-Id: x\r\n"), ("too large a body", f"Content-Length: {2**40}\r\n")):
        status, head, _ = platform.send_raw(platform.caller, (
            f"POST /order/ok HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: own\r\nApi-Key: {KEY}\r\n{fields}\r\n").encode())
        transcript.write(f"{name}: {status}, names the request: {header(head, 'Attempt-Id') == 'own'}")


def run_checks(platform, transcript):
    platform.wait_until(lambda: platform.send_request("first", "/read/ok")[0] == 200)
    for status in (408, 421, 429, 503):
        time.sleep(0.2)  # The connection of the status before has ended.
        platform.send_request(f"keep{status}", "/order/ok", "POST", b"x")
        attempt = f"r{status}"
        got, _, _ = platform.send_request(attempt, f"/order/{status}", "POST", b"x")
        on = [earlier for relayed, earlier in RELAYED if relayed == attempt]
        transcript.write(f"an unnamed {status} of another node on a kept connection: sent {len(on)} times, "
                         f"on a used connection: {bool(on) and on[0] > 0}, told not run: {got in (408, 421, 429, 503)}")
    check_own_responses(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: OccupiedPlatform(nodes=2))
