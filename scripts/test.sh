#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt, and prints the skipped ones.
# Usage: test.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|' -)
arguments=(--test-dir "$1" --output-on-failure -j 4)
if [ -n "$known" ]; then
    echo "skipped, see KNOWN-RED.txt:"
    sed -n 's/^test: */  /p' KNOWN-RED.txt
    arguments+=(-E "^($known)\$")
fi
ctest "${arguments[@]}"
