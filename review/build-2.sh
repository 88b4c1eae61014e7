#!/bin/sh
# The stand-ins of this review are plain Python without libraries: building them is compiling them.
set -eu
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-2-compiled" python3 -m compileall -q stand_ins_2
