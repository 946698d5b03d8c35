#!/bin/sh
# Checks what the scripts of cases 6 to 10 start: stand-ins in Python, which need no compiler.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "the build of the deploy file comes first" >&2; exit 1; }
PYTHONPATH=target/deps python3 - <<'PY'
import ast
import pathlib

import marigoldtrail.platform.adapter  # noqa: F401

for path in [*pathlib.Path("review/common-2").glob("*.py"), *(p for n in range(6, 11) for p in pathlib.Path(f"review/{n}").glob("case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("ready:", path)
PY
