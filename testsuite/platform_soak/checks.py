"""What a run is checked for at its end."""

import json
import math
import signal
import time
from collections import Counter, defaultdict

from callers import DEADLINE_MS
from platform_standins import EXECUTIONS

CHECKED_SECONDS = 4.0  # of the quiet time, at its end, for RECOVER
MIN_RECOVERED_SHARE = 0.25
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request hasn't run
GRACE_SECONDS = 8.0  # of the nodes' settings
LINE_SECONDS = 0.5  # within which of a cut a node's line without a request may be about it
# Rules about events, whose verdict doesn't go by how fast the machine is.
EVENT_RULES = ("LOST", "TWICE", "REFUSED", "MIXED", "ORDER", "ended by itself", "soak failed")


def check(soak, ended):
    check_runs(soak)
    check_lost(soak)
    check_recovered(soak, ended)
    for node in soak.nodes:
        soak.check_alive(node)


def check_runs(soak):
    runs = Counter(attempt for attempt, _, _ in EXECUTIONS)
    for _, kind, name, status in soak.responses:
        if kind == "order" and status in NOT_RUN and runs[name] > 0:
            soak.find("REFUSED", f"{name}: answered {status}, ran {runs[name]} times")
    for attempt, count in runs.items():
        if attempt.startswith("order-") and count > 1:
            soak.find("TWICE", f"{attempt} ran {count} times")


def check_recovered(soak, ended):
    late = [status for sent_at, kind, _, status in soak.responses
            if kind != "other" and ended - CHECKED_SECONDS <= sent_at < ended - 0.5]
    soak.recovered = sum(status == 200 for status in late) / max(1, len(late))
    if soak.recovered < MIN_RECOVERED_SHARE:
        soak.find("RECOVER", f"{soak.recovered:.3f} of {len(late)} served")


def check_lost(soak):
    arrivals = defaultdict(list)  # attempt id: [(time, runner number)]
    for number, runner in enumerate(soak.runners):
        for at, attempt in runner.arrivals:
            arrivals[attempt].append((at, number))
    for cut in soak.cuts:
        excuse = excuse_of(soak, cut, arrivals[cut.name])
        soak.excuses[excuse] += 1
        if excuse == "none":
            upstreams = [f"i-{number} at {at - soak.began:.2f} s" for at, number in arrivals[cut.name]]
            soak.find("LOST", f"{cut.name} to {cut.node.name}, sent at {cut.sent_at - soak.began:.2f} s, cut at "
                              f"{cut.ended_at - soak.began:.2f} s, {'in' if cut.begun else 'without'} its answer, "
                              f"upstreams: {', '.join(upstreams) or 'none'}, log: {cut_line(cut)}")


def excuse_of(soak, cut, arrivals):
    """What else than the node ended a request's connection, see the rule LOST; "none" if nothing."""
    end_signal, signalled_at = soak.ends.get(cut.process, (None, math.inf))
    if cut.ended_at >= signalled_at and end_signal == signal.SIGKILL:
        return "killed"
    if cut.ended_at > signalled_at + GRACE_SECONDS:
        return "past grace period"
    if cut.begun and cut.ended_at - cut.sent_at >= DEADLINE_MS / 1000:
        return "past deadline"
    if any(number == disturbed and begin <= cut.ended_at and at <= end
           for at, number in arrivals for disturbed, begin, end in soak.disturbances):
        return "upstream"
    return "none"


def cut_line(cut):
    """The line of the node's log about a cut."""
    cut_at = time.time() - time.monotonic() + cut.ended_at
    near = "none"
    for text in cut.node.read_log().split("\n"):
        if '"caller_connection_cut"' not in text:
            continue
        line = json.loads(text)
        if line["request"] == cut.name:
            return text
        if line["request"] == "" and abs(line["time_us"] / 1e6 - cut_at) < LINE_SECONDS:
            near = text
    return near
