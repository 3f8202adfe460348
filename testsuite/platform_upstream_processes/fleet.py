#!/usr/bin/env python3
"""Nodes and upstreams as real processes, with callers that keep their connections. The seed draws
what the upstreams do with each request (upstream.py) and a series of faults that overlap: upstreams
that are killed in the middle of their bodies, stand still, start again under the same address as the
same or as another id, drain or lose their entry; nodes that stand still, are killed or ended. Some
nodes have no path to any upstream and relay their requests to the others.

Checked from what both ends saw: REFUSED, TWICE, MIXED and ORDER (findings.py). Exits with 1 if a rule
was broken; each finding is printed with its evidence then, and the folder with all of it is named."""

import argparse
import itertools
import json
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

sys.path += [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parent.parent / "platform_soak")]
from clients import IDLE_SECONDS, Client  # noqa: E402
from faults import QUIET_SECONDS, WARM_UP_SECONDS, draw_faults  # noqa: E402
from findings import RULES, Findings, read_events  # noqa: E402
from platform_standins import Cloud, Node, Platform, Store, config, free_peer_port, free_port, route  # noqa: E402
from soak import Soak  # noqa: E402
from upstream import SHARES, add_shares  # noqa: E402

MAX_PROCESSES = 200
PRINTED_FINDINGS = 3  # of each kind


class PathlessStore(Store):
    """A copy of the store for nodes without a path to any upstream: the addresses of its upstreams
    lead nowhere."""

    def __init__(self):
        super().__init__()
        self.nowhere = f"127.0.2.1:{free_port(host='127.0.2.1')}"

    def put(self, key, value):
        if key.startswith("servers/"):
            value = json.dumps({**json.loads(value), "address": self.nowhere})
        super().put(key, value)


class MirroredStore(Store):
    """The store. What is written there under servers/ and op/ is written to its copy as well."""

    def __init__(self):
        super().__init__()
        self.copies = PathlessStore()

    def put(self, key, value):
        super().put(key, value)
        if key.startswith(("servers/", "op/")):
            self.copies.put(key, value)

    def remove(self, key):
        super().remove(key)
        if key.startswith(("servers/", "op/")):
            self.copies.remove(key)


