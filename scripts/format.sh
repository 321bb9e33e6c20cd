#!/usr/bin/env bash
# Runs clang-format on all sources of the project with the given options.
set -euo pipefail
cd "$(dirname "$0")/.."
find src platform apps standins test bench fuzz -name '*.h' -o -name '*.cpp' 2>/dev/null | sort \
    | xargs -P 8 -n 16 clang-format "$@"
