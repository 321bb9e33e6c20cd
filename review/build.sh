#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts into review/bin, with g++ alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -c harness/Harness.cpp -o bin/Harness.o
g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread probes/endless-callers.cpp bin/Harness.o -o bin/endless-callers
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=${source%%/*}
    g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread "$source" bin/Harness.o -o "bin/case$number"
done
