"""Stand-ins for the platform that forwarding nodes run on: its metadata store, its
runners (the upstreams) and the cloud API. They run as threads of this process; the
forwarding nodes are real processes."""

import base64
import json
import os
import re
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlparse

HOST = "platform.example"
KEY = "key-of-ada"  # API key of the customer "ada"
# First lines of a request; more header fields can follow.
CALLER_REQUEST_HEAD = f"POST /read/ok HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n".encode()
BUILD = Path(os.environ.get("POLLENLEDGE_BUILD", "build"))


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def free_peer_port():
    """A port that is free for both TCP and UDP."""
    while True:
        port = free_port(socket.SOCK_DGRAM)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("0.0.0.0", port))
                return port
            except OSError:
                continue


class ClosedPort:
    """A port at which connects fail for as long as this object lives. One that is only free may be
    taken by another case, or by the connecting socket itself."""

    def __init__(self, host="127.0.0.1"):
        self.holder = socket.socket()
        self.holder.bind((host, 0))
        self.address = f"{host}:{self.holder.getsockname()[1]}"


class Server(ThreadingHTTPServer):
    """An HTTP server that does not report connections lost to killed clients."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Store:
    """The metadata store with ranges, watches, transactions and leases. It can be restored
    from an older copy, which begins a new era."""

    def __init__(self):
        self.lock = threading.Condition()
        self.items = {}  # key: (value, revision)
        self.events = []
        self.revision = 1
        self.era = 1
        self.leases = {}  # id: (end, time to live in seconds)
        self.lease_of = {}  # key: id
        self.down = False  # while set, GET requests get status 503
        self.failing_calls = 0  # this many GET requests get status 503
        self.list_count = 0  # listings so far
        self.watch_cuts = 0  # times that all waiting watches were cut
        self.watches = Counter()  # that wait, by prefix
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                query = {k: v[0] for k, v in parse_qs(urlparse(self.path).query).items()}
                response = store.get(urlparse(self.path).path, query)
                if response is None:
                    self.close_connection = True  # A watch that was cut.
                else:
                    self.reply(*response)

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.reply(*store.post(self.path, json.loads(body or "{}")))

            def do_DELETE(self):
                store.end_lease(int(self.path.rsplit("/", 1)[1]))
                self.reply(200, {})

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.send_header("Store-Era", str(store.era))
                self.end_headers()
                self.wfile.write(data)

        self.server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def expire_leases(self):
        while True:
            time.sleep(0.05)
            with self.lock:
                ended = [lease for lease, (end, _) in self.leases.items() if end < time.monotonic()]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease):
        with self.lock:
            self.leases.pop(lease, None)
            keys = [key for key, owner in self.lease_of.items() if owner == lease]
            for key in keys:
                del self.lease_of[key]
                self.remove(key)

    def copy(self):
        """A copy to restore the store from."""
        with self.lock:
            return dict(self.items), self.revision

    def restore(self, copy, later=()):
        """Restores the store from an older copy. `later` are entries (key, value, revision)
        that are written again, in order."""
        with self.lock:
            self.items, self.revision = dict(copy[0]), copy[1]
            self.leases.clear()
            self.lease_of.clear()
            self.events = []
            self.era += 1
            for key, value, revision in later:
                assert revision > self.revision
                self.items[key] = (value, revision)
                self.events.append(key)
                self.revision = revision
            self.lock.notify_all()

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            self.items[key] = (value, self.revision)
            self.events.append(key)
            self.lock.notify_all()

    def remove(self, key):
        with self.lock:
            self.revision += 1
            self.items.pop(key, None)
            self.events.append(key)
            self.lock.notify_all()

    def cut_watches(self):
        """Closes the connections of all watches that wait."""
        with self.lock:
            self.watch_cuts += 1
            self.lock.notify_all()

    def waiting_watches(self, prefix):
        with self.lock:
            return self.watches[prefix]

    def item(self, key):
        value, revision = self.items[key]
        data = value if isinstance(value, bytes) else value.encode()
        return {"key": key, "value": base64.b64encode(data).decode(),
                "revision": revision, "as_of": self.revision}

    def get(self, path, query):
        with self.lock:
            if self.down:
                return 503, {}
            if self.failing_calls > 0:
                self.failing_calls -= 1
                return 503, {}
            if path == "/-/kv-key":
                key = query["key"]
                return (200, self.item(key)) if key in self.items else (404, {})
            if path == "/-/kv-range":
                self.list_count += 1
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]))
                return 200, {"entries": [self.item(k) for k in keys],
                             "has_more": False, "as_of": self.revision}
            after, era = int(query["after"]), self.era
            if after > self.revision:
                return 410, {}
            cuts = self.watch_cuts
            self.watches[query["prefix"]] += 1
            self.lock.wait_for(lambda: self.revision > after or self.era > era or self.watch_cuts > cuts,
                               int(query["wait_ms"]) / 1000)
            self.watches[query["prefix"]] -= 1
            if self.watch_cuts > cuts:
                return None
            if self.era > era and after > self.revision:
                return 410, {}
            changed = [self.item(k) for k in sorted(self.items)
                       if k.startswith(query["prefix"]) and self.items[k][1] > after]
            gone = [{"key": k, "revision": self.revision, "deleted": True}
                    for k in set(self.events)
                    if k.startswith(query["prefix"]) and k not in self.items]
            return 200, {"events": changed + gone, "as_of": self.revision}

    def post(self, path, body):
        if path == "/-/kv-lease":
            with self.lock:
                lease = max(self.leases, default=0) + 1
                seconds = body["ttl_ms"] / 1000
                self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if path.startswith("/-/kv-keep/"):
            with self.lock:
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                seconds = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"ttl_ms": int(seconds * 1000)}
        with self.lock:
            if any(item.get("lease", 0) not in (0, *self.leases) for item in body["put"]):
                return 404, {}
            for row in body["expected_rev"]:
                current_revision = self.items.get(row["key"], (None, 0))[1]
                if current_revision != row["revision"]:
                    return 412, {"entries": []}
        for item in body["put"]:
            self.put(item["key"], base64.b64decode(item["value"]).decode())
            self.lease_of.pop(item["key"], None)
            if item.get("lease", 0) != 0:
                self.lease_of[item["key"]] = item["lease"]
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}


class Cloud:
    """The cloud API. Records every call (path, fencing token, body), and by whom."""

    def __init__(self):
        self.calls = []
        self.owners = []  # the node that made each call
        cloud = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                cloud.owners.append(self.headers["Duty-Owner"])
                cloud.calls.append((self.path, int(self.headers["Fencing-Token"]), body))
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.server = Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_port}"


def read_head(connection, buffer):
    """Reads the head of a request. Returns it and the bytes after it; the head is None if the
    connection was closed."""
    while b"\r\n\r\n" not in buffer:
        data = connection.recv(65536)
        if not data:
            return None, b""
        buffer += data
    head, rest = buffer.split(b"\r\n\r\n", 1)
    return head.decode(), rest


def read_body(connection, head, buffer):
    """Reads the body of a request whose head was read. Returns it and the bytes after it."""
    size = int(header(head, "Content-Length") or 0)
    while len(buffer) < size:
        data = connection.recv(65536)
        if not data:
            raise ConnectionResetError
        buffer += data
    return buffer[:size], buffer[size:]


def read_message(connection, buffer):
    """Reads one request. Returns its head, its body and the bytes after it; the head is
    None if the connection was closed."""
    head, rest = read_head(connection, buffer)
    return (None, b"", b"") if head is None else (head, *read_body(connection, head, rest))


def header(head, name):
    """The value of a header field, or None."""
    found = re.search(rf"(?im)^{name}: *(.*?)\r?$", head)
    return found.group(1) if found else None


def reset_connection(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass  # Closed already.


class Runner:
    """A runner (an upstream). The last part of the request's path selects the do_* method
    that responds; do_ok is the default. "shed" rejects the first attempt as not run."""

    def __init__(self, name, store=None, version="v1", slots=8, host="127.0.0.1"):
        self.name = name
        self.store = store  # where it registers itself, if set
        self.version = version  # of its software
        self.slots = slots  # requests that it says it runs at once
        self.public_address = None  # where it says it can be reached, if not at `address`
        self.start_count = 0
        self.executed_requests = []  # (attempt id, head, body) of each request that ran
        self.caller_disconnected = threading.Event()  # set once a caller has disconnected
        self.signals = {}  # header fields that it adds to its responses
        self.arrivals = []  # (time, attempt id) of each request, also of those not run
        self.refuses = False  # while set, it rejects each request as not run
        self.signalled = {}  # time of the first response with `signals`, by attempt id
        self.listener = socket.create_server((host, 0), backlog=128)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.shed = set()
        self.lock = threading.Lock()
        self.connections = set()
        self.request_counts = {}  # requests received so far, by connection
        self.refused_on = set()  # (attempt id, connection) of refusals that it repeats late
        self.report = None  # the bytes of its report, if they aren't the usual ones
        self.repeats_before_report = False  # On a used connection, an earlier response comes first.
        self.start()

    def start(self):
        self.start_count += 1
        self.register()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def register(self):
        if self.store is not None:
            self.store.put(f"servers/{self.name}", json.dumps(
                {"service": "work", "address": self.public_address or self.address, "zone": "a", "state": "ready",
                 "version": self.version, "batch_slots": self.slots, "born": self.start_count}))

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return  # The runner has crashed.
            with self.lock:
                if self.listener is not listener:
                    reset_connection(connection)
                    continue
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def crash(self):
        """Stops listening and resets all connections, as a crashed process does. Returns
        False if the runner is already down."""
        with self.lock:
            if self.listener is None:
                return False
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = None
            for connection in self.connections:
                reset_connection(connection)
            self.connections.clear()
        return True

    def leave(self):
        """Ends for good: crashes and removes its entry."""
        self.crash()
        self.store.remove(f"servers/{self.name}")

    def restart(self, version=None):
        """Restarts the runner with the same id and address, as another version if one is
        given."""
        self.version = version or self.version
        ip, port = self.address.split(":")
        with self.lock:
            self.listener = socket.create_server((ip, int(port)), backlog=128)
        self.start()

    def serve(self, connection):
        buffer = b""
        try:
            while True:
                head, body, buffer = read_message(connection, buffer)
                if head is None or not self.respond(connection, head, body):
                    break
        except OSError:
            pass
        with self.lock:
            self.connections.discard(connection)
            self.request_counts.pop(connection, None)
        connection.close()

    def respond(self, connection, head, body):
        with self.lock:
            self.request_counts[connection] = self.request_counts.get(connection, 0) + 1
        path = head.split(" ")[1].split("?")[0]
        if path == "/-/report":
            if self.repeats_before_report and self.request_counts[connection] > 1:
                connection.sendall(self.complete_response("earlier", b"other"))
                time.sleep(0.05)
            if self.report is not None:
                connection.sendall(self.report)
                return b"Connection: close" not in self.report
            report = json.dumps({"born": self.start_count, "active": 0}).encode()
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               b"Content-Length: %d\r\n\r\n%s" % (len(report), report))
            return True
        attempt = header(head, "Attempt-Id")
        self.arrivals.append((time.monotonic(), attempt))
        action = path.rsplit("/", 1)[-1]
        if header(head, "Target-Instance") != self.name:
            connection.sendall((f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\n"
                                "Content-Length: 0\r\n\r\n").encode())
            return True
        if self.refuses:
            connection.sendall((f"HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                                f"{self.signal_fields(attempt)}Content-Length: 0\r\n\r\n").encode())
            return True
        if action == "shed" and attempt not in SHED_ATTEMPTS:
            SHED_ATTEMPTS.add(attempt)
            connection.sendall((f"HTTP/1.1 503 Full\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n").encode())
            return True
        self.executed_requests.append((attempt, head, body))
        segments = [part.split(":")[0] for part in (header(head, "Prompt-Prefix") or "").split(",")]
        if CRASHING_SEGMENTS.intersection(segments[:-1]):
            EXECUTIONS.append((attempt, self.name, None))
            time.sleep(0.05)
            # The head is sent before the runner crashes.
            connection.sendall((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n").encode())
            return self.do_crash(connection, attempt)
        EXECUTIONS.append((attempt, self.name, header(head, "Last-Event-Id")))
        return getattr(self, "do_" + action, self.do_ok)(connection, attempt)

    def complete_response(self, attempt, text=b"done", status="200 OK"):
        echo = "" if attempt is None else f"Attempt-Id: {attempt}\r\n"  # The caller sent no id.
        return (f"HTTP/1.1 {status}\r\n{echo}Server-Signature: s.{self.name}\r\n"
                f"{self.signal_fields(attempt)}Content-Length: {len(text)}\r\n\r\n").encode() + text

    def signal_fields(self, attempt):
        """The header fields by which the runner states something about itself."""
        signals = dict(self.signals)
        if signals:
            self.signalled.setdefault(attempt, time.monotonic())
        return "".join(f"{name}: {value}\r\n" for name, value in signals.items())

    def signal(self, **signals):
        """Sets these fields; underscores stand for hyphens."""
        self.arrivals.clear()
        self.signalled.clear()
        self.signals = {name.replace("_", "-"): value for name, value in signals.items()}

    def do_ok(self, connection, attempt):
        connection.sendall(self.complete_response(attempt))
        return True

    def do_echo(self, connection, attempt):
        """Responds with the id of the attempt."""
        connection.sendall(self.complete_response(attempt, attempt.encode()))
        return True

    def do_emptyid(self, connection, attempt):
        """Responds with an empty id."""
        connection.sendall(self.complete_response(""))
        return True

    def do_large(self, connection, attempt):
        connection.sendall(self.complete_response(attempt, b"x" * LARGE_RESPONSE_BYTES))
        return True

    def do_slowecho(self, connection, attempt):
        time.sleep(0.15)
        return self.do_echo(connection, attempt)

    # Responds with 500 to the first run of a request, and with 200 afterwards.
    def do_fail(self, connection, attempt):
        failed = sum(1 for run in EXECUTIONS if run[0] == attempt) == 1
        connection.sendall(
            self.complete_response(attempt, b"no", "500 Oops") if failed
            else self.complete_response(attempt)
        )
        return True

    def do_versions(self, connection, attempt):
        """Streams VERSIONED_EVENTS events, or the rest of them, slowly. Each event holds the
        version of this runner's software."""
        version = self.version
        connection.sendall(CHUNKED.replace(b"HEAD", f"Attempt-Id: {attempt}\r\n"
                                           f"Server-Signature: s.{self.name}\r\n".encode()))
        delivered = int([run for run in EXECUTIONS if run[0] == attempt][-1][2] or 0)
        for number in range(delivered + 1, VERSIONED_EVENTS + 1):
            event = f"id: {number}\ndata: {version}\n\n".encode()
            connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            time.sleep(VERSIONED_EVENT_SECONDS)
        connection.sendall(b"0\r\n\r\n")
        return True

    def sleep(self, connection, attempt, seconds):
        time.sleep(seconds)
        connection.sendall(self.complete_response(attempt))
        return True

    def do_sleep600(self, connection, attempt):
        return self.sleep(connection, attempt, 0.6)

    def do_sleep1500(self, connection, attempt):
        return self.sleep(connection, attempt, 1.5)

    def do_sleep3000(self, connection, attempt):
        return self.sleep(connection, attempt, 3.0)

    def do_sleep4800(self, connection, attempt):
        return self.sleep(connection, attempt, 4.8)

    # Closes the connection without a response.
    def do_cut(self, connection, attempt):
        return False

    def do_extra(self, connection, attempt):
        """Sends responses to another request before and after the expected response."""
        connection.sendall(
            self.complete_response("feed", b"other") + self.complete_response(attempt)
            + self.complete_response("feed", b"x")
        )
        return True

    # Omits the content length and ends the response with an orderly close.
    def do_unframed(self, connection, attempt):
        connection.sendall(self.complete_response(attempt).replace(b"Content-Length: 4\r\n", b""))
        return False

    # Omits the content length and ends the response with a reset.
    def do_unframedcut(self, connection, attempt):
        connection.sendall(self.complete_response(attempt).replace(b"Content-Length: 4\r\n", b""))
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    def do_crash(self, connection, attempt):
        """Crashes the runner; it restarts after RUNNER_RESTART_SECONDS."""
        if self.crash():
            CRASHES.append((attempt, self.name, time.monotonic()))
            restart_timer = threading.Timer(RUNNER_RESTART_SECONDS, self.restart)
            restart_timer.daemon = True
            restart_timer.start()
        return False

    def do_unsigned(self, connection, attempt):
        connection.sendall(
            self.complete_response(attempt).replace(b"Server-Signature", b"X-Other")
        )
        return True

    def do_wait(self, connection, attempt):
        """Runs until the caller disconnects."""
        try:
            connection.recv(1)
        except ConnectionResetError:
            pass  # A reset also counts as a disconnect.
        self.caller_disconnected.set()
        return False

    def send_endless(self, connection, attempt, prefix, repeated):
        """Sends `prefix`, then `repeated` until the node closes the connection or
        ENDLESS_BYTES_LIMIT is reached. Records the number of bytes sent."""
        head = f"Attempt-Id: {attempt}\r\nServer-Signature: s\r\n".encode()
        sent = 0
        # Data in the socket buffers counts as sent, so the send buffer is kept small.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        try:
            connection.sendall(prefix.replace(b"HEAD", head))
            while sent < ENDLESS_BYTES_LIMIT:
                connection.sendall(repeated)
                sent += len(repeated)
        except OSError:
            pass
        ENDLESS_BYTES_SENT[attempt] = sent
        return False

    def do_endlesshead(self, connection, attempt):
        return self.send_endless(connection, attempt, b"HTTP/1.1 200 OK\r\nHEAD", b"X: " + b"x" * 997)

    def do_endlessfields(self, connection, attempt):
        return self.send_endless(connection, attempt, b"HTTP/1.1 200 OK\r\nHEAD", b"X: x\r\n" * 200)

    def do_endlessbody(self, connection, attempt):
        return self.send_endless(connection, attempt, b"HTTP/1.1 200 OK\r\nHEAD\r\n", b"x" * 4096)

    def do_endlesschunks(self, connection, attempt):
        return self.send_endless(connection, attempt, CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n")

    def do_endlessextension(self, connection, attempt):
        return self.send_endless(connection, attempt, CHUNKED + b"1;a=", b"x" * 4096)

    def do_endlessextensions(self, connection, attempt):
        """Small chunks, each with a long extension."""
        return self.send_endless(connection, attempt, CHUNKED, b"1;a=" + b"x" * 4000 + b"\r\nx\r\n")

    def do_endlesstrailers(self, connection, attempt):
        return self.send_endless(connection, attempt, CHUNKED + b"0\r\n", b"X: x\r\n" * 200)

    def do_endlessinterim(self, connection, attempt):
        return self.send_endless(connection, attempt, b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 40)

    def do_endlessforeign(self, connection, attempt):
        """Sends responses to another request without end."""
        return self.send_endless(connection, attempt, b"", self.complete_response("feed", b"other") * 10)

    def do_endlessevent(self, connection, attempt):
        """Sends one event that never ends."""
        return self.send_endless(connection, attempt, CHUNKED, b"400\r\ndata: " + b"x" * 1017 + b"\n\r\n")

    def do_longstream(self, connection, attempt):
        """Streams LONG_STREAM_BYTES in events of 16 KB, as fast as they are taken."""
        head = f"Attempt-Id: {attempt}\r\nServer-Signature: s\r\n".encode()
        connection.sendall(CHUNKED.replace(b"HEAD", head))
        for i in range(LONG_STREAM_BYTES // 16384):
            event = b"id: %d\ndata: %s\n\n" % (i + 1, b"x" * 16384)
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True

    def do_heldevent(self, connection, attempt):
        """Streams an event and HELD_BYTES of the next one, which is below the limit on one event,
        and then nothing until the caller closes the connection."""
        head = f"Attempt-Id: {attempt}\r\nServer-Signature: s\r\n".encode()
        first = b"e\r\nid: 1\ndata: e\n\r\n1\r\n\n\r\n"
        part = b"400\r\ndata: " + b"x" * 1017 + b"\n\r\n"
        connection.sendall(CHUNKED.replace(b"HEAD", head) + first + part * (HELD_BYTES // len(part)))
        return self.do_wait(connection, attempt)

    def stream(self, connection, attempt, first, last, end, last_chunk=b"0\r\n\r\n"):
        """Streams the events `first` to `last`, then the end of the stream if `end` is set,
        else half an event. Returns whether the connection stays open."""
        connection.sendall((f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n"
                            f"{self.signal_fields(attempt)}"
                            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for i in range(first, last + 1):
            event = f"id: {i}\ndata: e{i}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        if end:
            connection.sendall(last_chunk)
        else:
            connection.sendall(b"9\r\nid: 99\nda\r\n")  # Half an event.
        return end

    def do_stream(self, connection, attempt):
        return self.stream(connection, attempt, 1, 4, True)

    # Breaks off the first run after two events. Later runs send the remaining events.
    def do_break(self, connection, attempt):
        mine = [run for run in EXECUTIONS if run[0] == attempt]
        if len(mine) == 1:
            return self.stream(connection, attempt, 1, 2, False)
        return self.stream(connection, attempt, int(mine[-1][2] or 0) + 1, 4, True)


    def do_breakunnamed(self, connection, attempt):
        """Breaks the first run off after two events. The next runner refuses the rest without the
        request's id and closes the connection, as the last one does after the rest."""
        mine = [run for run in EXECUTIONS if run[0] == attempt]
        if len(mine) == 1:
            return self.stream(connection, attempt, 1, 2, False)
        if len(mine) == 2:
            connection.sendall(b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                               b"Connection: close\r\n\r\n")
            return False
        self.stream(connection, attempt, int(mine[-1][2] or 0) + 1, 4, True)
        return False

    def break_then_fail(self, connection, attempt, status):
        """Breaks the first run off after two events. Later runs respond with an error."""
        if sum(1 for run in EXECUTIONS if run[0] == attempt) == 1:
            return self.stream(connection, attempt, 1, 2, False)
        connection.sendall(self.complete_response(attempt, b"error text", status))
        return True

    def do_breakthen404(self, connection, attempt):
        return self.break_then_fail(connection, attempt, "404 Not Found")

    def do_breakthen500(self, connection, attempt):
        return self.break_then_fail(connection, attempt, "500 Oops")

    def do_breakthen302(self, connection, attempt):
        return self.break_then_fail(connection, attempt, "302 Found")

    def do_refusedagain(self, connection, attempt):
        """Writes an earlier refusal, which names no request, once more before the response."""
        connection.sendall(b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        time.sleep(0.05)
        connection.sendall(self.complete_response(attempt))
        return True

    def fail_again(self, connection, attempt, status):
        """Writes the failure of an earlier request on the connection, which names no request, once
        more before the response."""
        if self.request_counts[connection] > 1:
            connection.sendall(f"HTTP/1.1 {status}\r\nServer-Signature: s\r\nContent-Length: 7\r\n\r\n"
                               "earlier".encode())
            time.sleep(0.05)
        connection.sendall(self.complete_response(attempt))
        return True

    def do_again404(self, connection, attempt):
        return self.fail_again(connection, attempt, "404 Not Found")

    def do_again500(self, connection, attempt):
        return self.fail_again(connection, attempt, "500 Oops")

    def do_again504(self, connection, attempt):
        return self.fail_again(connection, attempt, "504 Late")

    def do_unnamed404(self, connection, attempt):
        """Responds with a failure that names no request."""
        connection.sendall(b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 3\r\n\r\nown")
        return False

    def refuse(self, connection, attempt, text=b""):
        connection.sendall(self.complete_response(attempt, text, "503 Full").replace(
            b"Server-Signature: ", b"Not-Executed: 1\r\nX-Runner: "))

    def begin_and_fall_silent(self, connection, attempt):
        """Streams two events and then nothing, if this is the first run of the request. Returns
        False otherwise."""
        with STREAM_RUNS_LOCK:
            if any(run[0] == attempt for run in STREAM_RUNS):
                return False
            STREAM_RUNS.append((attempt, self.name))
        self.stream(connection, attempt, 1, 2, True, last_chunk=b"")
        self.do_wait(connection, attempt)
        return True

    def do_refusedlate(self, connection, attempt):
        """The first runner begins the stream and falls silent. The other one refuses it the first
        time and runs the rest the second time. On a connection on which it has refused the request,
        it writes that refusal once more first."""
        if self.begin_and_fall_silent(connection, attempt):
            return False
        began_here = any(run == (attempt, self.name) for run in STREAM_RUNS[:1])
        is_first = not any(refused[0] == attempt for refused in self.refused_on)
        if began_here or is_first:
            self.refused_on.add((attempt, connection))
            self.refuse(connection, attempt)
            return True
        if (attempt, connection) in self.refused_on:
            self.refuse(connection, attempt)
            time.sleep(0.05)
        STREAM_RUNS.append((attempt, self.name))
        last = int([run for run in EXECUTIONS if run[0] == attempt][-1][2] or 0)
        return self.stream(connection, attempt, last + 1, 4, True)

    def do_refusedlarge(self, connection, attempt):
        """The first runner begins the stream and falls silent; afterwards each refuses it, with a
        large body."""
        if self.begin_and_fall_silent(connection, attempt):
            return False
        self.refuse(connection, attempt, b"x" * LARGE_RESPONSE_BYTES)
        return True

    def cut_head(self, connection, attempt, head):
        """Stops in the head of the first run's response and closes the connection."""
        if sum(1 for run in EXECUTIONS if run[0] == attempt) > 1:
            return self.do_ok(connection, attempt)
        connection.sendall(head.replace("ID", attempt).encode())
        return False

    def do_cutstatus(self, connection, attempt):
        return self.cut_head(connection, attempt, "HTTP/1.1 200 OK\r\n")

    def do_cuthead(self, connection, attempt):
        return self.cut_head(connection, attempt, "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n"
                             "Server-Signature: s\r\nContent-Le")

    def do_cutline(self, connection, attempt):
        return self.cut_head(connection, attempt, "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n"
                             "Server-Signature: s\r\nContent-Length: 4\r\n")

    def stream_until_close(self, connection, attempt, first, last, end=b"", head="HTTP/1.1 200 OK"):
        """Streams the events `first` to `last` and then `end`, without a length or chunks, so
        that the end of the connection is the end of the stream."""
        events = "".join(f"id: {i}\ndata: e{i}\n\n" for i in range(first, last + 1))
        connection.sendall(f"{head}\r\nAttempt-Id: {attempt}\r\nServer-Signature: s\r\n\r\n{events}"
                           .encode() + end)
        return False

    def stream_rest_until_close(self, connection, attempt, start):
        """Calls `start` for the first run of the request. Later runs send the rest."""
        mine = [run for run in EXECUTIONS if run[0] == attempt]
        if len(mine) == 1:
            return start()
        return self.stream_until_close(connection, attempt, int(mine[-1][2] or 0) + 1, 4)

    def do_closed(self, connection, attempt):
        return self.stream_until_close(connection, attempt, 1, 4)

    def do_closed10(self, connection, attempt):
        return self.stream_until_close(connection, attempt, 1, 4, head="HTTP/1.0 200 OK")

    def do_closedheader(self, connection, attempt):
        return self.stream_until_close(connection, attempt, 1, 4, head="HTTP/1.1 200 OK\r\nConnection: close")

    def do_closedinside(self, connection, attempt):
        return self.stream_rest_until_close(connection, attempt, lambda: self.stream_until_close(
            connection, attempt, 1, 2, b"id: 3\ndata: e3\n"))

    def do_closedempty(self, connection, attempt):
        return self.stream_rest_until_close(connection, attempt, lambda: self.stream_until_close(
            connection, attempt, 1, 0))

    def do_closedreset(self, connection, attempt):
        def start():
            self.stream_until_close(connection, attempt, 1, 2)
            time.sleep(0.1)  # The node reads the events before the reset discards them.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return False
        return self.stream_rest_until_close(connection, attempt, start)


EXECUTIONS = []  # (attempt id, runner, Last-Event-Id) in order, over all runners
SHED_ATTEMPTS = set()
STREAM_RUNS = []  # (attempt id, runner) of the streams that begin and fall silent, in order
STREAM_RUNS_LOCK = threading.Lock()
VERSIONED_EVENTS = 40
VERSIONED_EVENT_SECONDS = 0.03
CHUNKED = b"HTTP/1.1 200 OK\r\nHEADTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_BYTES_LIMIT = 128 * 1024 * 1024  # A runner stops at this limit, so that a test terminates.
LARGE_RESPONSE_BYTES = 3900 * 1024  # below the limit on a plain response
LONG_STREAM_BYTES = 12 * 1024 * 1024
HELD_BYTES = 900 * 1024  # of a message that doesn't end
ENDLESS_BYTES_SENT = {}  # attempt id to bytes sent by the runner
CRASHING_SEGMENTS = set()  # prompt segments that crash the runner, unless they are the last
CRASHES = []  # (attempt id, runner, time) in order, over all runners
RUNNER_RESTART_SECONDS = 1.5


def prompt_header(segments):
    """Header fields of a request to a model: its prompt's segments, as ID:TOKENS entries."""
    return f"Prompt-Prefix: {segments}\r\nModel: m\r\n"


def route(name, kind, **overrides):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "type": kind,
            "timeout_ms": 5000, "slo_ms": 1000, "priority": 1, "service": "work",
            "attempts": 2, "public": False, "resumable": False,
            "itl_target_ms": 1000, **overrides}


def config(version, **overrides):
    return json.dumps({
        "version": version,
        "routes": [route("read", "idempotent"), route("order", "non_idempotent", attempts=1),
                   route("chat", "streaming", attempts=1),
                   route("draft", "streaming", resumable=True)],
        "services": [{"name": "work", "health_path": "/healthz", "max_conns": 100}],
        "limits": {}, "tenants": [{"name": "ada", "api_keys": [KEY]}], **overrides})


class Node:
    """A forwarding node as a real process. Each node has its own loopback address; all
    use the same peer port."""

    usage_window_ms = 1000
    extra_settings = ""  # further lines of the settings file
    build = BUILD  # where the program is taken from at the next start

    def __init__(self, name, host, peer_port, peers, store, cloud):
        def address():
            return f"{host}:{free_port(host=host)}"

        self.name = name
        self.caller, self.readiness, self.admin = address(), address(), address()
        self.directory = tempfile.TemporaryDirectory()
        self.settings = Path(self.directory.name) / "node.yaml"
        self.settings.write_text(
            f"node: {name}\ndomain: a\ncaller_address: {self.caller}\n"
            f"readiness_address: {self.readiness}\nadmin_address: {self.admin}\n"
            f"peer_address: {host}:{peer_port}\npeer_hosts: {json.dumps(peers)}\n"
            f"store_address: {store.address}\ncloud_address: \"{cloud.address}\"\n"
            "key_freshness_ms: 5000\nretry_slack: 100\ngrace_ms: 8000\n"
            f"usage_window_ms: {self.usage_window_ms}\n{self.extra_settings}")
        self.log = open(Path(self.directory.name) / "node.log", "w+")
        self.start()

    def start(self):
        self.process = subprocess.Popen(
            [self.build / "src/pollen_node/pollen_node", "--config", self.settings], stdout=self.log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def close(self):
        self.kill()
        self.log.close()
        self.directory.cleanup()

    def readiness_status(self):
        try:
            return Platform.send_raw(self.readiness, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")[0]
        except OSError:
            return 0

    def read_log(self):
        return Path(self.log.name).read_text()

    def activated_tables(self):
        """Returns the versions of the tables that this node has activated, each with its source."""
        return dict(re.findall(r'"tables_in_force".*?"version":"(\d+)","source":"(\w+)"', self.read_log()))


class Platform:
    """Context manager that starts the stand-ins and the nodes. Properties and methods
    that concern a single node refer to the first one."""

    node_type = Node
    runner_type = Runner

    def __init__(self, nodes=1, runners=3, slots=8):
        self.node_count, self.runner_count, self.slots = nodes, runners, slots

    def __enter__(self):
        self.store, self.cloud = Store(), Cloud()
        self.store.put("op/config", config(1))
        self.store.put("servers/garbage", b"\xff\xfe not json")
        self.runners = [self.runner_type(f"i-{i}", self.store, slots=self.slots) for i in range(self.runner_count)]
        hosts = [f"127.0.0.{i + 1}" for i in range(self.node_count)]
        peer_port = free_peer_port()
        self.nodes = [self.node_type(f"n{i + 1}", host, peer_port, hosts[:3], self.store, self.cloud)
                      for i, host in enumerate(hosts)]
        self.wait_until(lambda: all(node.readiness_status() == 200 for node in self.nodes))
        return self

    def __exit__(self, *_):
        for node in self.nodes:
            node.close()

    @property
    def process(self):
        return self.nodes[0].process

    @property
    def caller(self):
        return self.nodes[0].caller

    @property
    def log(self):
        return self.nodes[0].log

    def readiness_status(self):
        return self.nodes[0].readiness_status()

    def serve_stories(self):
        """Adds the route "story", whose streams can be resumed, at all nodes."""
        self.store.put("op/config", config(2, routes=[
            route("read", "idempotent"),
            route("story", "streaming", resumable=True, attempts=4, timeout_ms=8000)]))
        self.wait_until(lambda: all(self.send_request("ready", "/story/ok", node=node)[0] != 404
                                    for node in range(self.node_count)))

    @staticmethod
    def wait_until(condition, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise TimeoutError("timed out while waiting for a condition")
            time.sleep(0.02)

    @staticmethod
    def connect(address):
        ip, port = address.split(":")
        return socket.create_connection((ip, int(port)), timeout=15)

    @classmethod
    def send_raw(cls, address, data):
        """Sends bytes and returns status, head and body of the response. The body is None if
        the response was truncated."""
        with cls.connect(address) as connection:
            connection.sendall(data)
            return cls.read_response(connection)

    @staticmethod
    def read_response(connection):
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            data = connection.recv(65536)
            if not data:
                return 0, "", b""
            buffer += data
        head, body = buffer.split(b"\r\n\r\n", 1)
        head = head.decode()
        length = header(head, "Content-Length")

        def is_complete():
            return len(body) >= int(length) if length else body.endswith(b"0\r\n\r\n")

        try:
            while not is_complete():
                data = connection.recv(65536)
                if not data:
                    return int(head.split()[1]), head, None  # Incomplete.
                body += data
        except ConnectionResetError:
            return int(head.split()[1]), head, None
        return int(head.split()[1]), head, body

    @staticmethod
    def request(attempt, path):
        """The bytes of a GET request."""
        return (f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                f"Api-Key: {KEY}\r\n\r\n").encode()

    def send_request(self, attempt, path, method="GET", body=b"", key=KEY, extra="", node=0):
        return self.send_raw(self.nodes[node].caller, (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
            f"Api-Key: {key}\r\nDeadline-Ms: 5000\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body)


class BackgroundLoad:
    """Sends harmless requests through all nodes, one thread per node. `send_one` is called
    with the node and the request's number and returns what `Platform.send_request` does."""

    def __init__(self, platform, send_one):
        self.send_one = send_one
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.responses = []
        self.threads = [threading.Thread(target=self.send_loop, args=(node,), daemon=True)
                        for node in range(platform.node_count)]
        for thread in self.threads:
            thread.start()

    def send_loop(self, node):
        number = 0
        while not self.stopped.is_set():
            number += 1
            try:
                status, _, body = self.send_one(node, number)
            except OSError:  # The node was killed.
                status, body = 0, None
            if status != 0:
                with self.lock:
                    self.responses.append(status if body is not None else "truncated")
            self.stopped.wait(0.02)

    def take(self):
        """Returns the number of responses by status since the last call."""
        with self.lock:
            responses, self.responses = self.responses, []
        return Counter(responses)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()
