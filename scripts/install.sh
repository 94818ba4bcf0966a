#!/usr/bin/env bash
# Installs everything that the build and the tests need, from Debian's packages.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config curl git ca-certificates
    clang-format-14 clang-tidy-14
    libmicrohttpd-dev libcurl4-openssl-dev libgrpc++-dev libprotobuf-dev prometheus-cpp-dev
    libtomlplusplus-dev libboost-program-options-dev libboost-dev libeasyloggingpp-dev
    libexpected-dev doctest-dev liblua5.4-dev libxxhash-dev nlohmann-json3-dev libssl-dev zlib1g-dev
    libbenchmark-dev
)
missing=()
for it in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
done
if ((${#missing[@]} == 0)); then
    exit 0
fi
echo "installing: ${missing[*]}"
sudo=()
((EUID == 0)) || sudo=(sudo)
"${sudo[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
