#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into build/review/. Needs g++ and nlohmann-json.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for it in review/[0-9]/case.cpp; do
    number=$(basename "$(dirname "$it")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review/case-$number" "$it"
done
