"""Callers that keep their connections, one by one and in crowds."""

import itertools
import random
import re
import selectors
import signal
import socket
import threading
import time
from collections import namedtuple

from platform_standins import HOST, KEY, VERSIONED_EVENTS, Platform
from series import CHANGING_ROUTES, CUSTOMERS

LOST_SLACK_SECONDS = 0.2  # A request may cross a close that comes within this time.
REUSED_REST = 0.8  # of the idle timeout, for which a connection may rest before it is used again
ANSWER_SECONDS = 7.0  # for which a caller waits
DEADLINE_MS = 3000
HOME_NODES = 4  # to which one caller keeps connections
STREAM_TRIES = 8
CONNECT_SECONDS = 2.0  # for which a crowd tries to connect
CROWD_TICK_SECONDS = 0.3  # from the stop of a node to the requests of its crowd
DRAIN_SECONDS = 2.5  # from SIGTERM to that stop; idle connections are closed after 3.2 s
TCP_ESTABLISHED = 1

Cut = namedtuple("Cut", "name node process sent_at ended_at begun")
Cut.__doc__ = """A request whose connection ended without a whole answer, more than LOST_SLACK_SECONDS after
its last byte was sent. The times are those that the caller saw."""


def parse_response(buffer):
    """Status, body, whether the connection ends with it, and the bytes behind it; None if the
    response isn't whole."""
    if b"\r\n\r\n" not in buffer:
        return None
    head, rest = buffer.split(b"\r\n\r\n", 1)
    length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
    if len(rest) < length:
        return None
    return int(head.split()[1]), rest[:length], bool(re.search(rb"(?i)connection: close", head)), rest[length:]


def parse_chunks(buffer):
    """The bytes of the whole chunks, the bytes behind them, and whether the last chunk is there."""
    text = b""
    while (line := buffer.find(b"\r\n")) >= 0:
        size = int(buffer[:line], 16)
        if len(buffer) < line + size + 4:
            break
        text += buffer[line + 2:line + 2 + size]
        buffer = buffer[line + size + 4:]
        if size == 0:
            return text, buffer, True
    return text, buffer, False


class Connection:
    """A connection to a node, for one request after another."""

    def __init__(self, node):
        self.socket = Platform.connect(node.caller)
        self.node, self.process = node, node.process
        self.name, self.buffer = "", b""
        self.sent_at = 0.0
        self.rests_since = time.monotonic()
        self.outlived_slack = False

    def may_be_used(self, idle_seconds):
        return time.monotonic() - self.rests_since <= REUSED_REST * idle_seconds

    def send(self, name, path, body, extra="", key=KEY, cut=None):
        """Sends a request, in two segments if `cut` chooses a place in its head."""
        self.name, self.buffer, self.outlived_slack, self.sent_at = name, b"", False, 0.0
        data = (f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {name}\r\nApi-Key: {key}\r\n"
                f"Deadline-Ms: {DEADLINE_MS}\r\n{extra}Content-Length: {len(body)}\r\n\r\n").encode()
        self.socket.settimeout(ANSWER_SECONDS)
        if cut is not None:
            place = cut(len(data))
            self.socket.sendall(data[:place])
            time.sleep(0.002)
            data = data[place:]
        self.socket.sendall(data + body)
        self.sent_at = time.monotonic()

    def note_open(self):
        """Notes that the connection outlived the slack. The kernel's state is asked, since this
        thread may be late: the end that it sees next may have come long before."""
        if time.monotonic() - self.sent_at > LOST_SLACK_SECONDS:
            state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
            self.outlived_slack = self.outlived_slack or state == TCP_ESTABLISHED

    def read(self):
        """Reads into the buffer. Raises TimeoutError if this caller gives the answer up, another
        OSError if the connection has ended."""
        while True:
            self.note_open()
            self.socket.settimeout(LOST_SLACK_SECONDS)
            try:
                part = self.socket.recv(65536)
                break
            except TimeoutError:
                if time.monotonic() - self.sent_at > ANSWER_SECONDS:
                    raise
        if not part:
            raise ConnectionResetError
        self.buffer += part

    def read_response(self):
        while (response := parse_response(self.buffer)) is None:
            self.read()
        self.rests_since = time.monotonic()
        return response

    def cut(self, begun=None):
        """The `Cut` of its request, whose connection has just ended; None if it doesn't count."""
        begun = bool(self.buffer) if begun is None else begun
        if self.sent_at == 0.0 or not self.outlived_slack:
            return None
        return Cut(self.name, self.node, self.process, self.sent_at, time.monotonic(), begun)


