#!/usr/bin/env bash
# Installs the packages that building and testing need. Requires root and Debian 12's package registry.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev spin
    libboost1.81-dev libboost-program-options1.81-dev libboost-json1.81-dev
    libnghttp2-dev prometheus-cpp-dev libspdlog-dev libtomlplusplus-dev libprotobuf-dev
    protobuf-compiler libxxhash-dev libssl-dev libgtest-dev libgmock-dev libbenchmark-dev curl
)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update
apt-get install -y "${packages[@]}"
