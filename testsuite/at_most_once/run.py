#!/usr/bin/env python3
"""Non-idempotent work with real processes: resends, kills, a freeze, lost
answers and outages. The services count what they execute."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import deploy, new_key, run_story, runs_of, wait_until  # noqa: E402

CUSTOMER = "gonio-station"
ORDER = {"station": 4}


def order(deployment, node, key, timeout_s=60):
    return deployment.service(node, CUSTOMER, "orders/new", ORDER, key, timeout_s)


def in_background(job):
    result = []

    def run():
        try:
            result.append(job())
        except OSError:
            result.append(None)

    thread = threading.Thread(target=run)
    thread.start()
    return thread, result


def title(answer):
    return answer.json().get("title", "answered")


def tell(deployment, story):
    deploy(deployment, nodes=3, engines=0)
    first, second, third = deployment.nodes
    services = [u.process for u in deployment.upstreams]

    key = new_key()
    at_once = [
        in_background(lambda n=node: order(deployment, n, key))
        for node in deployment.nodes * 3
    ]
    for thread, _ in at_once:
        thread.join()
    answers = [result[0] for _, result in at_once]
    good = {a.body for a in answers if a.status == 201}
    other = {a.status for a in answers} - {201}
    story.tell(
        f"nine at once through three entries: ran {runs_of(deployment, key)}, "
        f"one answer: {len(good) == 1}, others told in progress: {other <= {409}}"
    )
    again = order(deployment, second, key)
    story.tell(f"later: {again.status}, the same answer: {again.body in good}")

    key = new_key()
    deployment.behave(deployment.kv, lose_answers=1)
    answer = order(deployment, first, key)
    story.tell(
        f"the claim's answer is lost after it took effect: {answer.status}, "
        f"ran {runs_of(deployment, key)}"
    )

    key = new_key()
    deployment.behave(deployment.kv, down=True)
    answer = order(deployment, first, key)
    story.tell(
        f"the key-value service is down: {answer.status} {title(answer)}, come back "
        f"after {answer.headers.get('retry-after')} s, ran {runs_of(deployment, key)}"
    )
    deployment.behave(deployment.kv, down=False)
    answer = order(deployment, second, key)
    story.tell(f"it is back: {answer.status}, ran {runs_of(deployment, key)}")

    key = new_key()
    for service in services:
        deployment.behave(service, delay_ms=3000)
    thread, _ = in_background(lambda: order(deployment, first, key, 5))
    wait_until(lambda: runs_of(deployment, key) == 1, "the order to run")
    first.entry.kill()
    answer = order(deployment, second, key)
    story.tell(
        f"its entry is killed while it runs: a resend elsewhere gets "
        f"{answer.status} {title(answer)}"
    )
    thread.join()
    deployment.start_entry(first)
    deployment.wait_ready([first])
    wait_until(
        lambda: title(order(deployment, second, key)) == "outcome-unknown"
        and "Retry-After" not in str(order(deployment, second, key).headers),
        "the new incarnation to be known",
    )
    answer = order(deployment, first, key)
    story.tell(
        f"and for good, through its new incarnation: {title(answer)}, "
        f"ran {runs_of(deployment, key)}"
    )

    key = new_key()
    for service in services:
        deployment.behave(service, delay_ms=500)
    thread, result = in_background(lambda: order(deployment, third, key))
    wait_until(lambda: runs_of(deployment, key) == 1, "the order to run")
    third.entry.freeze()
    answer = order(deployment, second, key)
    story.tell(f"its entry is frozen: a resend gets {answer.status} {title(answer)}")
    time.sleep(1)
    third.entry.thaw()
    thread.join()
    story.tell(f"it wakes and answers its own caller: {result[0].status}")
    answer = order(deployment, second, key)
    story.tell(f"now the resend gets {answer.status}, ran {runs_of(deployment, key)}")

    key = new_key()
    for service in services:
        deployment.behave(service, delay_ms=0, lose_answers=1)
    answer = order(deployment, first, key)
    story.tell(f"the upstream's answer is lost: {answer.status} {title(answer)}")
    answer = order(deployment, second, key)
    story.tell(f"for a resend too: {title(answer)}, ran {runs_of(deployment, key)}")

    key = new_key()
    for service in services:
        deployment.behave(service, lose_answers=0, refuse=True)
    answer = order(deployment, first, key)
    story.tell(
        f"every upstream refuses: {answer.status} {title(answer)}, "
        f"ran {runs_of(deployment, key)}"
    )
    for service in services:
        deployment.behave(service, refuse=False)
    answer = wait_until(
        lambda: (a := order(deployment, second, key)).status == 201 and a, "the order"
    )
    story.tell(f"they take work again: {answer.status}, ran {runs_of(deployment, key)}")


run_story(tell)
