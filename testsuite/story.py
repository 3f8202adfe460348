"""What the cases of the test suite share: each prints a story of what it saw,
which must equal its reference output, `out.txt` beside its `run.py`."""

import io
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tools"))
from deployment import *  # noqa: E402,F401,F403
from deployment import Deployment  # noqa: E402

MODEL = "lifebuoy-inspect"
CUSTOMER = "batumi-city"


class Story:
    def __init__(self):
        self.out = io.StringIO()

    def tell(self, line):
        print(line, flush=True)
        self.out.write(f"{line}\n")


def deploy(
    deployment, nodes=2, engines=3, services=2, engine=None, service=None, extra=""
):
    """Starts upstreams and nodes in turn over the failure domains, with the
    example's tables in force."""
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


def runs_of(deployment, key):
    """How often the call with this Idempotency-Key was executed, on all plain
    services that still run."""
    return sum(
        deployment.executions(u.process).get(key, 0)
        for u in deployment.upstreams
        if u.pool == "stations" and u.process.alive()
    )


def run_story(tell_story, make_deployment=Deployment):
    """Runs the story and compares it with the reference beside its script."""
    story = Story()
    with make_deployment() as deployment:
        tell_story(deployment, story)
    reference = Path(sys.argv[0]).resolve().parent / "out.txt"
    expected = reference.read_text() if reference.exists() else ""
    if story.out.getvalue() != expected:
        print(f"--- differs from {reference.name}, which expects:\n{expected}")
        sys.exit(1)
