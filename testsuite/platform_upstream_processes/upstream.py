#!/usr/bin/env python3
"""An upstream as a process of its own. What it does with a request is drawn from the seed, its own
name, the id of the attempt and how often it has got that attempt: it rejects the request as not run
(at times before it has read the body), runs it and responds in one of three framings, fails, streams
events, ends itself in the middle of a body, or responds twice.

Each event is a line of JSON in the file given with --events, written before the step that it names,
so that it outlives SIGKILL."""

import argparse
import base64
import hashlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import header, read_body, read_head  # noqa: E402

STREAMING = ("chat", "draft")  # names of routes whose responses are streams of events
EVENT_COUNT = 20  # of each stream
LONG_BODY_BYTES = 100_000  # A request's body of this size may be rejected before it is read.
REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected Request", 429: "Too Many Requests", 500: "Oops",
           503: "Full"}

SHARES = {"unnamed": (0.5, "the failures that name no request"),
          "unframed": (0.3, "the bodies that end with the connection"),
          "dies": (0.01, "the bodies in which an upstream ends itself")}


def digest(status, body):
    """Identifies a response by its status and its whole body."""
    return hashlib.sha256(b"%d " % status + body).hexdigest()[:16]


class Plan:
    """What the upstream does with one send of a request."""

    def __init__(self, chance, options):
        self.refusal = chance.choice((503, 503, 429, 421)) if chance.random() < 0.12 else 0
        self.early_refusal = chance.random() < 0.3
        self.status = chance.choices((200, 500, 404), (84, 8, 8))[0]
        self.named = self.status == 200 or chance.random() >= options.unnamed
        framed = chance.choices(("length", "chunks"), (4, 3))[0]
        self.framing = framed if chance.random() >= options.unframed else "connection_end"
        self.size = chance.choice((60, 3000, 30_000, 200_000))
        self.pieces = chance.randrange(2, 6)
        self.pause = chance.choice((0.002, 0.01, 0.05))  # seconds between the pieces
        self.run_seconds = chance.choice((0, 0, 0.01, 0.05, 0.3))
        self.dies = chance.random() < options.dies  # in the middle of the body
        self.copy = chance.choices(("none", "at_once", "late", "next"), (76, 6, 8, 10))[0]
        self.copy_delay = chance.uniform(0.001, 0.05)
        self.copy_whole = chance.random() < 0.5
        self.event_pause = chance.choice((0.002, 0.01, 0.03))
        self.breaks_at = chance.randrange(1, 20) if chance.random() < 0.15 else None


