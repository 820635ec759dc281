#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the project's own programs, which the build of the deploy file
# makes. The stand-ins are Python files of the standard library alone, so this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPYCACHEPREFIX
PYTHONPYCACHEPREFIX=$(mktemp -d)
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -c 'import tomllib'
python3 -m py_compile common-2/tier.py {6,7,8,9,10}/play.py
