#!/usr/bin/env bash
# Installs what is needed, builds, and runs every test by ctest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
ctest --test-dir "${BUILD_DIR:-build}" --output-on-failure --no-tests=error "$@"