class Caller:
    """A caller that keeps a connection to each of some nodes until the node closes it."""

    numbers = itertools.count(1)

    def __init__(self, soak, number):
        self.soak = soak
        self.chance = random.Random(f"{soak.options.seed}-{number}")
        self.home = self.chance.sample(soak.nodes, min(HOME_NODES, len(soak.nodes)))
        self.kept = {}  # node: connection
        self.thread = threading.Thread(target=soak.guard, args=(self.run,), daemon=True)
        self.thread.start()

    def run(self):
        time.sleep(self.chance.random())
        while not self.soak.stopped.is_set():
            kind = self.chance.choice(("read", "order", "order", "story", "other"))
            name = f"{kind}-{next(Caller.numbers)}"
            if kind == "story":
                self.stream(name)
            else:
                self.plain(name, kind)
            time.sleep(self.chance.uniform(0, 0.05))

    def connect(self):
        """A connection to a node, a kept one if there is one that may be used. At times that one
        rests first; a change of the idle timeout applies at once."""
        node = self.chance.choice(self.home)
        connection = self.kept.get(node)
        if connection is not None and self.chance.random() < 0.1:
            rest = self.chance.uniform(0.3, REUSED_REST)
            while time.monotonic() - connection.rests_since < rest * self.soak.idle_seconds \
                    and not self.soak.stopped.is_set():
                time.sleep(0.01)
        if connection is not None and not connection.may_be_used(self.soak.idle_seconds):
            self.close(connection)
            connection = None
        if connection is None:
            connection = self.kept[node] = Connection(node)
        return connection

    def close(self, connection):
        connection.socket.close()
        self.kept.pop(connection.node, None)

    def end_request(self, connection, error, begun=None):
        """Closes a connection whose request failed; the request is lost unless this caller gave it up."""
        if not isinstance(error, TimeoutError) and (cut := connection.cut(begun)) is not None:
            self.soak.on_cut(cut)
        self.close(connection)

    def cut_place(self):
        """For a third of the requests, what chooses a place to cut their head."""
        return (lambda size: self.chance.randrange(1, size)) if self.chance.random() < 0.3 else None

    def plain(self, name, kind):
        sent_at = time.monotonic()
        action = self.chance.choice(("echo", "echo", "slowecho"))
        place, key = kind, KEY
        if kind == "other":
            place = f"other{self.chance.randrange(CHANGING_ROUTES)}"
            key = self.chance.choice((KEY, *CUSTOMERS.values()))
        status, body, connection = 0, b"", None
        try:
            connection = self.connect()
            connection.send(name, f"/{place}/{action}", b"b" * self.chance.choice((0, 10, 3000)), key=key,
                            cut=self.cut_place())
            status, body, ends, rest = connection.read_response()
            if rest:
                self.soak.find("MIXED", f"{name}: {len(rest)} bytes after its response")
            if ends:
                self.close(connection)
        except OSError as error:
            if connection is not None:
                self.end_request(connection, error)
        self.soak.on_response(sent_at, kind, name, status, body)

    def stream(self, name):
        """Reads a stream, and takes it up again when it breaks, at another node."""
        story, sent_at = Story(self.soak, name), time.monotonic()
        for number in range(STREAM_TRIES):
            connection = None
            try:
                connection = self.connect()
                story.begin(f"{name}-{number}")
                connection.send(story.attempt, "/story/versions", b"", story.extra(), cut=self.cut_place())
                if story.read(connection):
                    connection.rests_since = time.monotonic()
                else:
                    self.close(connection)
            except OSError as error:
                if connection is not None:
                    self.end_request(connection, error, story.status != 0)
            if story.events == VERSIONED_EVENTS or self.soak.stopped.is_set():
                break
            time.sleep(0.1)
        story.end()
        self.soak.on_stream(sent_at, story.events == VERSIONED_EVENTS)


class Story:
    """What a caller has of a stream, over all its attempts."""

    def __init__(self, soak, name):
        self.soak, self.name = soak, name
        self.events, self.versions, self.first_attempt = 0, set(), None
        self.attempt, self.status, self.text = "", 0, b""

    def begin(self, attempt):
        self.attempt, self.status, self.text = attempt, 0, b""

    def extra(self):
        return f"Last-Event-Id: {self.events}\r\nResumes: {self.first_attempt}\r\n" if self.events else ""

    def read(self, connection):
        """Reads the response to the attempt. Returns whether its connection can be used again."""
        while self.status == 0:
            connection.read()
            if b"\r\n\r\n" in connection.buffer:
                self.status = int(connection.buffer.split()[1])
        if self.status != 200:
            return not connection.read_response()[2]
        head, connection.buffer = connection.buffer.split(b"\r\n\r\n", 1)
        while not self.take(connection):
            connection.read()
        return not re.search(rb"(?i)connection: close", head)

    def take(self, connection):
        """Takes the events that have come. Returns whether the stream has ended."""
        text, connection.buffer, ended = parse_chunks(connection.buffer)
        self.text += text
        for event, version in re.findall(rb"id: (\d+)\ndata: (\S+)\n\n", self.text):
            if int(event) != self.events + 1:
                self.soak.find("ORDER", f"{self.attempt}: event {event} after {self.events}")
            self.events = int(event)
            self.first_attempt = self.first_attempt or self.attempt
            self.versions.add(version)
        self.text = self.text[self.text.rfind(b"\n\n") + 2:] if b"\n\n" in self.text else self.text
        return ended

    def end(self):
        if len(self.versions) > 1:
            self.soak.find("ORDER", f"{self.name} (first attempt {self.first_attempt}): "
                                    f"of the versions {sorted(self.versions)}")


