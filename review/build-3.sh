#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 with their stand-ins, into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -I review "$source" -o "build-review-3/case-$number" \
        -lboost_json -lpthread
done
