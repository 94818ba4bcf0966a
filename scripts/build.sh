#!/usr/bin/env bash
# Configures and builds into build/, or into the folder named by BUILD_DIR.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
