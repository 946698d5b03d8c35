#!/bin/sh
# Builds the stand-ins of the third review. They are Python programs of the standard library alone, so that they are only
# checked to compile; nothing is written outside target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
python3 - <<'PY'
import pathlib, py_compile
for path in sorted([*pathlib.Path("review/common-3").glob("*.py"), *(pathlib.Path(f"review/{n}/case.py") for n in (11, 12))]):
    if path.exists():
        py_compile.compile(str(path), cfile=f"target/review-3/{path.parent.name}-{path.stem}.pyc", doraise=True)
        print("compiled", path)
PY
