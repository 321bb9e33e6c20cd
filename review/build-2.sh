#!/usr/bin/env bash
# Builds the programs of the review cases 6 to 10, with their stand-ins, into target/review. The gateway
# itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview "$source" -o "target/review/case-$number" \
        -lboost_json
done
