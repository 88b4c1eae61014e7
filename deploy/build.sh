#!/bin/sh
# Put the libraries that run, and the compiled sources, under target/.
set -eu
if [ ! target/deps -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps -r deploy/requirements.txt
    touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r packages/model/src/. packages/decisions/src/. packages/agreement/src/. \
    packages/protocol/src/. packages/node/src/. platform/src/. target/app/
python3 -m compileall -q target/app
