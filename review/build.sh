#!/usr/bin/env bash
# The stand-ins of the scripts are written in Python (review/common/standins.py,
# standard library only); nothing has to be compiled. Checks that they load.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
