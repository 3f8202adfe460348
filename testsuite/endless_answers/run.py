#!/usr/bin/env python3
"""Runners whose bytes never end: each form of it is ended by the node after
few bytes, its caller is told, and the node's memory stays bounded."""

import socket
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import CALLER_HEAD, ENDLESS_CAP, ENDLESS_SENT, Platform  # noqa: E402
from story import run_story  # noqa: E402

AT_ONCE = 6
# So many calls at once must leave room on the smallest machine, which has 160 MB.
MAX_PEAK_MB = 80
MAX_SENT_MB = 12  # An answer that is held, and what a socket receives ahead.
FORMS = (("read", "head"), ("read", "fields"), ("read", "body"), ("read", "chunks"),
         ("read", "extension"), ("read", "extensions"), ("read", "trailers"), ("read", "interim"),
         ("read", "foreign"), ("chat", "event"), ("chat", "extension"), ("chat", "extensions"),
         ("chat", "trailers"))


def peak_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().split("\n"):
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0


def tell_form(platform, story, route, form):
    answers = {}

    def ask(name):
        status, _, body = platform.ask(name, f"/{route}/endless{form}", "POST", b"x")
        answers[name] = status if body is not None else "cut"

    # Each form is held against the bound by itself.
    Path(f"/proc/{platform.process.pid}/clear_refs").write_text("5")
    names = [f"{route}{form}{i}" for i in range(AT_ONCE)]
    threads = [threading.Thread(target=ask, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    platform.until(lambda: all(name in ENDLESS_SENT for name in names))
    most = max(sent for name, sent in ENDLESS_SENT.items() if name in names) / 2**20
    peak = peak_mb(platform.process.pid)
    print(f"# {route} {form}: {most:.1f} MB sent, peak {peak:.0f} MB", file=sys.stderr)
    story.tell(f"{route}, {form} without end: {sorted(set(map(str, answers.values())))}, "
               f"ended after few bytes: {most <= MAX_SENT_MB}, "
               f"memory bounded: {peak <= MAX_PEAK_MB}")


def tell_caller(platform, story, name, begin, again):
    """A caller whose request never ends."""
    Path(f"/proc/{platform.process.pid}/clear_refs").write_text("5")
    sent = 0
    with platform.connect(platform.caller) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        try:
            connection.sendall(CALLER_HEAD + begin)
            while sent < ENDLESS_CAP:
                connection.sendall(again)
                sent += len(again)
        except OSError:
            pass
    print(f"# caller, {name}: {sent / 2**20:.1f} MB sent", file=sys.stderr)
    story.tell(f"a caller, {name} without end: ended after few bytes: "
               f"{sent <= MAX_SENT_MB * 2**20}, "
               f"memory bounded: {peak_mb(platform.process.pid) <= MAX_PEAK_MB}")


def tell(platform, story):
    for route, form in FORMS:
        tell_form(platform, story, route, form)
    tell_caller(platform, story, "fields", b"", b"X: x\r\n" * 200)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    tell_caller(platform, story, "body", chunked, b"400\r\n" + b"x" * 1024 + b"\r\n")
    tell_caller(platform, story, "extension", chunked + b"1;a=", b"x" * 4096)
    tell_caller(platform, story, "extensions", chunked, b"1;a=" + b"x" * 4000 + b"\r\nx\r\n")
    tell_caller(platform, story, "trailers", chunked + b"0\r\n", b"X: x\r\n" * 200)
    platform.until(lambda: platform.ask("after", "/read/ok")[0] == 200)
    story.tell("the node serves on")


if __name__ == "__main__":
    run_story(tell, Platform)
