#!/usr/bin/env python3
"""Bad requests, bad callers, bad settings and bad tables: each gets its own
clear answer and costs nobody else anything."""

import socket
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import (  # noqa: E402
    BUILD, CUSTOMER, MODEL, call, deploy, run_story, wait_until,
)


def problem(answer):
    body = answer.json()
    return f"{answer.status} {body['title']}: {body['detail']}"


def tell(deployment, story):
    deploy(
        deployment, nodes=1, engines=1, services=1, extra="caller_timeout_ms: 1500\n"
    )
    node = deployment.nodes[0]
    post = "/v1/chat/completions"
    key = {"Authorization": f"Bearer {deployment.key_of(CUSTOMER)}"}

    story.tell(problem(call(node.caller_port, "POST", post, b"{", key)))
    story.tell(problem(deployment.chat(node, CUSTOMER, "no-such-model", "x")))
    story.tell(problem(deployment.chat(node, "nobody", MODEL, "x")))
    story.tell(problem(call(node.caller_port, "POST", post, b"x" * 2_000_000, key)))
    story.tell(problem(deployment.service(node, CUSTOMER, "no-such-route/x", {})))
    story.tell(problem(deployment.service(node, CUSTOMER, "orders/x", {})))
    story.tell(problem(call(node.caller_port, "GET", "/v1/requests/odd", headers=key)))
    story.tell(problem(call(node.caller_port, "GET", "/nowhere", headers=key)))

    refused = deployment.chat(node, CUSTOMER, "no-such-model", "x")
    gone = call(
        node.caller_port, "GET", f"/v1/requests/{refused.headers['x-request-id']}",
        headers=key,
    )
    story.tell(f"nothing is kept of a refused request: {problem(gone)}")

    slow = socket.create_connection(("127.0.0.1", node.caller_port))
    slow.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Unfinished: ")
    slow.settimeout(30)
    story.tell(f"an unfinished header is closed: {slow.recv(100) == b''}")

    slow = socket.create_connection(("127.0.0.1", node.caller_port))
    slow.sendall(
        f"POST {post} HTTP/1.1\r\nHost: x\r\nAuthorization: {key['Authorization']}"
        "\r\nContent-Length: 100\r\n\r\n{".encode()
    )
    slow.settimeout(30)
    story.tell(f"an unfinished body is answered: {slow.recv(100).split()[1].decode()}")

    leaver = socket.create_connection(("127.0.0.1", node.caller_port))
    body = (
        f'{{"model":"{MODEL}","stream":true,"max_tokens":20000,'
        '"messages":[{"role":"user","content":"long"}]}'
    )
    leaver.sendall(
        f"POST {post} HTTP/1.1\r\nHost: x\r\nAuthorization: {key['Authorization']}"
        f"\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    leaver.recv(200)
    wait_until(lambda: deployment.status(node)["active_requests"] == 1, "the stream")
    leaver.close()
    wait_until(
        lambda: deployment.status(node)["active_requests"] == 0, "the cancellation"
    )
    story.tell("a stream that its caller leaves is cancelled")
    good = deployment.chat(node, CUSTOMER, MODEL, "x", max_tokens=3)
    story.tell(f"others are served: {good.status}")

    bad = deployment.work / "bad.yaml"
    bad.write_text(node.settings.read_text() + "kv_timeout_ms: soon\nnodes: 3\n")
    for program in ("pollen_entry", "pollen_control"):
        run = subprocess.run(
            [BUILD / program / program, "--config", bad], capture_output=True, text=True
        )
        said = run.stderr.replace(str(bad), "bad.yaml").strip()
        story.tell(f"{program} with bad settings: {run.returncode}\n{said}")

    routes = deployment.work / "routes.yaml"
    routes.write_text(
        "customers: []\nroutes:\n  - {name: r, model: m, rank: urgent, pool: none}\n"
    )
    pools = deployment.work / "pools.yaml"
    pools.write_text("domains: [a]\npools: []\n")
    for command in ("check", "apply"):
        run = deployment.pollenctl(command, "--routes", routes, "--pools", pools)
        story.tell(f"{command} of bad tables: {run.returncode} {run.stderr.strip()}")
    shown = deployment.pollenctl("show").stdout.split("\n")[0]
    story.tell(f"what was in force stays: {shown}")
    wrong = call(
        node.admin_port, "GET", "/admin/v1/tables",
        headers={"Authorization": "Bearer wrong"},
    )
    story.tell(f"the admin API with a wrong token: {problem(wrong)}")


run_story(tell)
