#!/usr/bin/env bash
# The stand-ins of the scripts are Python: the project's own in testsuite/soak and those in review/common. Nothing has
# to be compiled; this checks that the interpreter can read them all.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the scripts need Python 3.11 or later")
folders = [pathlib.Path("."), pathlib.Path("../testsuite/soak")]
for path in sorted(each for folder in folders for each in folder.rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("the stand-ins are ready")
PY
