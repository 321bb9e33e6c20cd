#!/usr/bin/env bash
# Builds the stand-ins and the driver of each script, with g++ alone, as review/N/case.
set -euo pipefail
cd "$(dirname "$0")"
options=(-std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread)
objects=$(mktemp -d)
trap 'rm -rf "$objects"' EXIT
g++ "${options[@]}" -c Harness.cpp -o "$objects/Harness.o"
for source in [1-5]/case.cpp; do
    g++ "${options[@]}" "$source" "$objects/Harness.o" -o "${source%.cpp}"
done
