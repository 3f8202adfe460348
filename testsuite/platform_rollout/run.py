#!/usr/bin/env python3
"""Guards against roll-outs that expose callers to a bad version, or that end undecided when
the node that carries them out is killed. Callers use four nodes while an operator orders a
version of which half of the responses fail, and then a good one. Requests are counted where
they arrive."""

import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import BackgroundLoad, Node, Platform, Runner  # noqa: E402
from story import run_case  # noqa: E402

NODE_COUNT = 4
RUNNER_COUNT = 6
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
WINDOW_S = 30  # time for another node to take over the duties and to go on
SERVICE = "work"
STATUS = f"status/rollout/{SERVICE}"
MORE_REQUESTS = 200


class BadRunner(Runner):
    """A runner of which every second response is an error."""

    def do_ok(self, connection, attempt):
        if len(self.arrivals) % 2 == 0:
            return super().do_ok(connection, attempt)
        connection.sendall(self.complete_response(attempt, b"no", "500 Oops"))
        return True


def start_runners(platform, kind, version):
    return [kind(f"{version}-{i}", platform.store, version=version) for i in range(RUNNER_COUNT)]


def arrivals(runners):
    return sum(len(runner.arrivals) for runner in runners)


def order(platform, target):
    platform.store.put(f"op/rollout/{SERVICE}", json.dumps(
        {"service": SERVICE, "target": target, "duration_s": WINDOW_S}))


def status(platform):
    if STATUS not in platform.store.items:
        return None, None
    document = json.loads(platform.store.items[STATUS][0])
    return document["state"], document["target"]


def wait_for_end(platform, target):
    platform.wait_until(lambda: status(platform) in (("completed", target), ("reverted", target)),
                        WINDOW_S + 20)
    return status(platform)[0]


def holder(platform):
    """The node that holds the duties, or None."""
    item = platform.store.items.get("pollenledge/duties")
    for node in platform.nodes:
        if item is not None and item[0].startswith(f"{node.name}"):
            return node
    return None


def kill_holder(platform):
    """Kills the node that holds the duties and starts it again when another one does."""
    platform.wait_until(lambda: holder(platform) is not None)
    killed = holder(platform)
    killed.kill()
    platform.wait_until(lambda: holder(platform) not in (None, killed))
    killed.start()


def wait_for_requests(runners, count):
    before = arrivals(runners)
    Platform.wait_until(lambda: arrivals(runners) >= before + count)


def check_bad_version(platform, transcript, old):
    new = start_runners(platform, BadRunner, "bad")
    wait_for_requests(old, MORE_REQUESTS)
    transcript.write(f"a version without an order gets nothing: {arrivals(new) == 0}")
    before = arrivals(old)
    order(platform, "bad")
    platform.wait_until(lambda: status(platform) == ("in_progress", "bad"))
    kill_holder(platform)
    transcript.write(f"a bad version is {wait_for_end(platform, 'bad')}")
    # What was sent before the nodes heard of it still arrives.
    wait_for_requests(old, MORE_REQUESTS)
    exposed = arrivals(new)
    wait_for_requests(old, MORE_REQUESTS)
    total = arrivals(old) - before + exposed
    print(f"# bad version: {exposed} of {total} requests", file=sys.stderr)
    transcript.write(f"it got some requests: {exposed > 0}, and no more than it may: "
                     f"{exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK}")
    transcript.write(f"afterwards it gets nothing: {arrivals(new) == exposed}")
    for runner in new:
        runner.leave()


def check_good_version(platform, transcript, old, load):
    load.take()
    new = start_runners(platform, Runner, "good")
    order(platform, "good")
    platform.wait_until(lambda: arrivals(new) > 0)
    kill_holder(platform)
    transcript.write(f"a good version is {wait_for_end(platform, 'good')}")
    at_end = arrivals(old)
    # The operator stops the old version at once.
    for runner in old:
        runner.leave()
    wait_for_requests(new, MORE_REQUESTS)
    responses = load.take()
    print(f"# good version: {responses}", file=sys.stderr)
    transcript.write(f"no request was sent to the old version afterwards: {arrivals(old) == at_end}")
    transcript.write(f"no request failed: {set(responses) <= {200, 503}}")


def check_metrics(platform, transcript):
    metrics = [Platform.send_raw(node.admin, b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")[2].decode()
               for node in platform.nodes]
    counted = any('rollout_attempts_total{service="work",version="good"}' in text for text in metrics)
    logs = "".join(node.read_log() for node in platform.nodes)
    transcript.write(f"counters by version: {counted}, a log line for each step: {'rollout_step' in logs}")


def run_checks(platform, transcript):
    old = platform.runners
    load = BackgroundLoad(platform, lambda node, number: platform.send_request(
        f"load-{node}-{number}", "/read/ok", node=node))
    check_bad_version(platform, transcript, old)
    check_good_version(platform, transcript, old, load)
    load.stop()
    check_metrics(platform, transcript)


def make_platform():
    Node.extra_settings = (f"rollout_exposure_share: {EXPOSURE_SHARE}\n"
                           f"rollout_exposure_slack: {EXPOSURE_SLACK}\nrollout_revert_ms: 5000\n")
    return Platform(NODE_COUNT, RUNNER_COUNT)


if __name__ == "__main__":
    run_case(run_checks, make_platform)
