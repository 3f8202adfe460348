#!/usr/bin/env python3
"""An upstream as a process of its own, so that it can be killed: its kernel then ends its
connections. Its responses have neither a length nor chunks.

Usage: upstream.py NAME PORT BORN DIRECTORY. BORN 0: it doesn't say when it was started
and has no report. It writes a line to its standard output once it listens, and "half"
with the id of the request once it has sent the first half of a body. It stays there
until it is killed. DIRECTORY has a file for each request that has begun to run, which
all upstreams share: the next run is whole."""

import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import header, read_message  # noqa: E402
import socket  # noqa: E402

NAME, PORT, BORN, DIRECTORY = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), Path(sys.argv[4])
EVENTS = 4


def say(line):
    print(line, flush=True)


def report():
    if BORN == 0:
        return b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
    text = b'{"born": %d}' % BORN
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text)


def body_parts(head, is_stream):
    """The body of a response in two halves."""
    if not is_stream:
        return b"first half, ", b"second half"
    first = int(header(head, "Last-Event-Id") or 0) + 1
    events = [b"id: %d\ndata: e%d\n\n" % (i, i) for i in range(first, EVENTS + 1)]
    middle = (len(events) + 1) // 2
    return b"".join(events[:middle]), b"".join(events[middle:])


def serve(connection):
    buffer = b""
    while True:
        head, _, buffer = read_message(connection, buffer)
        if head is None:
            break
        path = head.split(" ")[1].split("?")[0]
        if path == "/-/report":
            connection.sendall(report())
            continue
        attempt = header(head, "Attempt-Id")
        runs = DIRECTORY / attempt
        with runs.open("a") as file:
            file.write(f"{NAME}\n")
        is_repeat = len(runs.read_text().split()) > 1
        first, second = body_parts(head, path.split("/")[1] in ("draft", "chat"))
        connection.sendall(f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                           "Server-Signature: s\r\n\r\n".encode() + first)
        if path.endswith("/half") and not is_repeat:
            say(f"half {attempt}")
            threading.Event().wait()
        connection.sendall(second)
        break
    connection.close()


def main():
    listener = socket.create_server(("127.0.0.1", PORT), backlog=128)
    say("listening")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    main()