class Crowd:
    """Kept connections to one node, more than one call of its poll returns, that all send a request
    at about the same time."""

    numbers = itertools.count(1)

    def __init__(self, soak, node):
        self.soak, self.node = soak, node
        number = next(Crowd.numbers)
        self.kind = ("read", "order")[number % 2]
        self.prefix = f"{self.kind}-crowd{number}"
        self.connections = []

    def open(self):
        """Connects. Each connection carries one request."""
        end = time.monotonic() + CONNECT_SECONDS
        while len(self.connections) < self.soak.options.crowd and time.monotonic() < end:
            try:
                self.connections.append(Connection(self.node))
            except OSError:
                time.sleep(0.02)  # The node doesn't listen.
        self.send("first")
        self.read()

    def rest(self, share, before=0.0):
        """Until `before` seconds before the first one has rested for `share` of the idle timeout."""
        while self.connections and time.monotonic() + before < min(
                connection.rests_since for connection in self.connections) + share * self.soak.idle_seconds:
            time.sleep(0.01)

    def send(self, name):
        """Sends a request on each connection that may be used again, and closes the others."""
        waiting = []
        for number, connection in enumerate(self.connections):
            try:
                if name == "first" or connection.may_be_used(self.soak.idle_seconds):
                    connection.send(f"{self.prefix}-{name}-{number}", f"/{self.kind}/echo", b"")
                    waiting.append(connection)
                    continue
            except OSError:
                pass  # Closed before the request was sent.
            connection.socket.close()
        self.connections = waiting

    def read(self):
        """Reads a response from each connection, and keeps those that can be used again."""
        waiting, kept = set(self.connections), []
        end = time.monotonic() + ANSWER_SECONDS
        with selectors.DefaultSelector() as selector:
            for connection in waiting:
                selector.register(connection.socket, selectors.EVENT_READ, connection)
            while waiting and time.monotonic() < end:
                for connection in waiting:
                    if not connection.outlived_slack:
                        connection.note_open()
                for key, _ in selector.select(LOST_SLACK_SECONDS):
                    if not self.read_one(key.data, kept):
                        selector.unregister(key.fileobj)
                        waiting.discard(key.data)
        for connection in set(self.connections).difference(kept):
            connection.socket.close()
        self.connections = kept

    def read_one(self, connection, kept):
        """Reads what has come on a connection. Returns whether more is expected."""
        status, body, ends = 0, b"", False
        try:
            connection.read()
            response = parse_response(connection.buffer)
            if response is None:
                return True
            status, body, ends, _ = response
        except OSError:
            if (cut := connection.cut()) is not None:
                self.soak.on_cut(cut)
        if status != 0 and not ends:
            connection.rests_since = time.monotonic()
            kept.append(connection)
        self.soak.on_response(connection.sent_at, self.kind, connection.name, status, body)
        return False

    def close(self):
        for connection in self.connections:
            connection.socket.close()
        self.connections = []

    def run(self, way, share, length):
        """`way` is "calm", "stop" (the node stands still while the requests are sent, for `length`
        seconds more and until the idle timeout is over) or "term" (that, while the node ends)."""
        self.open()
        number = self.soak.nodes.index(self.node)
        if way == "calm":
            self.rest(share)
            self.send("again")
            self.read()
        elif way == "stop":
            self.rest(share, CROWD_TICK_SECONDS)
            with self.soak.node_locks[number]:
                self.send_stopped(length)
            self.read()
        else:
            self.rest(share, DRAIN_SECONDS + CROWD_TICK_SECONDS)
            self.soak.end(number, signal.SIGTERM, lambda: self.send_ending(length))
        self.close()

    def send_ending(self, length):
        time.sleep(DRAIN_SECONDS)
        self.send_stopped(length)
        self.read()

    def send_stopped(self, length):
        process = self.node.process
        process.send_signal(signal.SIGSTOP)
        time.sleep(CROWD_TICK_SECONDS)
        rests_since = min((connection.rests_since for connection in self.connections), default=0.0)
        self.send("again")
        time.sleep(max(length, rests_since + self.soak.idle_seconds + CROWD_TICK_SECONDS - time.monotonic()))
        for connection in self.connections:
            connection.note_open()
        process.send_signal(signal.SIGCONT)
