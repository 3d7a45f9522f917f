#!/bin/sh
# Builds the stand-ins of the cases: plain Python without any library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib 1 3 4 5
