"""What the seed draws: the faults of a run, in order, and the configurations that it changes to."""

import random

from platform_standins import KEY, config, route
from proxy import Proxy

WARM_UP_SECONDS = 3.0
QUIET_SECONDS = 9.0  # without faults, at the end
FIRST_DRAW = 0  # the configuration at the start
IDLE_SECONDS = (1.0, 1.5, 2.0, 3.0, 4.0, 6.0)  # idle timeouts of callers' connections
CHANGING_ROUTES = 4  # routes that are added, moved and removed
CUSTOMERS = {"bob": "key-of-bob", "cleo": "key-of-cleo"}  # that come and go


class Fault:
    """One fault of the series: a method of `Soak` and its arguments."""

    def __init__(self, at, kind, *args):
        self.at, self.kind, self.args = at, kind, args

    def __str__(self):
        return f"{self.at:6.2f} s {self.kind} {' '.join(map(str, self.args))}"


def draw_series(options):
    """The faults, in order. The same seed and options draw the same series."""
    chance = random.Random(options.seed)
    end = options.seconds - QUIET_SECONDS
    span = end - WARM_UP_SECONDS
    series = [draw_fault(chance, options, end) for _ in range(round(options.faults * span))]
    # From a generator of their own, so that the faults above don't depend on them.
    chance = random.Random(f"{options.seed}-combined")
    series += [draw_combined(chance, options, end) for _ in range(round(options.combined * span))]
    return sorted(series, key=lambda fault: fault.at)


def draw_fault(chance, options, end):
    at = chance.uniform(WARM_UP_SECONDS, end)
    node, runner = chance.randrange(options.nodes), chance.randrange(options.runners)
    length = round(min(chance.choice((0.3, 1.0, 1.5, 3.0)), end - at), 2)
    kind = chance.choice(("stop", "stop", "kill", "term", "hup", "kill_all", "crash", "replace", "release",
                          "leave", "refuse", "upstream_path", "upstream_path", "store_path", "store_down",
                          "cut_watches", "change_config", "change_config"))
    path = chance.choice(Proxy.KINDS[1:])
    args = {"stop": (node, length), "kill": (node,), "term": (node,), "hup": (node,), "kill_all": (),
            "crash": (runner,), "replace": (runner,), "release": (), "leave": (runner, length),
            "refuse": (runner, length), "upstream_path": (runner, path, length),
            "store_path": (node, path, length), "store_down": (length,), "cut_watches": (),
            "change_config": (chance.randrange(1000),)}[kind]
    return Fault(at, kind, *args)


def draw_combined(chance, options, end):
    """A fault of several parts: crowds, storms of changes, stops beside signals."""
    at = chance.uniform(WARM_UP_SECONDS, end)
    node, length = chance.randrange(options.nodes), chance.choice((0.3, 1.3, 2.5))
    kind = chance.choice(("crowd", "crowd", "crowd", "storm", "storm", "term_stopped", "roll_term"))
    changes = tuple(chance.randrange(1000) for _ in range(chance.randrange(3, 8)))
    args = {"crowd": (node, chance.choice(("calm", "stop", "stop", "term")), round(chance.uniform(0.6, 0.8), 2),
                      length),
            "storm": (chance.choice((0.05, 0.2, 0.4)), changes),
            "term_stopped": (node, round(chance.uniform(0, 3), 2), length),
            "roll_term": (node,)}[kind]
    return Fault(at, kind, *args)


class Tables:
    """A configuration. `draw` gives its timeouts, limits, customers and routes; the routes "read",
    "order" and "story" and the customer "ada" are always there."""

    def __init__(self, draw):
        chance = random.Random(draw)
        self.idle_seconds = max(IDLE_SECONDS) if draw == FIRST_DRAW else chance.choice(IDLE_SECONDS)
        self.limits = {"idle_timeout_ms": int(1000 * self.idle_seconds),
                       "header_timeout_ms": chance.choice((2000, 5000, 10000)),
                       "max_header_bytes": chance.choice((8192, 16384)),
                       "max_body_bytes": chance.choice((1 << 16, 1 << 22))}
        self.routes = [route("read", "idempotent", timeout_ms=3000 + draw),
                       route("order", "non_idempotent", attempts=3),
                       route("story", "streaming", resumable=True, attempts=4, timeout_ms=8000)]
        # The service "spare" has no upstreams.
        self.routes += [route(f"other{number}", "idempotent", service=chance.choice(("work", "work", "spare")))
                        for number in range(CHANGING_ROUTES) if chance.random() < 0.6]
        chance.shuffle(self.routes)
        self.customers = [{"name": "ada", "api_keys": [KEY]}]
        self.customers += [{"name": name, "api_keys": [key], **chance.choice(({}, {"rate_per_s": 2, "burst": 4}))}
                           for name, key in CUSTOMERS.items() if chance.random() < 0.6]

    def encode(self, version):
        services = [{"name": name, "health_path": "/healthz", "max_conns": 100} for name in ("work", "spare")]
        return config(version, routes=self.routes, services=services, limits=self.limits, tenants=self.customers)

