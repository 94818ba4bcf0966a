#!/usr/bin/env bash
# Fails when a source differs from what clang-format makes of it. With --fix, formats instead.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[[ ${1:-} == --fix ]] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.hpp' | grep -v '^src/wire/' |
    xargs -r -P 4 -n 16 clang-format-14 "${mode[@]}"
echo "format: clean"
