"""The faults of a run, which the seed draws."""

import random

from series import Fault

WARM_UP_SECONDS = 2.0
QUIET_SECONDS = 4.0  # without faults, at the end
LENGTHS = (0.3, 0.6, 1.2, 3.0)  # seconds
KINDS = {"kill_upstream": 6, "stop_upstream": 5, "kill_stopped_upstream": 2, "drain_upstream": 2,
         "remove_upstream": 1, "stop": 4, "kill": 2, "term": 2, "term_stopped": 1, "hup": 1, "kill_all": 0.5,
         "store_down": 2, "cut_watches": 1}


def draw_faults(options):
    """The faults, in order of time. Each is a method of `Fleet` with its arguments."""
    chance = random.Random(f"{options.seed} faults")
    end = options.seconds - QUIET_SECONDS
    faults = []
    for _ in range(round(options.faults * (end - WARM_UP_SECONDS))):
        at = chance.uniform(WARM_UP_SECONDS, end)
        kind = chance.choices(list(KINDS), list(KINDS.values()))[0]
        length = chance.choice(LENGTHS)
        node, upstream = chance.randrange(options.nodes), chance.randrange(options.upstreams)
        args = {"kill_upstream": (upstream,), "stop": (node, length), "kill": (node,), "term": (node,),
                "term_stopped": (node, round(chance.uniform(0, 2), 2), length), "hup": (node,), "kill_all": (),
                "store_down": (length,), "cut_watches": ()}.get(kind, (upstream, length))
        faults.append(Fault(at, kind, *args))
    return sorted(faults, key=lambda fault: fault.at)