class UpstreamPlace:
    """An address at which one upstream process after another runs."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.chance = random.Random(f"{fleet.options.seed} upstream {number}")
        host = f"127.0.1.{number + 1}"
        self.address = f"{host}:{free_port(host=host)}"
        self.events = fleet.folder / f"upstream-{number}.events"
        self.lock = threading.Lock()
        self.names = (f"i-{number}-{count}" for count in itertools.count(1))
        self.name = next(self.names)
        self.process = None
        self.start()

    def start(self):
        program = Path(__file__).resolve().parent / "upstream.py"
        self.process = subprocess.Popen(
            [sys.executable, program, "--name", self.name, "--address", self.address, "--store",
             self.fleet.store.address, "--events", self.events, "--seed", str(self.fleet.options.seed),
             *itertools.chain(*((f"--{name}", str(getattr(self.fleet.options, name))) for name in SHARES))])

    def entry(self):
        return json.loads(self.fleet.store.items[f"servers/{self.name}"][0])

    def keep_running(self):
        """Starts the process again some time after it has ended, as the same or as another id."""
        while not self.fleet.stopped.is_set():
            if self.process.poll() is not None:
                with self.lock:
                    self.restart()
            time.sleep(0.02)

    def restart(self):
        time.sleep(self.chance.choice((0.05, 0.3, 1.0, 2.0)))
        if self.chance.random() >= self.fleet.options.other_id:
            self.start()
            return
        gone, self.name = self.name, next(self.names)
        if self.chance.random() < 0.5:
            self.fleet.store.remove(f"servers/{gone}")
            self.start()
        else:
            self.start()
            time.sleep(self.chance.uniform(0, 1))
            self.fleet.store.remove(f"servers/{gone}")

    def end(self):
        self.process.kill()
        self.process.wait()


class Fleet(Soak):
    """One run."""

    def __init__(self, options):
        super().__init__(options)
        self.folder = Path(tempfile.mkdtemp(prefix=f"upstreams-{options.seed}-"))
        self.answers = []
        self.found = []
        self.places = []
        self.began = time.monotonic()

    def on_answer(self, answer):
        with self.lock:
            self.answers.append(answer)

    def start(self):
        options = self.options
        self.store, self.cloud = MirroredStore(), Cloud()
        self.store.put("op/config", config(
            1, routes=[route("read", "idempotent", attempts=3), route("order", "non_idempotent", attempts=3),
                       route("chat", "streaming", attempts=3),
                       route("draft", "streaming", resumable=True, attempts=4, timeout_ms=8000)],
            limits={"idle_timeout_ms": int(IDLE_SECONDS * 1000)}))
        self.places = [UpstreamPlace(self, number) for number in range(options.upstreams)]
        # Not 127.0.0.1, of which connections take ports: those of a process that is down must stay free.
        hosts = [f"127.0.0.{number + 2}" for number in range(options.nodes)]
        peer_port = free_peer_port()
        Node.build = options.build
        # The seeds of the fleet, which come first, have a path.
        first_cut = options.nodes - round(options.cut * options.nodes)
        self.nodes = [Node(f"n{number + 1}", host, peer_port, hosts[:3],
                           self.store if number < first_cut else self.store.copies, self.cloud)
                      for number, host in enumerate(hosts)]
        Platform.wait_until(lambda: all(node.readiness_status() == 200 for node in self.nodes), 60)
        Platform.wait_until(lambda: len([key for key in list(self.store.items) if key.startswith("servers/")])
                            >= options.upstreams, 60)

    def run(self):
        self.start()
        faults = draw_faults(self.options)
        self.began = time.monotonic()
        keepers = [threading.Thread(target=self.guard, args=(place.keep_running,)) for place in self.places]
        for keeper in keepers:
            keeper.start()
        clients = [Client(self, number) for number in range(self.options.callers)]
        threads = []
        for fault in faults:
            time.sleep(max(0, self.began + fault.at - time.monotonic()))
            args = (getattr(self, fault.kind), *fault.args)
            threads.append(threading.Thread(target=self.guard, args=args, daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()
        time.sleep(QUIET_SECONDS)
        self.stopped.set()
        for thread in [client.thread for client in clients] + keepers:
            thread.join(timeout=15)
        for node in self.nodes:
            self.check_alive(node)
        self.findings_made = Findings(self, read_events(sorted(self.folder.glob("*.events"))))
        self.found = self.findings_made.found
        self.report(faults)
        return 1 if self.found or self.findings else 0

    # Faults of upstreams; those of nodes are the soak's.

    def kill_upstream(self, number):
        place = self.places[number]
        with place.lock:
            place.process.send_signal(signal.SIGKILL)

    def stop_upstream(self, number, length, end_signal=signal.SIGCONT):
        process = self.places[number].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(length)
        process.send_signal(end_signal)

    def kill_stopped_upstream(self, number, length):
        self.stop_upstream(number, length, signal.SIGKILL)

    def write_entry(self, number, length, change):
        """Changes the entry of an upstream for some time, or removes it."""
        place = self.places[number]
        with place.lock:
            key = f"servers/{place.name}"
            if key not in self.store.items:
                return
            entry = place.entry()
            if change is None:
                self.store.remove(key)
            else:
                self.store.put(key, json.dumps({**entry, **change}))
            time.sleep(length)
            if change is None or key in self.store.items and place.entry()["born"] == entry["born"]:
                self.store.put(key, json.dumps(entry))

    def drain_upstream(self, number, length):
        self.write_entry(number, length, {"state": "draining"})

    def remove_upstream(self, number, length):
        self.write_entry(number, length, None)

    # Report.

    def log_lines(self, attempt):
        """The lines of the nodes' logs that name the attempt."""
        lines = []
        for node in self.nodes:
            for text in node.read_log().split("\n"):
                if f'"{attempt}"' in text:
                    line = json.loads(text)
                    at = line.get("time_us", 0) / 1e6 - time.time() + time.monotonic() - self.began
                    lines.append((at, f"{at:.3f} s {node.name} {text}"))
        return [text for _, text in sorted(lines)]

    def counts(self):
        """Findings by rule. A node that ended by itself or a check that failed counts too."""
        counts = Counter(rule for rule, *_ in self.found)
        counts.update(line.split(" at ")[0] for line in self.findings)
        return counts

    def report(self, faults):
        options = self.options
        statuses = Counter(answer.status for answer in self.answers)
        print(json.dumps({
            "seed": options.seed, "nodes": options.nodes, "upstreams": options.upstreams, "faults": len(faults),
            "attempts": len(self.answers), "on_kept_connections": sum(answer.before > 0 for answer in self.answers),
            "statuses": dict(sorted(statuses.items())),
            "relayed": sum(node.read_log().count('"relayed"') for node in self.nodes),
            "findings": dict(self.counts()),
            "kinds": dict(Counter(f"{rule}, {what}" for rule, what, *_ in self.found))}), flush=True)
        if not self.found and not self.findings:
            return
        texts = [self.findings_made.evidence(*finding) for finding in self.found]
        (self.folder / "findings").write_text("\n\n".join(texts + self.findings) + "\n")
        (self.folder / "faults").write_text("\n".join(map(str, faults)) + "\n")
        for node in self.nodes:
            shutil.copy(node.log.name, self.folder / f"{node.name}.log")
        printed = Counter()
        for finding, text in sorted(zip(self.found, texts), key=lambda pair: RULES.index(pair[0][0])):
            printed[finding[:2]] += 1
            if printed[finding[:2]] <= PRINTED_FINDINGS:
                print(text)
        for text in self.findings:
            print(text)
        print(f"logs, faults and findings are in {self.folder}", flush=True)

    def close(self):
        self.stopped.set()
        super().close()
        for place in self.places:
            place.process.send_signal(signal.SIGCONT)
            place.end()
        if not self.found and not self.findings:
            shutil.rmtree(self.folder)


