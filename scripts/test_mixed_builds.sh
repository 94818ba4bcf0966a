#!/usr/bin/env bash
# test_mixed_builds.sh OLD [NEW]: runs the process tests with fleets of two builds. OLD and NEW are
# the build folders of two commits (NEW: build); the tests are those of NEW. The first two rounds give
# every second process of a fleet to the other build, once each way round. In the third one, nodes of
# OLD write the settings' and the store's data on which a node of NEW then starts. Last, both builds
# check the example configurations and show the same pieces of them.
set -euo pipefail
cd "$(dirname "$0")/.."
old=$(realpath "$1")
new=$(realpath "${2:-build}")
failed=0
log=$(mktemp)
trap 'rm -f "$log"' EXIT
round() { # FOLDERS PROGRAM [OPTION...]
    local folders=$1
    shift
    echo "== $folders: ${1##*/} ${*:2}"
    FORDWOOD_BUILDS=$folders "$@" >"$log" 2>&1 && tail -n 3 "$log" || { cat "$log"; failed=1; }
}
for it in "$old/src:$new/src" "$new/src:$old/src"; do
    round "$it" "$new/tests/node-process-tests"
    round "$it" "$new/tests/process-tests"
done
round "$old/src:$old/src:$new/src" "$new/tests/node-process-tests" -tc="*three upstreams have ended*"
for it in examples/*/; do
    diff <("$old/src/fordwoodctl" check "$it" 2>&1) <("$new/src/fordwoodctl" check "$it" 2>&1) &&
        echo "fordwoodctl check $it: alike" || failed=1
done
((failed == 0)) && echo "mixed builds: passed" || { echo "mixed builds: failed"; exit 1; }
