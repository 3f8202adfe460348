"""Shared code of the end-to-end cases. Each case prints a transcript of what it
observed, which must equal the `out.txt` next to its `run.py`."""

import io
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from deployment import *  # noqa: E402,F401,F403
from deployment import Deployment  # noqa: E402

MODEL = "lifebuoy-inspect"
CUSTOMER = "batumi-city"


class Transcript:
    """The lines that a case printed."""

    def __init__(self):
        self.out = io.StringIO()

    def write(self, line):
        print(line, flush=True)
        self.out.write(f"{line}\n")


def deploy(
    deployment, nodes=2, engines=3, services=2, engine=None, service=None, extra=""
):
    """Starts upstreams and nodes, spread round-robin over the failure domains, with
    the tables of the example active. `engine` and `service` set the behaviour of the
    stand-ins, `extra` is appended to the settings of each node."""
    domains = ["batumi-a", "kobuleti", "batumi-b"]
    for i in range(engines):
        deployment.add_upstream(
            "inspectors", domains[i % 3], "l4", "reclaimable",
            {"between_tokens_ms": 5, **(engine or {})},
        )
    for i in range(services):
        deployment.add_upstream(
            "stations", domains[i % 3], "small", "reclaimable", service
        )
    deployment.publish_list()
    for i in range(nodes):
        deployment.add_node(f"node-{i + 1}", domains[i % 3], extra=extra)
    deployment.apply_example()
    deployment.wait_ready()


def execution_count(deployment, key):
    """Number of executions with this Idempotency-Key, on all plain services that are
    still running."""
    return sum(
        deployment.executions(u.process).get(key, 0)
        for u in deployment.upstreams
        if u.pool == "stations" and u.process.alive()
    )


def run_case(run_checks, make_deployment=Deployment):
    """Runs a case and compares its transcript with the `out.txt` next to the script.
    Exits with status 1 if they differ."""
    transcript = Transcript()
    with make_deployment() as deployment:
        run_checks(deployment, transcript)
    reference = Path(sys.argv[0]).resolve().parent / "out.txt"
    expected = reference.read_text() if reference.exists() else ""
    if transcript.out.getvalue() != expected:
        print(f"--- the transcript differs from {reference.name}, which expects:\n{expected}")
        sys.exit(1)