class Upstream:
    """The process: it accepts connections and serves each in a thread."""

    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.events = os.open(options.events, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        self.run_numbers = itertools.count(1)
        self.connection_numbers = itertools.count(1)
        self.sends = {}  # attempt id: how often it has come
        self.lock = threading.Lock()

    def log(self, event, **fields):
        line = {"at": time.monotonic(), "upstream": self.options.name, "born": self.born, "event": event, **fields}
        os.write(self.events, (json.dumps(line) + "\n").encode())

    def register(self):
        entry = {"service": "work", "address": self.options.address, "zone": "a", "state": "ready",
                 "version": "v1", "batch_slots": self.options.slots, "born": self.born}
        item = {"key": f"servers/{self.options.name}", "value": base64.b64encode(json.dumps(entry).encode()).decode()}
        store = http.client.HTTPConnection(self.options.store, timeout=5)
        store.request("POST", "/-/kv-txn", json.dumps({"expected_rev": [], "put": [item], "remove": []}))
        store.getresponse().read()
        store.close()

    def serve(self):
        host, port = self.options.address.split(":")
        listener = socket.create_server((host, int(port)), backlog=128)
        self.log("started")
        self.register()
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            exchange = Exchange(self, connection, next(self.connection_numbers))
            threading.Thread(target=exchange.serve, daemon=True).start()

    def count_send(self, attempt):
        with self.lock:
            self.sends[attempt] = self.sends.get(attempt, 0) + 1
            return self.sends[attempt]


class Exchange:
    """A connection that was accepted, for one request after another."""

    def __init__(self, upstream, connection, number):
        self.upstream, self.connection, self.number = upstream, connection, number
        self.request_number = 0
        self.due_copy = None  # (what it is a copy of, its bytes, whether it is sent in one piece)
        self.attempt = None

    def log(self, event, **fields):
        self.upstream.log(event, attempt=self.attempt, connection=self.number, request=self.request_number, **fields)

    def serve(self):
        buffer = b""
        try:
            while True:
                head, buffer = read_head(self.connection, buffer)
                if head is None:
                    break
                keep, buffer = self.respond(head, buffer)
                if not keep:
                    break
        except OSError:
            pass
        self.connection.close()

    def respond(self, head, buffer):
        """Responds to a request. Returns whether the connection stays open, and the bytes after the request."""
        self.request_number += 1
        path = head.split(" ")[1].split("?")[0]
        self.attempt = header(head, "Attempt-Id")
        self.send_due_copy()
        if path in ("/-/report", "/healthz"):
            self.log("asked", path=path)
            return self.report(path), read_body(self.connection, head, buffer)[1]
        count = self.upstream.count_send(self.attempt)
        options = self.upstream.options
        chance = random.Random(f"{options.seed} {options.name} {self.attempt} {count}")
        plan = Plan(chance, options)
        target, kind = header(head, "Target-Instance"), path.split("/")[1]
        size = int(header(head, "Content-Length") or 0)
        last = int(header(head, "Last-Event-Id") or 0)
        self.log("arrived", kind=kind, send=count, target=target, last=last)
        if target != options.name:
            plan.refusal = 421
        if plan.refusal or size >= LONG_BODY_BYTES and plan.early_refusal:
            early = size >= LONG_BODY_BYTES and plan.early_refusal
            if not early:
                _, buffer = read_body(self.connection, head, buffer)
            keep = self.refuse(plan, early)
            if early:
                _, buffer = read_body(self.connection, head, buffer)
            return keep, buffer
        _, buffer = read_body(self.connection, head, buffer)
        run = f"{options.name}.{self.upstream.born}.{next(self.upstream.run_numbers)}"
        self.log("run_begun", run=run, last=last)
        if kind in STREAMING and plan.status == 200:
            return self.stream(plan, run, last), buffer
        time.sleep(plan.run_seconds)
        return self.answer(plan, run), buffer

    # Responses.

    def head(self, status, framing, named, fields=""):
        identity = f"Attempt-Id: {self.attempt}\r\n" if named else ""
        marks = {"chunks": "Transfer-Encoding: chunked\r\n", "connection_end": "Connection: close\r\n"}
        return f"HTTP/1.1 {status} {REASONS[status]}\r\n{identity}{fields}{marks.get(framing, framing)}\r\n".encode()

    def refuse(self, plan, early):
        status = plan.refusal or 503
        body = f"{self.attempt} refused by {self.upstream.options.name}\n".encode()
        self.log("refused", status=status, early=early, copy=plan.copy, digest=digest(status, body))
        data = self.head(status, f"Content-Length: {len(body)}\r\n", True, "Not-Executed: 1\r\n") + body
        self.connection.sendall(data)
        self.copy(plan, f"{status} refusal", data)
        return True

    def answer(self, plan, run):
        first = f"{self.attempt} {run} {plan.status} "
        last = f" end of {self.attempt} {run}\n"
        filler = (run + " ") * (plan.size // (len(run) + 1))
        body = (first + filler + last).encode()
        framing = f"Content-Length: {len(body)}\r\n" if plan.framing == "length" else plan.framing
        self.log("answered", run=run, status=plan.status, digest=digest(plan.status, body), size=len(body),
                 framing=plan.framing, named=plan.named, copy=plan.copy, dies=plan.dies)
        head = self.head(plan.status, framing, plan.named, f"Server-Signature: s.{run}\r\n")
        step = len(body) // plan.pieces + 1
        pieces = [body[place:place + step] for place in range(0, len(body), step)]
        if plan.framing == "chunks":
            pieces = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
        self.send_pieces([head + pieces[0]] + pieces[1:], plan.pause, plan.dies)
        self.log("run_ended", run=run)
        if plan.framing == "connection_end":
            return False
        self.copy(plan, f"{plan.status} answer", head + b"".join(pieces))
        return True

    def send_pieces(self, pieces, pause, dies=False):
        for number, piece in enumerate(pieces):
            if number > 0:
                time.sleep(pause)
            self.connection.sendall(piece)
            if dies and number == len(pieces) // 2 - 1:
                time.sleep(0.02)  # The node reads what has come, so that the connection ends without a reset.
                self.log("dies")
                os.kill(os.getpid(), signal.SIGKILL)

    def stream(self, plan, run, last):
        """Streams the events after `last`. Returns whether the connection stays open."""
        framing = "connection_end" if plan.framing == "connection_end" else "chunks"
        breaks = plan.breaks_at is not None and plan.breaks_at > last and framing == "chunks"
        self.log("stream_begun", run=run, last=last, framing=framing, copy=plan.copy,
                 breaks_at=plan.breaks_at if breaks else None, dies=plan.dies)
        head = self.head(200, framing, True, f"Server-Signature: s.{run}\r\nContent-Type: text/event-stream\r\n")
        pieces = [head]
        for number in range(last + 1, EVENT_COUNT + 1):
            event = f"id: {number}\ndata: {self.attempt} {run} {number}/{EVENT_COUNT}\n\n".encode()
            if breaks and number == plan.breaks_at:
                event = event[:len(event) // 2]
            pieces.append(b"%x\r\n%s\r\n" % (len(event), event) if framing == "chunks" else event)
            if breaks and number == plan.breaks_at:
                self.send_pieces(pieces, plan.event_pause)
                self.log("broke_off", run=run, event_number=number)
                return False
        if framing == "chunks":
            pieces.append(b"0\r\n\r\n")
        self.send_pieces(pieces, plan.event_pause, plan.dies)
        self.log("run_ended", run=run)
        if framing == "connection_end":
            return False
        self.copy(plan, "stream", b"".join(pieces))
        return True

    def report(self, path):
        upstream = self.upstream
        if path == "/healthz":
            data = (f"HTTP/1.1 200 OK\r\nInstance-Id: {upstream.options.name}\r\n"
                    "Content-Length: 0\r\n\r\n").encode()
        else:
            body = json.dumps({"born": upstream.born, "active": 0})
            data = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode()
        self.connection.sendall(data)
        count = upstream.count_send(path)
        chance = random.Random(f"{upstream.options.seed} {upstream.options.name} {path} {count}")
        plan = Plan(chance, upstream.options)
        self.copy(plan, path, data)
        return True

    # Second copies.

    def copy(self, plan, what, data):
        """Sends a response once more, or has it sent where the next response is expected."""
        what = f"{what} of {self.attempt}"
        if plan.copy in ("at_once", "late"):
            if plan.copy == "late":
                time.sleep(plan.copy_delay)
            self.send_copy(what, data, plan.copy_whole, plan.copy)
        elif plan.copy == "next":
            self.due_copy = what, data, plan.copy_whole

    def send_due_copy(self):
        if self.due_copy is not None:
            copy, self.due_copy = self.due_copy, None
            self.send_copy(*copy, "next")

    def send_copy(self, what, data, whole, way):
        self.log("copied", of=what, way=way, whole=whole)
        if whole:
            self.connection.sendall(data)
        else:
            self.send_pieces([data[:len(data) // 2], data[len(data) // 2:]], 0.005)


def add_shares(parser):
    """Options of what the upstreams do how often. They are also those of a whole run."""
    for name, (share, text) in SHARES.items():
        parser.add_argument(f"--{name}", type=float, default=share, help=f"share of {text}")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--name", required=True, help="the id of this incarnation")
    parser.add_argument("--address", required=True, help="IP:PORT that it listens on")
    parser.add_argument("--store", required=True, help="IP:PORT of the store where it registers itself")
    parser.add_argument("--events", required=True, help="file to which it appends its events")
    parser.add_argument("--seed", default="1")
    parser.add_argument("--slots", type=int, default=16, help="requests that it says it runs at once")
    add_shares(parser)
    Upstream(parser.parse_args()).serve()


if __name__ == "__main__":
    main()
