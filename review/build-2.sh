#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the deploy file's build: the
# stand-ins in stand-ins-2/, which are Python and need no more than a check.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in [*pathlib.Path("stand-ins-2").glob("*.py"), pathlib.Path("standins.py"),
             *pathlib.Path(".").glob("*/case.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
