#!/bin/sh
# Prepares what the scripts of review 2 start besides target/oleander_entry, which the build of the deploy file makes.
# Their stand-ins are Python (review/rig2.py and, of the project, tests/soak/standins.py), so they are only checked here.
set -eu
cd "$(dirname "$0")/.."
python3 - review/rig2.py tests/soak/standins.py review/[6-9]/case.py $(ls review/10/case.py 2>/dev/null || true) <<'PY'
import ast, sys
assert sys.version_info >= (3, 9), sys.version
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)
print("stand-ins are ready:", " ".join(sys.argv[1:]))
PY
