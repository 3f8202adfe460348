#!/usr/bin/env python3
"""A fault soak with real processes. Callers with kept connections send requests through several
nodes, while a series of faults that the seed draws is injected from outside: signals to nodes,
crashes and releases of upstreams, a proxy before each upstream and between each node and the
store, a store that is down or cuts watches, changes of the configuration, one by one and in
storms, and crowds of kept connections that all send at once, to a node that stands still as well.

Checked from what callers and upstreams see: LOST, TWICE, REFUSED, MIXED, ORDER, RECOVER, and nodes
that end by themselves. Exits with 1 if a rule was broken; the series, the findings and the folder
with the nodes' logs are printed then.

LOST: a request's last byte was sent, its connection was still open 200 ms later, and it ended
without a whole answer. A node that was stopped and continued, or that applies a new configuration,
has no excuse. It doesn't count if the node's process was killed or was past its grace period, if
an upstream that the request reached was crashed or cut off from the nodes meanwhile, if the
request's deadline was over when an answer that had begun ended, or if the caller closed the
connection. Callers reuse a connection that rested for at most 0.8 of the idle timeout: the newest
acknowledged one, a lowered one as soon as it is written."""

import argparse
import itertools
import json
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from platform_standins import Cloud, Node, Platform, Runner, Store, free_peer_port  # noqa: E402
from callers import Caller, Crowd  # noqa: E402
from checks import check  # noqa: E402
from proxy import Proxy, ProxyLoop  # noqa: E402
from series import FIRST_DRAW, QUIET_SECONDS, WARM_UP_SECONDS, Tables, draw_series  # noqa: E402


ROLLED_NODES = 3  # by one `roll_term`


def handles(pid, number):
    """Whether the process catches or ignores the signal."""
    status = Path(f"/proc/{pid}/status").read_text()
    masks = re.findall(r"Sig(?:Cgt|Ign):\s*([0-9a-f]+)", status)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


