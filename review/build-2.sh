#!/bin/sh
# Builds the stand-ins of review/6 to review/10: plain Python, checked by compiling it.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later"
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
P
