#!/bin/sh
# The stand-ins of the review's scripts, review/fleet.py and each case.py, need the standard
# library only; this checks that they can be read. No stand-in of the project is started.
cd "$(dirname "$0")/.." || exit 1
exec python3 -B -c 'import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)' review/fleet.py review/[1-5]/case.py