class Soak:
    """One run."""

    def __init__(self, options):
        self.options = options
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.findings = []
        self.responses = []  # (time sent, kind, attempt, status)
        self.streams = []  # (time begun, complete)
        self.cuts = []  # requests that may be lost
        self.excuses = Counter()  # of them, by what ended their connections
        self.versions = itertools.count(2)
        self.config_lock = threading.Lock()
        self.config_numbers = itertools.count(10)
        self.ends = {}  # process: (signal that ended it, time)
        self.disturbances = []  # (upstream's number, begin, end) of what broke its responses off
        self.node_locks = [threading.Lock() for _ in range(options.nodes)]

    def find(self, rule, text):
        with self.lock:
            self.findings.append(f"{rule} at {time.monotonic() - self.began:.2f} s: {text}")

    def on_response(self, sent_at, kind, name, status, body):
        with self.lock:
            self.responses.append((sent_at, kind, name, status))
        if status == 200 and body != name.encode():
            self.find("MIXED", f"{name} got {body[:60]!r}")

    def on_stream(self, sent_at, complete):
        with self.lock:
            self.streams.append((sent_at, complete))

    def guard(self, function, *args):
        """Calls a function of a thread. A thread that ends by an exception checks nothing more."""
        try:
            function(*args)
        except Exception:
            self.find("soak failed", traceback.format_exc())

    def on_cut(self, cut):
        with self.lock:
            self.cuts.append(cut)

    # Start and end.

    def start(self):
        options = self.options
        self.store, self.cloud = Store(), Cloud()
        tables = Tables(FIRST_DRAW)
        self.idle_seconds = tables.idle_seconds  # that callers go by
        self.store.put("op/config", tables.encode(next(self.config_numbers)))
        proxy_loop = ProxyLoop()
        self.runners, self.upstream_paths = [], []
        for i in range(options.runners):
            runner = Runner(f"i-{i}", slots=32, host="127.0.1.1")
            path = Proxy(proxy_loop, runner.address)
            runner.public_address, runner.store = path.address, self.store
            runner.register()
            self.runners.append(runner)
            self.upstream_paths.append(path)
        # Not 127.0.0.1, of which connections take ports: those of a process that is down must stay free.
        hosts = [f"127.0.0.{i + 2}" for i in range(options.nodes)]
        peer_port = free_peer_port()
        self.store_paths = [Proxy(proxy_loop, self.store.address) for _ in hosts]
        self.nodes = [Node(f"n{i + 1}", host, peer_port, hosts[:3], self.store_paths[i], self.cloud)
                      for i, host in enumerate(hosts)]
        for node in self.nodes[::2] if options.production else []:
            node.kill()
            node.build = Path(options.production)
            node.start()
        Platform.wait_until(lambda: all(node.readiness_status() == 200 for node in self.nodes))

    def run(self):
        self.start()
        series = draw_series(self.options)
        self.began = time.monotonic()
        callers = [Caller(self, number) for number in range(self.options.callers)]
        threads = []
        for fault in series:
            time.sleep(max(0, self.began + fault.at - time.monotonic()))
            args = (getattr(self, fault.kind), *fault.args)
            threads.append(threading.Thread(target=self.guard, args=args, daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join()
        self.healed = time.monotonic()
        time.sleep(max(QUIET_SECONDS, self.began + self.options.seconds - self.healed))
        ended = time.monotonic()
        self.stopped.set()
        for caller in callers:
            caller.thread.join(timeout=15)
        check(self, ended)
        self.report(series)
        return 1 if self.findings else 0

    # Faults.

    def stop(self, number, length):
        with self.node_locks[number]:
            process = self.nodes[number].process
            process.send_signal(signal.SIGSTOP)
            time.sleep(length)
            process.send_signal(signal.SIGCONT)

    def end(self, number, end_signal, during=lambda: None):
        """Ends a node by a signal and starts it again, from the other build if there are two.
        `during` is called once the signal is sent."""
        with self.node_locks[number]:
            node = self.nodes[number]
            self.check_alive(node)
            self.ends[node.process] = end_signal, time.monotonic()
            node.process.send_signal(end_signal)
            during()
            try:
                node.process.wait(timeout=15)
            except subprocess.TimeoutExpired:
                self.find("did not end", node.name)
                node.kill()
            if self.options.production:
                node.build = Node.build if node.build != Node.build else Path(self.options.production)
            node.start()

    def check_alive(self, node):
        status = node.process.poll()
        if status is not None:
            self.find("ended by itself", f"{node.name}, status {status}")

    def kill(self, number):
        self.end(number, signal.SIGKILL)

    def term(self, number):
        self.end(number, signal.SIGTERM)

    def term_stopped(self, number, delay, length):
        """Stops and continues a node while it ends, and tells it to read its settings."""
        def during():
            process = self.nodes[number].process
            process.send_signal(signal.SIGHUP)
            time.sleep(delay)
            process.send_signal(signal.SIGSTOP)
            time.sleep(length)
            process.send_signal(signal.SIGCONT)

        self.end(number, signal.SIGTERM, during)

    def roll_term(self, number):
        """Ends some nodes, one after another."""
        for following in range(number, number + min(ROLLED_NODES, self.options.nodes)):
            self.term(following % self.options.nodes)

    def hup(self, number):
        with self.node_locks[number]:
            process = self.nodes[number].process
            # Before the program's first line any process ends by it.
            Platform.wait_until(lambda: process.poll() is not None or handles(process.pid, signal.SIGHUP))
            process.send_signal(signal.SIGHUP)

    def kill_all(self):
        threads = [threading.Thread(target=self.kill, args=(number,)) for number in range(self.options.nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def crash(self, number, version=None):
        runner = self.runners[number]
        begin = time.monotonic()
        if runner.crash():
            time.sleep(0.4)
            runner.restart(version)
            self.disturbances.append((number, begin, time.monotonic()))

    def replace(self, number):
        """The upstream's process is replaced by one of another version, under the same id."""
        self.crash(number, f"v{next(self.versions)}")

    def release(self):
        version = f"v{next(self.versions)}"
        for number in range(0, self.options.runners, 2):
            self.crash(number, version)

    def leave(self, number, length):
        """The upstream's entry is removed, and it comes back."""
        self.store.remove(f"servers/i-{number}")
        time.sleep(length)
        self.runners[number].register()

    def refuse(self, number, length):
        self.runners[number].refuses = True
        time.sleep(length)
        self.runners[number].refuses = False

    def path(self, proxy, kind, length):
        proxy.set(kind)
        time.sleep(length)
        proxy.set("pass")

    def upstream_path(self, number, kind, length):
        begin = time.monotonic()
        self.path(self.upstream_paths[number], kind, length)
        if kind != "delay":
            self.disturbances.append((number, begin, time.monotonic()))

    def store_path(self, number, kind, length):
        self.path(self.store_paths[number], kind, length)

    def store_down(self, length):
        self.store.down = True
        time.sleep(length)
        self.store.down = False

    def cut_watches(self):
        self.store.cut_watches()

    def change_config(self, draw):
        tables = Tables(draw)
        with self.config_lock:
            self.idle_seconds = min(self.idle_seconds, tables.idle_seconds)
            self.store.put("op/config", tables.encode(next(self.config_numbers)))
            self.idle_seconds = tables.idle_seconds

    def storm(self, pause, draws):
        for draw in draws:
            self.change_config(draw)
            time.sleep(pause)

    def crowd(self, number, way, share, length):
        Crowd(self, self.nodes[number]).run(way, share, length)

    # Report.

    def report(self, series):
        options = self.options
        served = sum(status == 200 for _, _, _, status in self.responses) / max(1, len(self.responses))
        complete = sum(whole for _, whole in self.streams) / max(1, len(self.streams))
        print(json.dumps({
            "seed": options.seed, "nodes": options.nodes, "faults": len(series), "requests": len(self.responses),
            "served": round(served, 3), "served_at_the_end": round(self.recovered, 3),
            "statuses": dict(Counter(status for _, _, _, status in self.responses)),
            "streams": len(self.streams), "complete": round(complete, 3), "cuts": dict(self.excuses),
            "findings": dict(Counter(line.split(" at ")[0] for line in self.findings))}), flush=True)
        if not self.findings:
            return
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
        for node in self.nodes:
            shutil.copy(node.log.name, folder / f"{node.name}.log")
        (folder / "series").write_text("\n".join(map(str, series)) + "\n")
        (folder / "findings").write_text("\n".join(self.findings) + "\n")
        for line in self.findings[:20]:
            print(line)
        print(f"logs, series and findings are in {folder}", flush=True)

    def close(self):
        for node in getattr(self, "nodes", []):
            node.process.send_signal(signal.SIGCONT)
            node.close()


def parse_options(arguments=None):
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=1, help="draws the series and the callers' requests")
    parser.add_argument("--seconds", type=float, default=30, help="length; the last 9 are without faults")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--runners", type=int, default=8, help="upstreams")
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--faults", type=float, default=1.0, help="a second, on average")
    parser.add_argument("--combined", type=float, default=0.4, help="faults of several parts a second, on average")
    parser.add_argument("--crowd", type=int, default=300, help="kept connections of one crowd")
    parser.add_argument("--production", help="folder of an older build; nodes change between the two")
    options = parser.parse_args(arguments)
    if options.seconds < WARM_UP_SECONDS + QUIET_SECONDS + 1:
        parser.error(f"--seconds: at least {WARM_UP_SECONDS + QUIET_SECONDS + 1:.0f} are needed")
    counts = options.nodes, options.runners, options.callers, options.crowd
    if min(counts) < 1 or min(options.faults, options.combined) < 0:
        parser.error("--nodes, --runners, --callers and --crowd must be 1 or more, --faults and --combined 0 or more")
    if options.nodes > 200:
        parser.error("--nodes: at most 200, the processes that one machine bears")
    if options.production and not (Path(options.production) / "src/pollen_node/pollen_node").exists():
        parser.error(f"--production: there is no src/pollen_node/pollen_node in {options.production}")
    return options


def main():
    soak = Soak(parse_options())
    try:
        return soak.run()
    finally:
        soak.close()


if __name__ == "__main__":
    sys.exit(main())
