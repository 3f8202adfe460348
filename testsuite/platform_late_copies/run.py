#!/usr/bin/env python3
"""Runners that write an earlier response once more where the response to the next request is
expected: one to the same request, sent again on the same connection, or one before a report."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, STREAM_RUNS, Platform, config, header, route  # noqa: E402
from story import run_case  # noqa: E402

REPEATED_STREAMS = 3
LARGE_REFUSALS = 16
MAX_RETURNS = 2  # of a caller that is refused with a time to return
EARNING_REQUESTS = 200  # The retry budget grows with them.
TOLD_SECONDS = 2.5  # Well before the deadline of a request, 5 s.
REPORTS = (  # A runner closes the connection after one with "Connection: close".
    ("of 503", b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"),
    ("with an id", b"HTTP/1.1 200 OK\r\nAttempt-Id: earlier\r\nContent-Length: 2\r\n\r\n{}"),
    ("that isn't one", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"),
    ("that never ends", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}"),
    ("that is cut", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\n{}"),
    ("without an incarnation", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
    ("of 404", b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
)


def stream_of(platform, attempt, path):
    """Returns whether a stream came whole and in order."""
    # Bodies differ, so that what one request does to runners is not held against the others.
    status, _, body = platform.send_request(attempt, path, "POST", attempt.encode())
    events = [f"id: {number}".encode() in (body or b"") for number in range(1, 5)]
    in_order = (body or b"").count(b"id: ") == sum(events)
    return status == 200 and all(events) and in_order


def for_each(count, function):
    threads = [threading.Thread(target=function, args=(number,)) for number in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def earn_retries(platform):
    for number in range(EARNING_REQUESTS):
        platform.send_request(f"earn{number}", "/read/ok")


def wait_for_runners(platform):
    """Returns once all runners get requests again."""
    names = {runner.name for runner in platform.runners}
    start = len(EXECUTIONS)

    def has_used_all():
        platform.send_request(f"next{len(EXECUTIONS)}", "/read/ok")
        return names <= {run[1] for run in EXECUTIONS[start:]}
    platform.wait_until(has_used_all)


def keep_connections(platform):
    """Both runners get a connection that has carried requests."""
    for_each(8, lambda number: platform.send_request(f"keep{number}{len(EXECUTIONS)}", "/read/slowecho"))


# Guards against a stream of which two runners run the same part, because a late copy of a refusal
# is taken for the answer to the second send (REFUSED, ORDER).
def check_second_sends(platform, transcript):
    earn_retries(platform)
    complete = []
    for_each(REPEATED_STREAMS, lambda number: complete.append(
        stream_of(platform, f"late{number}", "/story/refusedlate")))
    runs = [sum(1 for run in STREAM_RUNS if run[0] == f"late{number}") for number in range(REPEATED_STREAMS)]
    transcript.write(f"a refusal that comes again on a second send: complete {complete.count(True)}, runs {runs}")


# Guards against a report's own response that is taken for the answer to the request after it.
def check_repeats_before_reports(platform, transcript):
    earn_retries(platform)
    for runner in platform.runners:
        runner.repeats_before_report = True
    complete, runs = 0, []
    for number in range(REPEATED_STREAMS):
        keep_connections(platform)
        complete += stream_of(platform, f"report{number}", "/draft/break")
        runs.append(sum(1 for run in EXECUTIONS if run[0] == f"report{number}"))
    for runner in platform.runners:
        runner.repeats_before_report = False
    transcript.write(f"an earlier response before a report: complete {complete}, runs {runs}")


# Guards against a stream that goes on at a process of which nothing is known (ORDER), and against a
# caller that waits for a report until its own deadline.
def check_unclear_reports(platform, transcript):
    earn_retries(platform)
    for name, report in REPORTS:
        for runner in platform.runners:
            runner.report = report
        attempt = f"unclear {name}".replace(" ", "-")
        start = time.monotonic()
        complete = stream_of(platform, attempt, "/draft/break")
        took = time.monotonic() - start
        print(f"# a report {name}: {took:.2f} s", file=sys.stderr)
        runs = sum(1 for run in EXECUTIONS if run[0] == attempt)
        transcript.write(f"a report {name}: goes on: {complete}, runs {runs}, ends in time: {took < TOLD_SECONDS}")
        for runner in platform.runners:
            runner.report = None
        wait_for_runners(platform)


def status_after_returns(platform, attempt):
    """Returns the last status of a caller that is refused and returns when it was told to."""
    for number in range(MAX_RETURNS + 1):
        status, head, _ = platform.send_request(f"{attempt}{number}", "/read/ok")
        retry_after = header(head, "Retry-After")
        if status != 503 or retry_after is None:
            break
        time.sleep(float(retry_after))
    return status


# Guards against a node that ends because a stream that waits for an upstream holds the most bytes.
def check_large_refusals(platform, transcript):
    earn_retries(platform)
    for_each(LARGE_REFUSALS, lambda number: platform.send_request(
        f"large{number}", "/story/refusedlarge", "POST", b"%d" % number))
    # All runners have just been silent, so that the node may refuse a request for a moment.
    status = status_after_returns(platform, "after")
    transcript.write(f"large refusals of streams that wait: the node runs: {platform.process.poll() is None}, "
                     f"serves: {status}")


def replace_runners(platform, count):
    """Replaces the runners with `count` new ones, whose connections have carried nothing."""
    for runner in platform.runners:
        runner.leave()
    platform.runners = [platform.runner_type(f"n-{number}", platform.store, slots=40) for number in range(count)]


# Guards against a stream that ends although no runner has run its rest, because a refusal without an
# id counts as a possible run where nothing but the runner's report came before.
def check_unnamed_refusals(platform, transcript):
    replace_runners(platform, 3)
    complete = []
    for number in range(REPEATED_STREAMS):
        wait_for_runners(platform)
        earn_retries(platform)
        complete.append(stream_of(platform, f"unnamed{number}", "/draft/breakunnamed"))
    arrivals = [sum(1 for run in EXECUTIONS if run[0] == f"unnamed{number}") for number in range(REPEATED_STREAMS)]
    transcript.write(f"a refusal without an id after a report: complete {complete.count(True)}, arrivals {arrivals}")


def run_checks(platform, transcript):
    platform.store.put("op/config", config(2, routes=[
        route("read", "idempotent"), route("draft", "streaming", resumable=True),
        route("story", "streaming", resumable=True, attempts=4, timeout_ms=8000, itl_target_ms=300)]))
    platform.wait_until(lambda: platform.send_request("ready", "/story/ok")[0] != 404)
    # A connection whose runner has once been verified needs no report.
    check_unclear_reports(platform, transcript)
    check_repeats_before_reports(platform, transcript)
    check_second_sends(platform, transcript)
    check_large_refusals(platform, transcript)
    check_unnamed_refusals(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(1, 2, slots=40))
