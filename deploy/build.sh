#!/bin/sh
# Installs the daemon and its libraries, with bytecode, into target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.complete" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --no-deps --target "$deps" -r deploy/requirements.txt
    touch "$deps/.complete"
fi
python3 -m pip install -q --no-deps --upgrade --target "$deps" .
