#!/usr/bin/env bash
# Builds and runs the tests that start no processes with a sanitizer.
# Usage: sanitize.sh address|thread
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-$1
cmake -S . -B "$build" -G Ninja -DGWT_SANITIZE="$1" >/dev/null
mapfile -t tests < <(sed -n 's/^gwt_test(\([A-Za-z]*\) .*/\1/p' test/CMakeLists.txt | grep -v name)
cmake --build "$build" --target "${tests[@]}"
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd ':' -)
if [ -n "$known" ]; then
    echo "skipped, see KNOWN-RED.txt: $known"
    export GTEST_FILTER="-$known"
fi
logs=$build/sanitize-logs
rm -rf "$logs"
mkdir -p "$logs"
shards=4 # parallel processes for the tests of one program
run_one() { # TEST SHARD: writes TEST.SHARD.txt, and TEST.SHARD.failed on failure
    local name=$1.$2
    GTEST_TOTAL_SHARDS=$shards GTEST_SHARD_INDEX=$2 "$build/test-bin/$1" --gtest_brief=1 \
        >"$logs/$name.txt" 2>&1 || touch "$logs/$name.failed"
    echo "$name: $(tail -n 1 "$logs/$name.txt")"
}
export -f run_one
export build logs shards
for test in "${tests[@]}"; do
    for shard in $(seq 0 $((shards - 1))); do echo "$test $shard"; done
done | xargs -P 6 -L 1 bash -c 'run_one "$0" "$1"'
mapfile -t failed < <(cd "$logs" && ls ./*.failed 2>/dev/null | sed 's|./||; s|\.failed||')
if [ ${#failed[@]} -gt 0 ]; then
    for test in "${failed[@]}"; do
        echo "--- $test"
        grep -vE '\[(info|debug)\] event=' "$logs/$test.txt" | tail -n 100
    done
    echo "sanitizer $1: failed: ${failed[*]}"
    exit 1
fi
echo "sanitizer $1: ${#tests[@]} test programs clean"
