#!/usr/bin/env python3
"""At-most-once execution of non-idempotent requests with real processes: retries,
killed and suspended entries, lost responses and outages of the key-value service.
The services count their executions."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import deploy, new_idempotency_key, run_case, execution_count, wait_until  # noqa: E402

CUSTOMER = "gonio-station"
ORDER = {"station": 4}


def order(deployment, node, key, timeout_s=60):
    return deployment.service(node, CUSTOMER, "orders/new", ORDER, key, timeout_s)


def start_in_background(job):
    """Runs `job` in a thread. Returns the thread and a list that receives the result,
    or None if the connection failed."""
    result = []

    def run():
        try:
            result.append(job())
        except OSError:
            result.append(None)

    thread = threading.Thread(target=run)
    thread.start()
    return thread, result


def problem_title(response):
    return response.json().get("title", "success")


def run_checks(deployment, transcript):
    deploy(deployment, nodes=3, engines=0)
    first, second, third = deployment.nodes
    services = [u.process for u in deployment.upstreams]

    key = new_idempotency_key()
    concurrent_calls = [
        start_in_background(lambda n=node: order(deployment, n, key))
        for node in deployment.nodes * 3
    ]
    for thread, _ in concurrent_calls:
        thread.join()
    responses = [result[0] for _, result in concurrent_calls]
    successful_bodies = {r.body for r in responses if r.status == 201}
    other_statuses = {r.status for r in responses} - {201}
    transcript.write(
        f"nine concurrent requests through three entries: executed {execution_count(deployment, key)}, "
        f"one response: {len(successful_bodies) == 1}, others get 409 in progress: {other_statuses <= {409}}"
    )
    repeated = order(deployment, second, key)
    transcript.write(
        f"a later retry: {repeated.status}, the same response: {repeated.body in successful_bodies}"
    )

    key = new_idempotency_key()
    deployment.set_behaviour(deployment.kv, lose_answers=1)
    response = order(deployment, first, key)
    transcript.write(
        f"the response to the claim write is lost after it took effect: {response.status}, "
        f"executed {execution_count(deployment, key)}"
    )

    key = new_idempotency_key()
    deployment.set_behaviour(deployment.kv, down=True)
    response = order(deployment, first, key)
    transcript.write(
        f"the key-value service is down: {response.status} {problem_title(response)}, "
        f"retry delay {response.headers.get('retry-after')} s, executed {execution_count(deployment, key)}"
    )
    deployment.set_behaviour(deployment.kv, down=False)
    response = order(deployment, second, key)
    transcript.write(
        f"the key-value service is back: {response.status}, executed {execution_count(deployment, key)}"
    )

    key = new_idempotency_key()
    for service in services:
        deployment.set_behaviour(service, delay_ms=3000)
    thread, _ = start_in_background(lambda: order(deployment, first, key, 5))
    wait_until(lambda: execution_count(deployment, key) == 1, "the order to run")
    first.entry.kill()
    response = order(deployment, second, key)
    transcript.write(
        f"the entry is killed during an execution: a retry through another entry gets "
        f"{response.status} {problem_title(response)}"
    )
    thread.join()
    deployment.start_entry(first)
    deployment.wait_ready([first])
    wait_until(
        lambda: problem_title(order(deployment, second, key)) == "outcome-unknown"
        and "Retry-After" not in str(order(deployment, second, key).headers),
        "the other entries to know the new incarnation",
    )
    response = order(deployment, first, key)
    transcript.write(
        f"a retry through the restarted entry: {problem_title(response)}, "
        f"executed {execution_count(deployment, key)}"
    )

    key = new_idempotency_key()
    for service in services:
        deployment.set_behaviour(service, delay_ms=500)
    thread, result = start_in_background(lambda: order(deployment, third, key))
    wait_until(lambda: execution_count(deployment, key) == 1, "the order to run")
    third.entry.suspend()
    response = order(deployment, second, key)
    transcript.write(
        f"the entry is suspended during an execution: a retry gets {response.status} {problem_title(response)}"
    )
    time.sleep(1)
    third.entry.resume()
    thread.join()
    transcript.write(f"the entry resumes and responds to its caller: {result[0].status}")
    response = order(deployment, second, key)
    transcript.write(
        f"a retry now gets {response.status}, executed {execution_count(deployment, key)}"
    )

    key = new_idempotency_key()
    for service in services:
        deployment.set_behaviour(service, delay_ms=0, lose_answers=1)
    response = order(deployment, first, key)
    transcript.write(
        f"the upstream's response is lost: {response.status} {problem_title(response)}"
    )
    response = order(deployment, second, key)
    transcript.write(
        f"a retry gets the same: {problem_title(response)}, executed {execution_count(deployment, key)}"
    )

    key = new_idempotency_key()
    for service in services:
        deployment.set_behaviour(service, lose_answers=0, refuse=True)
    response = order(deployment, first, key)
    transcript.write(
        f"every upstream rejects: {response.status} {problem_title(response)}, "
        f"executed {execution_count(deployment, key)}"
    )
    for service in services:
        deployment.set_behaviour(service, refuse=False)
    response = wait_until(
        lambda: (r := order(deployment, second, key)).status == 201 and r, "the order to succeed"
    )
    transcript.write(
        f"the upstreams accept requests again: {response.status}, executed {execution_count(deployment, key)}"
    )


run_case(run_checks)
