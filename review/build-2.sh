#!/usr/bin/env bash
# Builds the programs of the cases 4 to 8 into build-review-2/, from this folder's sources and the
# project's stand-in of the platform's store.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Itests -Isrc -Iinclude -Ireview/standins-2)
objects=()
for it in tests/process/platform_standins.cpp tests/standins/blocking_server.cpp \
    src/adapters/http/socket_address.cpp; do
    object="$out/$(basename "$it" .cpp).o"
    g++ "${flags[@]}" -c "$it" -o "$object"
    objects+=("$object")
done
for it in review/standins-2/case_*.cpp; do
    g++ "${flags[@]}" "$it" "${objects[@]}" -o "$out/$(basename "$it" .cpp)" \
        -lmicrohttpd -lcrypto -pthread
done
