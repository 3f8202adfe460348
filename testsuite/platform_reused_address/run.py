#!/usr/bin/env python3
"""Guards against a request that counts as not run though it runs, where an upstream responds twice.
The list still names the earlier id at the address of an upstream that goes on as another one. The
upstream rejects what is meant for that id (421), and rejects it once more a little later. The request's
next send goes to the upstream's present id, so to the same address; it runs, while the late copy
names the same attempt and stands where its response is expected."""

import itertools
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, Platform, Runner, config, header, route  # noqa: E402
from story import run_case  # noqa: E402

MIN_REQUESTS = 8  # of each kind
# Which of the ids at the two addresses a request is sent to first, and next, is the node's choice; in
# about three of eight requests it is the order that the case needs.
MAX_REQUESTS = 40
LIST_SECONDS = 1.5  # until the node uses the list that was written
COPY_DELAY_SECONDS = 0.02
LATE_RUN_SECONDS = 0.3  # within which a request that was refused may still run
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request hasn't run


class StutteringRunner(Runner):
    """A runner that rejects requests for another id twice."""

    rejected = set()  # (attempt id, address) of each rejection
    ran = []  # the same of each run

    def respond(self, connection, head, body):
        if header(head, "Target-Instance") in (None, self.name):
            if header(head, "Attempt-Id") is not None:
                self.ran.append((header(head, "Attempt-Id"), self.address))
            return super().respond(connection, head, body)
        attempt = header(head, "Attempt-Id")
        self.rejected.add((attempt, self.address))
        refusal = (f"HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n").encode()
        connection.sendall(refusal)
        time.sleep(COPY_DELAY_SECONDS)
        connection.sendall(refusal)
        return True


class ReusedAddressPlatform(Platform):
    """A platform with one node and two such runners."""

    runner_type = StutteringRunner

    def __init__(self):
        super().__init__(runners=2)
        self.ids = itertools.count(1)

    def __enter__(self):
        super().__enter__()
        self.store.put("op/config", config(2, routes=[
            route("order", "non_idempotent", attempts=4), route("chat", "streaming", attempts=4)]))
        self.wait_until(lambda: self.send_request("warm", "/read/ok")[0] == 404)  # The configuration is in force.
        return self

    def rename(self):
        """Each runner goes on under another id. The list still names the one before."""
        for runner in self.runners:
            for key in [key for key in list(self.store.items) if key.startswith("servers/")]:
                entry = self.store.items[key][0]
                if runner.address in str(entry) and key != f"servers/{runner.name}":
                    self.store.remove(key)
            runner.name = f"{runner.name.split('.')[0]}.{next(self.ids)}"
            runner.register()
        time.sleep(LIST_SECONDS)


def ran_where_rejected(attempts):
    """Whether one of the attempts ran at an address that had rejected it."""
    sent_again = StutteringRunner.rejected.intersection(StutteringRunner.ran)
    return any(attempt in attempts for attempt, _ in sent_again)


def send_after_rename(platform, kind, action, number):
    """Sends a request when the node knows the earlier ids as sound and the later ones not at all, so that it
    prefers the former. Returns the request's attempt id and status."""
    for other in range(4):
        platform.send_request(f"other-{kind}-{number}-{other}", f"/{kind}/{action}", "POST", b"x")
    platform.rename()
    attempt = f"{kind}-{number}"
    return attempt, platform.send_request(attempt, f"/{kind}/{action}", "POST", b"x")[0]


def check_kind(platform, transcript, kind, action):
    statuses = {}
    while len(statuses) < MIN_REQUESTS or not ran_where_rejected(statuses):
        if len(statuses) == MAX_REQUESTS:
            raise RuntimeError(f"none of {MAX_REQUESTS} requests was sent again to an address that had rejected it")
        attempt, status = send_after_rename(platform, kind, action, len(statuses))
        statuses[attempt] = status
    time.sleep(LATE_RUN_SECONDS)
    runs = Counter(run[0] for run in EXECUTIONS)
    refused = sum(status in NOT_RUN and runs[attempt] > 0 for attempt, status in statuses.items())
    twice = sum(runs[attempt] > 1 for attempt in statuses)
    transcript.write(f"{kind}: some ran at an address that had rejected them: "
                     f"{ran_where_rejected(statuses)}, said not to have run, "
                     f"but ran: {refused}, ran more than once: {twice}")


def run_checks(platform, transcript):
    check_kind(platform, transcript, "order", "echo")
    check_kind(platform, transcript, "chat", "stream")


if __name__ == "__main__":
    run_case(run_checks, ReusedAddressPlatform)
