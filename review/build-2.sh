#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the
# deploy file. Their stand-ins are plain Python of the standard library and run in
# the process of each script, so there is nothing to install: this checks that the
# interpreter is recent enough and that all files compile.
set -eu
cd "$(dirname "$0")"
python3 - stand_ins_2.py [6-9]/case.py 10/case.py <<'PY'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or later is needed')
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, 'exec')
PY
