#!/usr/bin/env python3
"""Checks that each suite of a GoogleTest program is registered with ctest: one that has no label
in the program's CMakeLists.txt is never run. Arguments: the program, its CMakeLists.txt."""

import re
import subprocess
import sys
from pathlib import Path


def main():
    program, build_file = sys.argv[1:]
    listing = subprocess.run([program, "--gtest_list_tests"], capture_output=True, text=True, check=True)
    suites = set(re.findall(r"^([A-Za-z]\S*)\.(?:\s|$)", listing.stdout, re.MULTILINE))
    registered = set()
    for arguments in re.findall(r"^label_suites\(([^)]*)\)", Path(build_file).read_text(), re.MULTILINE):
        registered.update(arguments.split()[1:])
    missing = sorted(suites - registered)
    for suite in missing:
        print(f"{suite} has no label in {build_file}, so it is never run")
    return 1 if missing or not suites else 0


if __name__ == "__main__":
    sys.exit(main())
