#!/usr/bin/env python3
"""Runners that repeat an earlier refusal or failure, that respond with an error where a stream goes
on, or that stop inside the head of a response."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import EXECUTIONS, HOST, KEY, Platform  # noqa: E402
from story import run_case  # noqa: E402


LAST_CHUNK = b"0\r\n\r\n"


def execution_count(attempt):
    return len([run for run in EXECUTIONS if run[0] == attempt])


def earn_retries(platform):
    """Requests that earn the retry budget of the next ones."""
    for i in range(12):
        platform.send_request(f"earn{i}{len(EXECUTIONS)}", "/draft/stream")


def read_all(platform, attempt, path):
    """The bytes of the response to a request that asks for the connection to be closed after it, up
    to that end."""
    with platform.connect(platform.caller) as connection:
        connection.sendall(platform.request(attempt, path)[:-2] + b"Connection: close\r\n\r\n")
        data = b""
        try:
            while not data.endswith(LAST_CHUNK):
                received = connection.recv(65536)
                if not received:
                    break
                data += received
        except ConnectionResetError:
            pass
        except TimeoutError:
            print(f"# {attempt}: incomplete response: {data!r}", file=sys.stderr)
            raise
    return data


def check_broken_streams(platform, transcript):
    for status in (404, 500, 302):
        earn_retries(platform)
        data = read_all(platform, f"s{status}", f"/draft/breakthen{status}")
        transcript.write(
            f"stream that broke off, then {status}: runs {execution_count(f's{status}')}, "
            f"events {data.count(b'data: ')}, error text in the stream: {b'error text' in data}, "
            f"second head: {data.count(b'HTTP/1.1') > 1}, looks complete: {data.endswith(LAST_CHUNK)}")


def check_repeated_refusals(platform, transcript):
    for kind in ("order", "chat", "read"):
        for i in range(12):  # The runners' connections are kept.
            platform.send_request(f"keep{kind}{i}", "/order/ok", "POST", b"x")
        status, _, body = platform.send_request(f"r{kind}", f"/{kind}/refusedagain", "POST", b"x")
        transcript.write(f"an earlier refusal on a kept connection, {kind}: told not run: {status in (429, 503)}, "
                         f"runs at most {'twice' if kind == 'read' else 'once'}: "
                         f"{execution_count(f'r{kind}') <= (2 if kind == 'read' else 1)}")


# Guards against a caller that gets the failure of another request (MIXED).
def check_repeated_failures(platform, transcript):
    for status in (404, 500, 504):
        for kind in ("order", "chat", "read"):
            for i in range(12):  # The runners' connections are kept.
                platform.send_request(f"kept{kind}{status}{i}", "/order/ok", "POST", b"x")
            attempt = f"f{kind}{status}"
            got, _, body = platform.send_request(attempt, f"/{kind}/again{status}", "POST", b"x")
            following = {platform.send_request(f"{attempt}after{i}", "/order/ok", "POST", b"x")[::2] for i in range(6)}
            # A read that is sent again may get a new connection, on which nothing comes first.
            own = (200, 502) if kind == "read" else (502,)
            transcript.write(f"an earlier {status} on a kept connection, {kind}: own status: {got in own}, another's body: "
                             f"{b'earlier' in (body or b'')}, runs at most {'twice' if kind == 'read' else 'once'}: "
                             f"{execution_count(attempt) <= (2 if kind == 'read' else 1)}, then {following}")


# Guards against the failures of upstreams that name no request and are taken for another's.
def check_failures_on_new_connections(platform, transcript):
    # Each runner closes the connections on which it responds.
    for i in range(24):
        platform.send_request(f"close{i}", "/order/unnamed404", "POST", b"x")
    got = {platform.send_request(f"new{i}", "/order/unnamed404", "POST", b"x")[::2] for i in range(6)}
    transcript.write(f"an unnamed 404 on a new connection: {got}")


# Guards against failures of requests that have no id, whose responses can name none.
def check_requests_without_ids(platform, transcript):
    for action in ("ok", "emptyid", "again404"):
        for kind in ("order", "read"):
            for i in range(12):  # The runners' connections are kept.
                platform.send_request(f"held{kind}{action}{i}", "/order/ok", "POST", b"x")
            start = len(EXECUTIONS)
            status, _, body = platform.send_raw(platform.caller, (
                f"POST /{kind}/{action} HTTP/1.1\r\nHost: {HOST}\r\nApi-Key: {KEY}\r\n"
                "Content-Length: 1\r\n\r\nx").encode())
            transcript.write(f"a request without an id ({action}, {kind}): {status} {body}, "
                             f"runs {len(EXECUTIONS) - start}")


def check_cut_heads(platform, transcript):
    for path in ("cutstatus", "cuthead", "cutline"):
        earn_retries(platform)
        status, _, _ = platform.send_request(f"o{path}", f"/order/{path}", "POST", b"x")
        transcript.write(f"head cut ({path}): order {status}, runs {execution_count('o' + path)}")
        status, _, body = platform.send_request(f"i{path}", f"/read/{path}")
        transcript.write(f"head cut ({path}): read {status} {body}")
        data = read_all(platform, f"c{path}", f"/chat/{path}")
        transcript.write(f"head cut ({path}): stream {data.split(b' ')[1].decode()}")


def run_checks(platform, transcript):
    check_broken_streams(platform, transcript)
    check_repeated_refusals(platform, transcript)
    check_repeated_failures(platform, transcript)
    check_failures_on_new_connections(platform, transcript)
    check_requests_without_ids(platform, transcript)
    check_cut_heads(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(1, 2))
