#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. They are
# written in Python (the standard library alone), so this only checks them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in [*pathlib.Path("common-3").glob("*.py"), *(p for n in range(11, 16) for p in pathlib.Path(str(n)).glob("*.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
