#!/bin/sh
# Put the libraries that run, and the compiled sources, under target/.
set -eu
# Libraries may have compiled parts, and a folder may have been copied from another machine.
built_for=$(python3 -c 'import platform, sys; print(sys.implementation.cache_tag, platform.machine())')
if [ ! target/deps -nt deploy/requirements.txt ] ||
    [ "$(cat target/deps/.built-for 2>/dev/null)" != "$built_for" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps -r deploy/requirements.txt
    echo "$built_for" >target/deps/.built-for
    touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/model/src/. packages/decisions/src/. packages/agreement/src/. \
    packages/protocol/src/. packages/node/src/. platform/src/. target/app/
python3 -m compileall -q target/app
