#!/usr/bin/env python3
"""Runs a local deployment with the example tables until Ctrl-C."""

import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))
from demo import start  # noqa: E402
from deployment import ADMIN_TOKEN, Deployment  # noqa: E402


def main():
    with Deployment() as deployment:
        start(deployment)
        for node in deployment.nodes:
            print(
                f"{node.name}: callers 127.0.0.1:{node.caller_port}, "
                f"operators 127.0.0.1:{node.admin_port}"
            )
        port = deployment.nodes[0].caller_port
        print("\nTry:")
        print(f"curl -N http://127.0.0.1:{port}/v1/chat/completions \\")
        print(f"  -H 'Authorization: Bearer {deployment.api_key('batumi-city')}' \\")
        print(
            '  -d \'{"model":"lifebuoy-inspect","stream":true,"max_tokens":20,'
            '"messages":[{"role":"user","content":"hello"}]}\''
        )
        print(f"\nOperator token: {ADMIN_TOKEN}\nPress Ctrl-C to stop all processes.", flush=True)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
    main()
