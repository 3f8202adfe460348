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

REQUESTS = 8  # of each kind
LIST_SECONDS = 1.5  # until the node uses the list that was written
COPY_DELAY_SECONDS = 0.02
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request hasn't run


class StutteringRunner(Runner):
    """A runner that rejects requests for another id twice."""

    rejected = Counter()  # attempt id: how often it was rejected

    def respond(self, connection, head, body):
        if header(head, "Target-Instance") in (None, self.name):
            return super().respond(connection, head, body)
        attempt = header(head, "Attempt-Id")
        self.rejected[attempt] += 1
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


def check_kind(platform, transcript, kind, action):
    """The node knows the earlier ids as sound and the later ones not at all, so that it prefers the former."""
    refused, twice, sent_again = 0, 0, 0
    for number in range(REQUESTS):
        for other in range(4):
            platform.send_request(f"other-{kind}-{number}-{other}", f"/{kind}/{action}", "POST", b"x")
        platform.rename()
        attempt = f"{kind}-{number}"
        status, _, _ = platform.send_request(attempt, f"/{kind}/{action}", "POST", b"x")
        runs = sum(run[0] == attempt for run in EXECUTIONS)
        refused += status in NOT_RUN and runs > 0
        twice += runs > 1
        sent_again += StutteringRunner.rejected[attempt] > 0
    transcript.write(f"{kind}: some were sent again: {sent_again > 0}, said not to have run, but ran: "
                     f"{refused}, ran more than once: {twice}")


def run_checks(platform, transcript):
    check_kind(platform, transcript, "order", "echo")
    check_kind(platform, transcript, "chat", "stream")


if __name__ == "__main__":
    run_case(run_checks, ReusedAddressPlatform)
