#!/bin/sh
# Installs the daemon and its libraries, with bytecode, into target/deps.
#
# Each build has a directory of its own, and target/deps is a symbolic link to the last
# one, so that a process that starts during a build finds complete modules. A build
# whose inputs have the digests of the last one does nothing.
set -eu
steps=deploy/build_steps.py
deps=target/deps
mkdir -p target
# Held by this shell until it ends; builds run one after the other.
exec 9>target/.build-lock
python3 "$steps" lock 9

inputs="src pyproject.toml deploy/sitecustomize.py"
libraries=$(python3 "$steps" digest deploy/requirements.txt)
# shellcheck disable=SC2086 # several paths
if [ "$(cat "$deps/.digest" 2>/dev/null)" = \
    "$libraries $(python3 "$steps" digest $inputs)" ]; then
    exit 0
fi

# Left by builds that did not end.
rm -rf target/.new target/.source
mkdir target/.source target/.source/deploy
# A copy, since pip builds in the tree and takes what an earlier build left in build/.
cp -R src pyproject.toml README.md target/.source
cp deploy/sitecustomize.py target/.source/deploy
find target/.source -name __pycache__ -prune -exec rm -rf {} +
find target/.source -name '*.egg-info' -prune -exec rm -rf {} +
# shellcheck disable=SC2086
sources=$(cd target/.source && python3 "../../$steps" digest $inputs)

read -r installed _ 2>/dev/null <"$deps/.digest" || installed=
if [ "$installed" = "$libraries" ]; then
    # With the times of the files, which the bytecode files refer to.
    cp -RpH "$deps" target/.new
    rm -rf target/.new/briarslip-*.dist-info
else
    python3 -m pip install -q --no-deps --target target/.new -r deploy/requirements.txt
fi
python3 -m pip install -q --no-deps --upgrade --target target/.new target/.source
cp target/.source/deploy/sitecustomize.py target/.new
rm -rf target/.source
echo "$libraries $sources" >target/.new/.digest
python3 "$steps" publish target/.new "$deps"
