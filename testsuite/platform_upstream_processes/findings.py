"""What a run is checked for at its end, from what callers saw and what upstreams logged.

REFUSED: an attempt that may run at most once was answered with a status that promises that it didn't
run and won't, and an upstream ran it, before or after.
TWICE: such an attempt was run more than once.
MIXED: a response isn't that of a run or an answer to that very attempt, a success isn't the whole
body, or bytes came that belong to no request.
ORDER: a stream lacks a piece, has one twice, joins pieces of two runs (a run that goes on behind the
last piece may follow), or ends as complete before its last piece."""

import json
import re
from collections import defaultdict

from checks import NOT_RUN
from platform_standins import header
from upstream import EVENT_COUNT, STREAMING, digest

AT_MOST_ONCE = ("order", "chat")
RULES = ("REFUSED", "TWICE", "MIXED", "ORDER")
EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+)/\d+\n\n")
RESPONSE_TO = re.compile(rb"((?:read|order|chat|draft)-\d+-\d+) ")  # the attempt that a body names


def read_events(paths):
    """The lines that the upstreams logged, in order."""
    lines = []
    for path in paths:
        lines += [json.loads(text) for text in path.read_text().split("\n") if text]
    return sorted(lines, key=lambda line: line["at"])


class Findings:
    """The checks of one run."""

    def __init__(self, fleet, events):
        self.fleet = fleet
        self.by_attempt = defaultdict(list)
        self.runs = {}  # run: its line
        for line in events:
            if line.get("attempt"):
                self.by_attempt[line["attempt"]].append(line)
            if line["event"] == "run_begun":
                self.runs[line["run"]] = line
        self.found = []  # (rule, what, attempt, text)
        for answer in fleet.answers:
            self.check_refused(answer)
            self.check_bytes(answer)
            if answer.status:
                self.check_answer(answer)
        self.check_twice()

    def find(self, rule, what, attempt, text):
        """Notes a finding. `what` names its kind, by which findings are counted and printed."""
        self.found.append((rule, what, attempt, text))

    def lines(self, attempt, *kinds):
        return [line for line in self.by_attempt[attempt] if line["event"] in kinds]

    def check_refused(self, answer):
        runs = self.lines(answer.attempt, "run_begun")
        if answer.kind in AT_MOST_ONCE and answer.status in NOT_RUN and runs:
            later = runs[-1]["at"] > answer.ended_at
            self.find("REFUSED", "ran after" if later else "ran before", answer.attempt,
                      f"answered {answer.status}, ran at {', '.join(line['upstream'] for line in runs)}")

    def check_twice(self):
        for attempt in self.by_attempt:
            runs = self.lines(attempt, "run_begun")
            if attempt.split("-")[0] in AT_MOST_ONCE and len(runs) > 1:
                self.find("TWICE", "runs", attempt, f"ran {len(runs)} times: {', '.join(line['run'] for line in runs)}")

    def check_bytes(self, answer):
        if answer.unasked:
            self.find("MIXED", "bytes unasked", answer.attempt,
                      f"came before its request: {answer.unasked[:80]!r}")
        if answer.behind:
            self.find("MIXED", "bytes behind", answer.attempt, f"after its response: {answer.behind[:80]!r}")

    def check_answer(self, answer):
        """Checks status, body and signature against what the upstreams answered."""
        named = header(answer.head, "Attempt-Id")
        signature = header(answer.head, "Server-Signature")
        success = 200 <= answer.status < 300
        if named not in (None, answer.attempt):
            self.find("MIXED", "id of another", answer.attempt, f"{answer.status} with the id of {named}")
        if others := {name.decode() for name in RESPONSE_TO.findall(answer.body)} - {answer.attempt}:
            self.find("MIXED", "body of another", answer.attempt,
                      f"{answer.status} with the body of {', '.join(sorted(others))}")
        elif signature is None and success:
            self.find("MIXED", "unsigned", answer.attempt, f"{answer.status} without a signature")
        elif success and answer.kind in STREAMING:
            self.check_stream(answer, signature)
        elif signature is not None and answer.whole:
            self.check_body(answer, signature)

    def check_body(self, answer, signature):
        made = self.lines(answer.attempt, "answered")
        mark = digest(answer.status, answer.body)
        if any(line["digest"] == mark and signature == f"s.{line['run']}" for line in made):
            return
        ended = answer.body.endswith(f" end of {answer.attempt} {signature[2:]}\n".encode())
        sizes = [f"{line['status']} of {line['size']} bytes by {line['framing']}" for line in made]
        self.find("MIXED", "not as answered" if ended else "half a body", answer.attempt,
                  f"{answer.status} of {len(answer.body)} bytes, framing {answer.framing}; "
                  f"the upstreams answered {', '.join(sizes) or 'nothing'}")

    def check_stream(self, answer, signature):
        start, place, run = answer.last, 0, None
        for event in EVENT.finditer(answer.body):
            if event.start() != place:
                break
            place = event.end()
            number, attempt, its_run = int(event[1]), event[2].decode(), event[3].decode()
            if attempt != answer.attempt or int(event[4]) != number:
                self.find("ORDER", "event of another", answer.attempt,
                          f"event {number} is event {event[4].decode()} of {attempt}")
            if number != start + 1:
                self.find("ORDER", "gap or repeat", answer.attempt, f"event {number} after {start}")
            if its_run != run:
                self.check_join(answer, run, its_run, number, signature)
            start, run = number, its_run
        rest = answer.body[place:]
        if rest and answer.whole:
            self.find("ORDER", "ends in an event", answer.attempt, f"ends as complete with {rest[:60]!r}")
        elif answer.whole and start != EVENT_COUNT:
            self.find("ORDER", "ends too early", answer.attempt,
                      f"ends as complete after event {start} of {EVENT_COUNT}")
        elif rest and EVENT.search(rest):
            self.find("ORDER", "bytes between events", answer.attempt,
                      f"bytes between events: {rest[:60]!r}")

    def check_join(self, answer, run, its_run, number, signature):
        """A run that follows another one must have gone on behind the last event."""
        line = self.runs.get(its_run)
        if run is None and signature != f"s.{its_run}":
            self.find("MIXED", "signature of another", answer.attempt,
                      f"signature {signature}, first event of {its_run}")
        if line is None or line["attempt"] != answer.attempt or line["last"] != number - 1:
            self.find("ORDER", "joined runs", answer.attempt,
                      f"event {number} of {its_run} follows {run}; that run began at "
                      f"{line and line['last']} of {line and line['attempt']}")
        if run is not None and answer.kind in AT_MOST_ONCE:
            self.find("ORDER", "joined runs", answer.attempt, f"pieces of {run} and {its_run} joined")

    # Evidence.

    def evidence(self, rule, what, attempt, text):
        """The finding with what both ends and the nodes saw of its attempt and of those its body names."""
        answers = [answer for answer in self.fleet.answers if answer.attempt == attempt]
        attempts = {attempt}
        for answer in answers:
            attempts |= {name.decode() for name in RESPONSE_TO.findall(answer.body)}
        out = [f"{rule}, {what}: {attempt}: {text}"]
        for answer in answers:
            fields = " | ".join(line.strip() for line in answer.head.split("\r\n"))
            out.append(f"  caller: {self.clock(answer.sent_at)} to {self.clock(answer.ended_at)} s, "
                       f"node {answer.node}, request {answer.before + 1} of its connection, whole {answer.whole}, "
                       f"{answer.framing}, {len(answer.body)} bytes, {answer.failure} [{fields}] "
                       f"{answer.body[:50]!r} .. {answer.body[-50:]!r}")
        for name in sorted(attempts):
            for line in self.by_attempt[name]:
                fields = " ".join(f"{key}={value}" for key, value in line.items() if key not in ("at", "event"))
                out.append(f"  upstream: {self.clock(line['at'])} s {line['event']} {fields}")
            out += [f"  node: {line}" for line in self.fleet.log_lines(name)]
        return "\n".join(out)

    def clock(self, at):
        return f"{at - self.fleet.began:.3f}"
