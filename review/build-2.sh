#!/bin/sh
# Prepares the scripts of cases 6 to 10. Their stand-ins are Python files that use the standard library
# only, so there is nothing to compile: this checks that they can be run here.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
python3 - kit-2/*.py 6/scenario.py 7/scenario.py 8/scenario.py 9/scenario.py 10/scenario.py <<'PY'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 is too old, 3.8 or later is needed")
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
print(len(sys.argv) - 1, "files can be run")
PY
