#!/usr/bin/env bash
# Runs clang-tidy over the given sources, or over all of ours. Uses a compilation database for
# clang without precompiled headers, which clang cannot read when g++ wrote them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-lint -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
    -DGWT_PCH=OFF >/dev/null
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(find src platform apps standins test bench -name '*.cpp' | sort)
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build-lint 2>/dev/null
echo "clang-tidy: ${#files[@]} files clean"
