#!/usr/bin/env bash
# Measures the CPU time per shard request and the memory of one entry and one relay, compared with a
# bare echo server, and a fan-out to 440 shards. Prints one table.
# Usage: peak.sh BUILD; reports are written to run/peak. BENCH_NETWORK sets the first two octets of
# the loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
build=$1
net=${BENCH_NETWORK:-127.11}
seconds=10
connections=400 # idle, to measure the memory per connection

# Writes a configuration of one index: SERVICES services in SLICES slices, one backend server each.
write_set() { # DIRECTORY SERVICES SLICES
    local i
    mkdir -p "$1"
    cp examples/mesa-da-debulha/ranks.toml examples/mesa-da-debulha/places.toml "$1"
    for ((i = 0; i < $2; ++i)); do
        cat <<T
[service.wide-$i]
index = "wide"
slice = "wide-s$((i % $3))"

[backend-server.wide-$i-a]
service = "wide-$i"
place = "sertao-ne-a"
address = "127.0.$((101 + i / 200)).$((1 + i % 200)):9000"
slots = 8
connections = 16

T
    done >"$1/wide.toml"
}

pids_of() { # ROLE
    local pid
    for pid in "${!fleet_name[@]}"; do
        [[ ${fleet_name[$pid]} != $1-* ]] || echo "$pid"
    done
}

# Prints the CPU time of all processes of a role in clock ticks.
cpu_ticks() {
    for pid in $(pids_of "$1"); do cat "/proc/$pid/stat"; done |
        awk '{ n += $14 + $15 } END { print n }'
}
# Prints the largest resident memory of a role's processes in KiB.
max_memory() {
    for pid in $(pids_of "$1"); do cat "/proc/$pid/status"; done |
        awk '/^VmRSS/ && $2 > m { m = $2 } END { print m }'
}

line() { printf '%-46s %12s %s\n' "$1" "$2" "$3"; }

ratio() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.1f", b == 0 ? 0 : a / b }'; }

# Sends RATE searches per second to host 1 and prints the cost of a shard request for each role.
measure() { # NAME SERVICES RATE HOSTS
    local run=run/peak/$1 role before after shard_requests cost
    rm -rf "$run"
    write_set "run/peak/set-$1" "$2" 10
    fleet_pids=()
    fleet_name=()
    fleet_hosts=$4
    fleet_extra_backend=$'service_time_ms = 2\nservice_time_sigma = 0.3'
    fleet_start "$build" "../run/peak/set-$1" "$net" "$run"
    fleet_publish >/dev/null
    fleet_wait_ready
    cat >"$run/load.toml" <<T
[load]
entries = ["$net.0.1:8080"]
backend_admin = "$net.0.100:7002"
duration_ms = $((seconds * 1000))
summary_file = "$run/summary.txt"

[stream.desk]
index = "wide"
rank = "desk"
rate = $3

[window.whole]
T
    declare -A ticks=()
    for role in entry relay; do ticks[$role]=$(cpu_ticks $role); done
    "$build/bin/gwt-load" --config "$run/load.toml" >"$run/load.txt" 2>&1
    shard_requests=$(awk '$1 == "whole" { print $13 }' "$run/summary.txt")
    for role in entry relay; do
        before=${ticks[$role]}
        after=$(cpu_ticks $role)
        cost=$(awk -v t=$((after - before)) -v h="$(getconf CLK_TCK)" -v n="$shard_requests" \
            'BEGIN { printf "%.1f", t / h * 1e6 / n }')
        line "$1: $role, CPU per shard request" "$cost" us
        line "$1: $role, CPU per shard request, x of the echo" "$(ratio "$cost" "$echo_us")" ""
        line "$1: $role, shard requests/s per core" "$(awk -v c="$cost" 'BEGIN { printf "%.0f", 1e6 / c }')" ""
        line "$1: $role, memory" "$(max_memory $role)" KiB
    done
    line "$1: answers, complete answers" "$(awk '{ print $4 ", " $6 }' "$run/summary.txt")" ""
    line "$1: p50, p99 of a search" "$(awk '{ print $10 ", " $11 }' "$run/summary.txt")" ms
}

measure_connection_memory() {
    local before after i
    local -a opened=()
    before=$(max_memory entry)
    for ((i = 0; i < connections; ++i)); do
        exec {fd}<>"/dev/tcp/$net.0.1/8080"
        opened+=("$fd")
    done
    sleep 1
    after=$(max_memory entry)
    for fd in "${opened[@]}"; do exec {fd}>&-; done
    line "entry, memory per caller connection" $(((after - before) * 1024 / connections)) bytes
}

trap 'fleet_stop || true' EXIT
mkdir -p run/peak
echo_us=$("$build/bench-bin/EchoBench" | awk '{ print $2 }')
line "bare Beast echo, server CPU per request" "$echo_us" us
measure fan-out-20 20 150 1
measure_connection_memory
fleet_stop
measure fan-out-440 440 4 6
trap - EXIT
fleet_stop
