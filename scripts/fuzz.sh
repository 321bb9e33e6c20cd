#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with a fixed seed and a fixed number of inputs.
# Usage: fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DGWT_PCH=OFF -DGWT_FUZZ=ON >/dev/null
mapfile -t targets < <(cd fuzz && ls ./*Fuzz.cpp | sed 's|./||; s|\.cpp||')
cmake --build build-fuzz --target "${targets[@]}"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for target in "${targets[@]}"; do
    seeds=fuzz/seeds/$target
    mkdir -p "$scratch/$target"
    [ -d "$seeds" ] && cp "$seeds"/* "$scratch/$target/"
    "build-fuzz/fuzz-bin/$target" -seed=1 -runs="$runs" -max_len=4096 -timeout=10 \
        -artifact_prefix="$scratch/" "$scratch/$target" >"$scratch/$target.log" 2>&1 \
        || { tail -40 "$scratch/$target.log"; echo "fuzz: $target FAILED"; exit 1; }
    echo "fuzz: $target no finding in $runs inputs"
done
