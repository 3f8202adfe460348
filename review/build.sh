#!/bin/sh
# Builds what the scripts start besides the programs of the deploy file. The stand-ins are one
# Python module without dependencies, so building them is compiling it.
set -e
cd "$(dirname "$0")"
python3 -m py_compile standins.py */case.py
rm -rf __pycache__ */__pycache__
