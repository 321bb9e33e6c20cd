#!/usr/bin/env bash
# Runs the script of case $1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/.." || exit 2
program=review/$1/case
if [ ! -x "$program" ] || [ ! -x target/bin/gwt-gateway ]; then
    echo "build first: the build of deploy/system.toml, then bash review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "review/$1" "$folder" &
child=$!
trap 'kill -TERM $child 2>/dev/null' INT TERM
wait $child
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"/
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
