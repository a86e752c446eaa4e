#!/usr/bin/env bash
# Checks what the scripts need. The stand-ins are Python modules without dependencies, so there is nothing to compile.
set -eu
cd "$(dirname "$0")/.."
python3 -B -c '
import sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
sys.path.insert(0, "review")
import deployment'
for script in review/[1-5]/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
