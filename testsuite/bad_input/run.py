#!/usr/bin/env python3
"""Bad requests, misbehaving callers, invalid settings and invalid tables: each gets
a specific error, and other requests are not affected."""

import socket
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from story import (  # noqa: E402
    BUILD, CUSTOMER, MODEL, call, deploy, run_case, wait_until,
)


def problem(response):
    body = response.json()
    return f"{response.status} {body['title']}: {body['detail']}"


def run_checks(deployment, transcript):
    deploy(
        deployment, nodes=1, engines=1, services=1, extra="caller_timeout_ms: 1500\n"
    )
    node = deployment.nodes[0]
    post = "/v1/chat/completions"
    key = {"Authorization": f"Bearer {deployment.api_key(CUSTOMER)}"}

    transcript.write(problem(call(node.caller_port, "POST", post, b"{", key)))
    transcript.write(problem(deployment.chat(node, CUSTOMER, "no-such-model", "x")))
    transcript.write(problem(deployment.chat(node, "nobody", MODEL, "x")))
    transcript.write(problem(call(node.caller_port, "POST", post, b"x" * 2_000_000, key)))
    transcript.write(problem(deployment.service(node, CUSTOMER, "no-such-route/x", {})))
    transcript.write(problem(deployment.service(node, CUSTOMER, "orders/x", {})))
    transcript.write(problem(call(node.caller_port, "GET", "/v1/requests/odd", headers=key)))
    transcript.write(problem(call(node.caller_port, "GET", "/nowhere", headers=key)))

    rejected = deployment.chat(node, CUSTOMER, "no-such-model", "x")
    lookup = call(
        node.caller_port, "GET", f"/v1/requests/{rejected.headers['x-request-id']}",
        headers=key,
    )
    transcript.write(f"a rejected request is not stored: {problem(lookup)}")

    slow = socket.create_connection(("127.0.0.1", node.caller_port))
    slow.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Unfinished: ")
    slow.settimeout(30)
    transcript.write(f"a connection with an unfinished header is closed: {slow.recv(100) == b''}")

    slow = socket.create_connection(("127.0.0.1", node.caller_port))
    slow.sendall(
        f"POST {post} HTTP/1.1\r\nHost: x\r\nAuthorization: {key['Authorization']}"
        "\r\nContent-Length: 100\r\n\r\n{".encode()
    )
    slow.settimeout(30)
    transcript.write(
        f"a request with an unfinished body gets status {slow.recv(100).split()[1].decode()}"
    )

    connection = socket.create_connection(("127.0.0.1", node.caller_port))
    body = (
        f'{{"model":"{MODEL}","stream":true,"max_tokens":20000,'
        '"messages":[{"role":"user","content":"long"}]}'
    )
    connection.sendall(
        f"POST {post} HTTP/1.1\r\nHost: x\r\nAuthorization: {key['Authorization']}"
        f"\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )
    connection.recv(200)
    wait_until(lambda: deployment.status(node)["active_requests"] == 1, "the stream to start")
    connection.close()
    wait_until(
        lambda: deployment.status(node)["active_requests"] == 0, "the stream to be cancelled"
    )
    transcript.write("a stream is cancelled when its caller disconnects")
    valid = deployment.chat(node, CUSTOMER, MODEL, "x", max_tokens=3)
    transcript.write(f"another request is served: {valid.status}")

    bad = deployment.work_dir / "bad.yaml"
    bad.write_text(node.settings.read_text() + "kv_timeout_ms: soon\nnodes: 3\n")
    for program in ("pollen_entry", "pollen_control"):
        run = subprocess.run(
            [BUILD / program / program, "--config", bad], capture_output=True, text=True
        )
        errors = run.stderr.replace(str(bad), "bad.yaml").strip()
        transcript.write(f"{program} with invalid settings: {run.returncode}\n{errors}")

    routes = deployment.work_dir / "routes.yaml"
    routes.write_text(
        "customers: []\nroutes:\n  - {name: r, model: m, rank: urgent, pool: none}\n"
    )
    pools = deployment.work_dir / "pools.yaml"
    pools.write_text("domains: [a]\npools: []\n")
    for command in ("check", "apply"):
        run = deployment.pollenctl(command, "--routes", routes, "--pools", pools)
        transcript.write(f"{command} of invalid tables: {run.returncode} {run.stderr.strip()}")
    shown = deployment.pollenctl("show").stdout.split("\n")[0]
    transcript.write(f"the active tables stay: {shown}")
    denied = call(
        node.admin_port, "GET", "/admin/v1/tables",
        headers={"Authorization": "Bearer wrong"},
    )
    transcript.write(f"the admin API with a wrong token: {problem(denied)}")


run_case(run_checks)
