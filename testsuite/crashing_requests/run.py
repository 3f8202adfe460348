#!/usr/bin/env python3
"""A request that ends every runner that begins it, sent through four nodes
again and again, beside innocent work; all nodes are killed in the middle."""

import json
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import CRASHES, Platform  # noqa: E402
from story import run_story  # noqa: E402

NODES = 4
RUNNERS = 12
RESENDS = 24
# From the third crash on, what every node must know by then, and how many
# runs may still come.
CONTACT_SECONDS = 3.0
LATE_RUNS_ALLOWED = 3
# (route, what is sent): each kind of route.
KINDS = (("draft", "GET", b""), ("chat", "GET", b""), ("read", "POST", b"look up"),
         ("order", "POST", b"one ring"))


class Innocents:
    """Work beside the crash-causing request, from a thread for each node."""

    def __init__(self, platform, kind):
        self.platform, self.kind = platform, kind
        self.stop = threading.Event()
        self.lock = threading.Lock()
        self.answers = []
        self.threads = [threading.Thread(target=self.ask, args=(node,), daemon=True)
                        for node in range(NODES)]
        for thread in self.threads:
            thread.start()

    def ask(self, node):
        number = 0
        what = "stream" if self.kind in ("draft", "chat") else "ok"
        while not self.stop.is_set():
            number += 1
            attempt = f"{self.kind}-{node}-{number}"
            try:
                status, _, body = self.platform.ask(
                    attempt, f"/{self.kind}/{what}", "POST", attempt.encode(), node=node)
            except OSError:  # The node was killed.
                status, body = 0, None
            if status != 0:
                with self.lock:
                    self.answers.append(status if body is not None else "cut")
            self.stop.wait(0.02)

    def served(self):
        """Ends the work and returns how often each status came."""
        self.stop.set()
        for thread in self.threads:
            thread.join()
        return Counter(self.answers)


def innocents_refused(platform):
    """Innocent requests that were refused as if they ended upstreams."""
    lines = [json.loads(line) for node in platform.nodes
             for line in node.read_log().split("\n") if '"event":"refused"' in line]
    return sum(1 for line in lines if line["reason"] in ("ends-upstreams", "tried-alone")
               and not line["request"].startswith(("first", "again")))


def late_runs(crashes):
    if len(crashes) < 3:
        return 0
    return sum(1 for crash in crashes if crash[2] > crashes[2][2] + CONTACT_SECONDS)


def send_again_and_again(platform, kind, method, body, count, label):
    """Sends the request through one node after the other; returns the
    statuses."""
    statuses = []
    for i in range(count):
        try:
            status, _, answer = platform.ask(f"{label}-{kind}-{i}", f"/{kind}/crash", method, body,
                                             node=i % NODES)
            statuses.append(status if answer is not None else 502)
        except OSError:
            statuses.append(0)
        time.sleep(0.25)
    return statuses


def tell_kind(platform, story, kind, method, body):
    before = len(CRASHES)
    innocents = Innocents(platform, kind)
    send_again_and_again(platform, kind, method, body, RESENDS // 2, "first")
    for node in platform.nodes:
        node.kill()
    for node in platform.nodes:
        node.start()
    platform.until(lambda: all(node.ready() == 200 for node in platform.nodes))
    statuses = send_again_and_again(platform, kind, method, body, RESENDS // 2, "again")
    answers = innocents.served()
    crashes = CRASHES[before:]
    print(f"# {kind}: {len(crashes)} runners ended, {late_runs(crashes)} of them late; "
          f"answers {sorted(set(statuses))}; answers to innocent work {dict(answers)}", file=sys.stderr)
    story.tell(f"{kind}: late runs within the bound: {late_runs(crashes) <= LATE_RUNS_ALLOWED}, "
               f"told that it did not run: {set(statuses) == {503}}")


def tell(platform, story):
    for kind, method, body in KINDS:
        tell_kind(platform, story, kind, method, body)
    story.tell(f"innocent requests refused in its place: {innocents_refused(platform)}")


if __name__ == "__main__":
    run_story(tell, lambda: Platform(NODES, RUNNERS))
