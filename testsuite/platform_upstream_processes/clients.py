"""Callers that follow the protocol: connections that are kept, and new ones for retries, each attempt
with an id of its own. They keep all that they got, for the checks at the end."""

import itertools
import re
import time
from dataclasses import dataclass

from callers import DEADLINE_MS, Caller, Connection, parse_chunks
from checks import NOT_RUN
from platform_standins import header
from upstream import EVENT_COUNT, LONG_BODY_BYTES

IDLE_SECONDS = 6.0  # the idle timeout of callers' connections, by the configuration
TRIES = 4  # of one request, within its deadline
FINAL = (400, 401, 404, 413, 431)  # statuses after which no request is retried
KINDS = ("read", "order", "order", "chat", "draft")
EVENT_ID = re.compile(rb"id: (\d+)\ndata: .*\n\n")  # of a whole event
MAX_WAIT_SHARE = 1 / 3  # of the time left, for which a caller honours Retry-After


@dataclass
class Answer:
    """What a caller saw of one attempt. `whole` is whether the response looked complete to it, `before`
    is how many requests the connection had carried, `behind` the bytes that followed the response."""

    attempt: str
    kind: str
    node: str
    sent_at: float = 0.0
    ended_at: float = 0.0
    last: int = 0  # the event behind which the attempt asks a stream to go on
    before: int = 0
    status: int = 0
    head: str = ""
    body: bytes = b""
    framing: str = "none"
    whole: bool = False
    behind: bytes = b""
    unasked: bytes = b""  # that had come on the connection before the request was sent
    failure: str = ""
    unread: bool = False  # the connection couldn't be established, so that nothing was sent


class KeptConnection(Connection):
    """A caller's connection, with the number of requests that it carried."""

    def __init__(self, node):
        super().__init__(node)
        self.count = 0

    def waiting_bytes(self):
        """What has come though no request is waiting; None if the connection has ended."""
        self.socket.settimeout(0)
        try:
            data = self.socket.recv(65536)
        except BlockingIOError:
            return b""
        except OSError:
            return None
        return data or None

    def read_head(self):
        while True:
            while b"\r\n\r\n" not in self.buffer:
                self.read()
            head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
            if not head.split()[1].startswith(b"1"):
                return head.decode("latin-1")

    def read_answer(self, answer):
        """Reads the response to the request that was sent. Raises OSError if it ends before its end."""
        answer.head = self.read_head()
        answer.status = int(answer.head.split()[1])
        if (length := header(answer.head, "Content-Length")) is not None:
            answer.framing = "length"
            answer.body, self.buffer = self.buffer, b""
            while len(answer.body) < int(length):
                self.read()
                answer.body, self.buffer = answer.body + self.buffer, b""
            answer.body, self.buffer = answer.body[:int(length)], answer.body[int(length):]
        elif "chunked" in (header(answer.head, "Transfer-Encoding") or "").lower():
            answer.framing = "chunks"
            while True:
                text, self.buffer, ended = parse_chunks(self.buffer)
                answer.body += text
                if ended:
                    break
                self.read()
        else:
            answer.framing = "connection_end"
            self.read_to_end(answer)
        answer.whole = True
        self.rests_since = time.monotonic()

    def read_to_end(self, answer):
        while True:
            answer.body, self.buffer = answer.body + self.buffer, b""
            try:
                self.read()
            except ConnectionResetError as error:
                if error.errno is not None:
                    raise  # A reset, not an orderly end.
                return


class Client(Caller):
    """A caller with one connection to each of some nodes."""

    numbers = itertools.count(1)

    def run(self):
        time.sleep(self.chance.random())
        while not self.soak.stopped.is_set():
            kind = self.chance.choice(KINDS)
            self.request(kind, f"{kind}-{next(Client.numbers)}")
            time.sleep(self.chance.uniform(0, 0.03))

    def request(self, kind, name):
        """Sends a request, and again as the protocol allows."""
        size = self.chance.choices((0, 10, 3000, LONG_BODY_BYTES + 50_000), (4, 3, 2, 1))[0]
        end = time.monotonic() + DEADLINE_MS / 1000
        last = 0
        for number in range(TRIES):
            answer = self.send(kind, f"{name}-{number}", b"b" * size, number == 0, last)
            self.soak.on_answer(answer)
            last = max([last, *(int(event) for event in EVENT_ID.findall(answer.body))])
            left = end - time.monotonic()
            if not self.may_retry(answer) or last >= EVENT_COUNT or left < 0.2 or self.soak.stopped.is_set():
                return
            wait = header(answer.head, "Retry-After")
            time.sleep(min(float(wait), left * MAX_WAIT_SHARE) if wait else 0.02)

    @staticmethod
    def may_retry(answer):
        """Streams that can be resumed are taken up again after a broken connection."""
        if answer.status in FINAL or 200 <= answer.status < 300 and answer.whole:
            return False
        if answer.kind in ("order", "chat"):
            return answer.unread or answer.status in NOT_RUN
        return True

    def send(self, kind, attempt, body, kept, last):
        node = self.chance.choice(self.home)
        answer = Answer(attempt, kind, node.name, sent_at=time.monotonic(), last=last)
        connection = None
        try:
            connection = self.connection_to(node, kept, answer)
            answer.before, connection.count = connection.count, connection.count + 1
            answer.sent_at = time.monotonic()
            self.send_and_read(connection, answer, body)
            answer.behind = connection.buffer
            if answer.behind or answer.framing == "connection_end" or self.says_close(answer) or not kept:
                self.close(connection)
        except OSError as error:
            answer.failure = repr(error)
            answer.unread = connection is None
            if connection is not None:
                answer.body += connection.buffer if answer.framing != "chunks" else b""
                self.close(connection)
        answer.ended_at = time.monotonic()
        return answer

    def send_and_read(self, connection, answer, body):
        """A node may respond before it has read the body and close, so a failed send is followed by a read."""
        try:
            extra = f"Last-Event-Id: {answer.last}\r\n" if answer.last else ""
            connection.send(answer.attempt, f"/{answer.kind}/x", body, extra, cut=self.cut_place())
        except OSError as error:
            connection.sent_at = time.monotonic()
            answer.failure = repr(error)
        connection.read_answer(answer)

    @staticmethod
    def says_close(answer):
        return re.search(r"(?im)^connection: *close", answer.head) is not None

    def connection_to(self, node, kept, answer):
        """A connection to the node, the kept one if it may be used."""
        if kept and (connection := self.kept.get(node)) is not None:
            waiting = connection.waiting_bytes()
            answer.unasked = waiting or b""
            if waiting == b"" and connection.may_be_used(IDLE_SECONDS):
                return connection
            self.close(connection)
        connection = KeptConnection(node)
        if kept:
            self.kept[node] = connection
        return connection

    def close(self, connection):
        connection.socket.close()
        if self.kept.get(connection.node) is connection:
            del self.kept[connection.node]
