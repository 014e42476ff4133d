#!/usr/bin/env bash
# The stand-ins that the cases of the second review start are Python programs: those of review/common-2 and, of the project's
# own, testsuite/soak/store_standin.py and testsuite/soak/http_codec.py. There is nothing to compile; this checks that they can
# be read by the Python that is there (3.11 or later, standard library only).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/common-2/*.py review/[0-9]*/case.py testsuite/soak/store_standin.py testsuite/soak/http_codec.py <<'PY'
import sys
import tomllib  # Not before 3.11.

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY
