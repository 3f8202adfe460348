#!/usr/bin/env python3
"""Runs all tests with ctest. Tests listed in KNOWN-RED.txt are run and reported, but do
not count as failed. The last line is `N passed, N failed`."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def known_red():
    """Names of the tests that are known to fail, which are the first words of the entries."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().split("\n")
    return {line.split()[0] for line in lines if line and not line.startswith((" ", "#"))}


def main():
    build = ROOT / (sys.argv[1] if len(sys.argv) > 1 else "build")
    run = subprocess.run(
        ["ctest", "--output-on-failure", "-j", "3", *sys.argv[2:]],
        cwd=build, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
    )
    print(run.stdout)
    results = re.findall(
        r"Test\s+#\d+: (.+?) \.+\s*(Passed|\S.*?)\s+[\d.]+ sec", run.stdout
    )
    red = known_red()
    passed = [name for name, result in results if result == "Passed"]
    failed = [name for name, result in results if result != "Passed"]
    for name in sorted(red):
        state = "failed" if name in failed else "passed" if name in passed else "not run"
        print(f"known red: {name}: {state}")
    counted = [name for name in failed if name not in red]
    for name in counted:
        print(f"failed: {name}")
    if not results:
        print("no test was run")
    print(f"{len(passed)} passed, {len(counted)} failed")
    return 1 if counted or not results else 0


if __name__ == "__main__":
    sys.exit(main())
