#!/bin/sh
# The stand-ins of cases 11 to 15 need only the standard library of Python 3.11:
# nothing is installed or fetched. This checks that they can be compiled.
set -e
cd "$(dirname "$0")"
python3 -c "import sys; sys.exit(sys.version_info < (3, 11))"
for file in stand_ins_3.py 1[1-5]/case.py; do
    if [ -e "$file" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
    fi
done
