#!/usr/bin/env python3
"""Guards against a node that closes a kept connection on which a whole request waits unread: because
its event loop is late, because it still applies an idle timeout that the tables have replaced, or
because it stops."""

import selectors
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import Platform, config  # noqa: E402
from story import run_case  # noqa: E402

# More than one call of the event loop's poll returns.
CONNECTIONS = 400
SHORT_IDLE_SECONDS, LONG_IDLE_SECONDS = 2.0, 10.0
# Callers reuse a connection that rested for up to this part of the idle timeout.
REUSED_REST = 0.8
STOP_SECONDS = 1.3
# A node keeps idle connections for so much longer, as a change of the timeout may be on its way
# to it: the default of tables_bound_ms.
TABLES_BOUND_SECONDS = 2.0
# Within this time a timer of the node comes due, so that its loop is told of timers first.
TICK_SECONDS = 0.3
# From the stop signal until the node closes idle connections.
DRAIN_CLOSE_SECONDS = 3.2


def set_idle_timeout(platform, version, seconds):
    platform.store.put("op/config", config(version, limits={"idle_timeout_ms": int(1000 * seconds)}))
    platform.wait_until(lambda: f'"version":"{version}"' in "".join(
        line for line in platform.nodes[0].read_log().split("\n") if '"event":"tables_in_force"' in line))


def open_connections(platform, name, count):
    """Connections of which each has carried one request."""
    connections = [platform.connect(platform.caller) for _ in range(count)]
    for number, connection in enumerate(connections):
        connection.sendall(platform.request(f"{name}-first-{number}", "/read/ok"))
        assert platform.read_response(connection)[0] == 200
    return connections


def send_on(platform, name, connections):
    """Sends one request on each connection. Returns how many could be sent."""
    sent = 0
    for number, connection in enumerate(connections):
        try:
            connection.sendall(platform.request(f"{name}-{number}", "/read/ok"))
            sent += 1
        except OSError:
            pass  # Closed before the request was sent.
    return sent


def count_unanswered(platform, connections):
    """Reads a response from each connection and returns how many got none."""
    unanswered = 0
    for connection in connections:
        with connection:
            try:
                unanswered += platform.read_response(connection)[0] not in (200, 503)
            except OSError:
                unanswered += 1
    return unanswered


def count_closed(connections):
    """How many of the connections the node has closed by now."""
    with selectors.DefaultSelector() as selector:
        for connection in connections:
            selector.register(connection, selectors.EVENT_READ)
        return len(selector.select(timeout=0))


def check_late_loop(platform, transcript):
    set_idle_timeout(platform, 2, SHORT_IDLE_SECONDS)
    connections = open_connections(platform, "late", CONNECTIONS)
    time.sleep(SHORT_IDLE_SECONDS * REUSED_REST - TICK_SECONDS)
    # The node stands still while the timeouts of all connections pass.
    platform.process.send_signal(signal.SIGSTOP)
    time.sleep(TICK_SECONDS)
    sent = send_on(platform, "late", connections)
    time.sleep(SHORT_IDLE_SECONDS + TABLES_BOUND_SECONDS)
    platform.process.send_signal(signal.SIGCONT)
    transcript.write(f"a late loop: sent {sent}, unanswered {count_unanswered(platform, connections)}")


def check_raised_timeout(platform, transcript):
    set_idle_timeout(platform, 3, SHORT_IDLE_SECONDS)
    connections = open_connections(platform, "raised", 20)
    set_idle_timeout(platform, 4, LONG_IDLE_SECONDS)
    time.sleep(SHORT_IDLE_SECONDS + TABLES_BOUND_SECONDS + 1)
    closed = count_closed(connections)
    sent = send_on(platform, "raised", connections)
    transcript.write(f"a raised idle timeout: closed by the earlier one {closed}, sent {sent}, "
                     f"unanswered {count_unanswered(platform, connections)}")


def check_planned_stop(platform, transcript):
    connections = open_connections(platform, "stop", CONNECTIONS)
    platform.process.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    time.sleep(DRAIN_CLOSE_SECONDS - 0.7)
    # Kept connections, and connections that the node has not accepted yet.
    platform.process.send_signal(signal.SIGSTOP)
    time.sleep(TICK_SECONDS)
    connections += [platform.connect(platform.caller) for _ in range(20)]
    sent = send_on(platform, "stop", connections)
    time.sleep(STOP_SECONDS)
    platform.process.send_signal(signal.SIGCONT)
    unanswered = count_unanswered(platform, connections)
    platform.process.wait(timeout=15)
    transcript.write(f"a planned stop: sent {sent}, unanswered {unanswered}, within the grace period: "
                     f"{time.monotonic() - stopped_at < 8}")


def run_checks(platform, transcript):
    check_late_loop(platform, transcript)
    check_raised_timeout(platform, transcript)
    check_planned_stop(platform, transcript)


if __name__ == "__main__":
    run_case(run_checks, lambda: Platform(nodes=1, runners=3, slots=200))