def parse_options(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="draws the faults and what upstreams and callers do")
    parser.add_argument("--seconds", type=float, default=30,
                        help=f"length; the last {QUIET_SECONDS:.0f} without faults")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--upstreams", type=int, default=8)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--faults", type=float, default=2.0, help="a second, on average")
    parser.add_argument("--cut", type=float, default=0.25, help="share of the nodes without a path to the upstreams")
    parser.add_argument("--build", type=Path, default=Node.build, help="folder of the build whose nodes are run")
    add_shares(parser)
    parser.add_argument("--other-id", type=float, default=0.5,
                        help="share of the upstreams' starts under an address that get another id")
    options = parser.parse_args(arguments)
    options.production = None
    if options.seconds < WARM_UP_SECONDS + QUIET_SECONDS + 1:
        parser.error(f"--seconds: at least {WARM_UP_SECONDS + QUIET_SECONDS + 1:.0f} are needed")
    if min(options.nodes, options.upstreams, options.callers) < 1 or options.faults < 0:
        parser.error("--nodes, --upstreams and --callers must be 1 or more, --faults 0 or more")
    if options.nodes + options.upstreams > MAX_PROCESSES:
        parser.error(f"--nodes and --upstreams: at most {MAX_PROCESSES} together, which one machine bears")
    if not 0 <= options.cut < 1:
        parser.error("--cut must be 0 or more and less than 1")
    if not (options.build / "src/pollen_node/pollen_node").exists():
        parser.error(f"--build: there is no src/pollen_node/pollen_node in {options.build}")
    return options


def main():
    fleet = Fleet(parse_options())
    try:
        return fleet.run()
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(main())
