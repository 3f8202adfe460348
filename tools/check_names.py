#!/usr/bin/env python3
"""Finds names of the users' platform that are used outside its adapter.

Only the adapter `src/platform/`, `deploy/` and the platform's stand-ins may use these
names; all other sources use the project's own terms, so that the core does not depend
on one platform. Names that are common terms of the field are not listed."""

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAMES = re.compile(
    r"Attempt-Id|Token-Usage|Prompt-Prefix|Target-Instance|Server-Signature|"
    r"Server-Load|Server-Limit|Server-Leaving|Server-Brittle|Store-Era|Not-Executed|Deadline-Ms|Request-Priority|Duty-Owner|"
    r"Fencing-Token|Api-Key|Length-Hint|Weight-Versions|Kv-(?:From|Fetch|Backup)|"
    r"kv-(?:key|range|watch|txn|lease|keep|move|events|list|pin|handle)\b|"
    r"hold-(?:take|drop)|op/config|\bservers/|POLLENLEDGE_CONFIG|"
    r"\b(?:zone_prices|spot_price|preemptible|uncached_tokens|rate_per_s|"
    r"slo_ms|itl_target_ms|batch_slots|warmup_left_ms|revoke_ms)\b"
)
ALLOWED = ("src/platform/", "deploy/", "docs/", "journal/", "testsuite/platform",
           "tools/check_names.py")


def main():
    files = subprocess.run(
        ["git", "ls-files", "src", "testsuite", "tools", "examples"],
        cwd=ROOT, stdout=subprocess.PIPE, text=True, check=True,
    ).stdout.split()
    found = 0
    for name in files:
        if name.startswith(ALLOWED) or not (ROOT / name).exists():
            continue
        text = (ROOT / name).read_text(errors="replace")
        for number, line in enumerate(text.split("\n"), 1):
            match = NAMES.search(line)
            if match:
                print(f"{name}:{number}: names the platform's {match.group(0)!r}")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
