#!/usr/bin/env bash
# Fails when clang-tidy finds anything in our own sources. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' |
    grep -v -e '^src/wire/' -e easylogging_unit |
    xargs -r -P "$(nproc)" -n 1 clang-tidy-14 -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2>"$build/tidy.err" ||
    { grep -v 'warnings generated' "$build/tidy.err" >&2; echo "tidy: findings above" >&2; exit 1; }
echo "tidy: clean"
