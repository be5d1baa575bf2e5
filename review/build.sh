#!/bin/sh
# Builds the stand-ins of the review's scripts: review/fleet.py and each case.py, which
# need the standard library only. The scripts start no stand-in of the project.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/fleet.py review/[1-5]/case.py
