#!/usr/bin/env bash
# Checks every model of spec/ with Spin. In a model's header comment, a line "check: good" requires a
# run without a violation, "check: broken -DNAME" one in which Spin finds a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

run_spin() { # MODEL SWITCHES: prints "good" or "broken", and the number of states
    spin -a $2 "$1" >spin.log 2>&1 || { cat spin.log >&2; return 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c
    timeout 120 ./pan -m1000000 >pan.log 2>&1 || { cat pan.log >&2; return 1; }
    if grep -qE 'max search depth too small|out of memory' pan.log; then
        echo "the search was not exhaustive" >&2
        return 1
    fi
    if grep -q 'errors: 0' pan.log; then echo good; else echo broken; fi
    sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log
}

check() { # NUMBER MODEL EXPECTED SWITCHES: writes the result to NUMBER.line; fails if it differs from EXPECTED
    local start=$SECONDS mark=ok result
    mkdir "$work/$1"
    cd "$work/$1"
    mapfile -t result < <(run_spin "$root/$2" "$4")
    [ "${result[0]:-none}" = "$3" ] || mark=WRONG
    echo "$mark: $2 ${4:-(all safeguards)}: expected $3, found ${result[0]:-none}," \
        "${result[1]:-?} states, $((SECONDS - start)) s" >"$work/$1.line"
    [ $mark = ok ]
}
export -f run_spin check
export work root=$PWD

number=100 # three digits, so that the lines are printed in order
for model in spec/*.pml; do
    while read -r expected switches; do
        number=$((number + 1))
        printf '%s\0%s\0%s\0%s\0' $number "$model" "$expected" "$switches"
    done < <(sed -n '1,40s/^.*check: \(good\|broken\)\(.*\)$/\1\2/p' "$model")
done >"$work/checks"
status=0
xargs -0 -n 4 -P "$(nproc)" bash -c 'check "$@"' _ <"$work/checks" || status=1
cat "$work"/*.line
exit $status
