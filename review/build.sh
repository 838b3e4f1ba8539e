#!/bin/sh
# The stand-ins are Python scripts that need only the standard library of Python
# 3.9 or newer: nothing is compiled. Checks that this Python can read them, and that
# the entry has been built by the deploy file's command.
set -e
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PYTHON'
import ast
import sys
if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sys.argv[1:]:
    ast.parse(open(path).read(), path)
PYTHON
test -x ../target/samphirehilld-platform || {
  echo "build the deploy file first (deploy/system.toml)" >&2
  exit 1
}
echo "stand-ins are ready"
