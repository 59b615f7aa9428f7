#!/bin/sh
# Builds what the cases need beside the build of the deploy file: nothing. The stand-ins are Python's standard
# library only; this checks that they compile with the interpreter that the deploy file's build has made.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
PYTHONDONTWRITEBYTECODE=1 .venv/bin/python - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
