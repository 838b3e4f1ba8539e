#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the deploy file's build. The
# stand-ins are Python (parts_2.py, engines_2.py and, for case 8, standins.py), so this only
# checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
for path in ["parts_2.py", "engines_2.py", "standins.py",
             *(f"{case}/case.py" for case in (6, 8, 9, 10))]:
    compile(pathlib.Path(path).read_text(encoding="utf-8"), path, "exec")
CHECK
