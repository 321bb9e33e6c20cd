#!/usr/bin/env bash
# Runs the benchmarks of the decision code and the scenarios of bench/scenarios on a complete fleet,
# each with the full policy and with its baseline, and prints a table of figures and targets.
# Usage: bench.sh BUILD [SCENARIO...]; reports are written to run/bench. BENCH_NETWORK sets the first
# two octets of the loopback addresses. Exits with 1 if a row misses its target.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
build=$1
shift
net=${BENCH_NETWORK:-127.11}
capacity=160 # searches per second: 2 backend servers of 2 slots for each service, 25 ms per request
all=(calm flood-background flood-desk flood-urgent straggler lying-load cold-start replica-lost
    service-gone zone-lost relay-killed relay-frozen retry-storm store-down nilecrate-lobby
    nilecrate-flood)
scenarios=("${@:-${all[@]}}")
missed=0

# Sets the daemons' settings for a variant; "policy" uses the defaults.
variant_settings() { # VARIANT
    fleet_extra_entry=""
    fleet_extra_relay=""
    fleet_extra_backend=$'service_time_ms = 25\nservice_time_sigma = 0.5'
    case $1 in
    policy) ;;
    no-ranks)
        fleet_extra_entry='admission = "none"'
        fleet_extra_relay=$'[relay]\nqueue = "fifo"'
        ;;
    random)
        fleet_extra_relay=$'[relay]\nqueue = "fifo"\npicker = "random"\nhedging = false'
        fleet_extra_relay+=$'\nejection = false'
        ;;
    esac
}

baseline_of() { # SCENARIO
    case $1 in
    *flood*) echo no-ranks ;;
    *) echo random ;;
    esac
}

consortium_of() { # SCENARIO
    case $1 in
    nilecrate-*) echo nilecrate ;;
    *) echo mesa-da-debulha ;;
    esac
}

# Prints the process id of the relay that owns a service's slice.
owner_of() { # SERVICE
    local owner pid
    owner=$("$build/bin/gwtctl" explain "$1" --platform "$net.0.100:7000" |
        sed -n 's/^owner: relay@host-\([0-9]*\).*/relay-\1/p')
    for pid in "${!fleet_name[@]}"; do
        [ "${fleet_name[$pid]}" != "$owner" ] || echo "$pid"
    done
}

# Injects faults that the stand-ins cannot cause, 4 s after the start of the load.
disturb_relay() { # SCENARIO PID
    sleep 4
    case $1 in
    relay-killed) kill -KILL "$2" ;;
    relay-frozen)
        kill -STOP "$2"
        sleep 10
        kill -CONT "$2"
        ;;
    esac
}

run_scenario() { # SCENARIO VARIANT
    local run=run/bench/$1-$2 entries="" host status=0 disturber="" relay
    rm -rf "$run"
    variant_settings "$2"
    fleet_pids=()
    fleet_name=()
    fleet_start "$build" "$(consortium_of "$1")" "$net" "$run"
    fleet_publish >/dev/null
    fleet_wait_ready
    for host in $(seq 1 $fleet_hosts); do entries+="\"$net.0.$host:8080\", "; done
    sed -e "s/@ENTRIES@/$entries/" -e "s/@NET@/$net/" -e "s|@RUN@|$run|" \
        "bench/scenarios/$1.toml" >"$run/load.toml"
    if [[ $1 == relay-* ]]; then
        relay=$(owner_of balcao-roca-01)
        [ -n "$relay" ] || { echo "$1 $2: no relay found that owns balcao-roca-01" >&2 && missed=1; }
        disturb_relay "$1" "$relay" &
        disturber=$!
    fi
    "$build/bin/gwt-load" --config "$run/load.toml" >"$run/load.txt" 2>&1 || status=1
    [ -z "$disturber" ] || wait "$disturber"
    [ $status -eq 0 ] || { echo "$1 $2: gwt-load failed; see $run/load.txt" >&2 && missed=1; }
    fleet_stop 2>"$run/stop.txt" || [ "$1" = relay-killed ] || {
        cat "$run/stop.txt" >&2
        missed=1
    }
}

# Prints the sum of a column over the streams that match a pattern, within one window.
figure() { # SCENARIO VARIANT WINDOW STREAMS COLUMN
    awk -v w="$3" -v s="^($4)\$" -v c="$5" '$1 == w && $2 ~ s { sum += $c } END { print sum + 0 }' \
        "run/bench/$1-$2/summary.txt"
}

percent() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.1f", b == 0 ? 100 : 100 * a / b }'; }

# Prints a row of the table; the figure must be at least (ge) or at most (le) the target.
row() { # SCENARIO WHAT ge|le TARGET FIGURE [BASELINE]
    local result ratio=-
    result=$(awk -v f="$5" -v t="$4" -v o="$3" \
        'BEGIN { print (o == "ge" ? f >= t : f <= t) ? "met" : "MISSED" }')
    if [ -n "${6:-}" ]; then
        ratio=$(awk -v f="$5" -v b="$6" 'BEGIN { if (b == 0) print "-"; else printf "%.2f", f / b }')
    fi
    [ "$result" = met ] || missed=1
    printf '%-17s %-42s %2s %9s %9s %9s %7s  %s\n' "$1" "$2" "$3" "$4" "$5" "${6:--}" "$ratio" "$result"
}

# Prints a row of the table without a target.
row_without_target() { # SCENARIO WHAT FIGURE BASELINE
    printf '%-17s %-42s %2s %9s %9s %9s %7s  %s\n' "$1" "$2" "" - "$3" "$4" - "no target"
}

ratio_of() { awk -v a="$1" -v b="$2" 'BEGIN { printf "%.2f", b == 0 ? 0 : a / b }'; }

# Columns of the summary lines.
sent=3 answered=4 in_target=5 complete=6 coverage=9 p99=11 shards=13 extra_attempts=14

share() { # SCENARIO VARIANT WINDOW STREAMS PART WHOLE, in percent
    percent "$(figure "$1" "$2" "$3" "$4" "$5")" "$(figure "$1" "$2" "$3" "$4" "$6")"
}

# Prints a row with a percentage for the policy and for the baseline.
share_row() { # SCENARIO WHAT ge|le TARGET WINDOW STREAMS PART WHOLE
    local base
    base=$(baseline_of "$1")
    row "$1" "$2" "$3" "$4" "$(share "$1" policy "$5" "$6" "$7" "$8")" \
        "$(share "$1" "$base" "$5" "$6" "$7" "$8")"
}

# Prints a row with one stream's figure for the policy and for the baseline.
figure_row() { # SCENARIO WHAT ge|le TARGET WINDOW STREAM COLUMN
    row "$1" "$2" "$3" "$4" "$(figure "$1" policy "$5" "$6" "$7")" \
        "$(figure "$1" "$(baseline_of "$1")" "$5" "$6" "$7")"
}

# Prints the 99th percentile during the overload as a multiple of the one before it.
p99_ratio_to_calm() { # SCENARIO VARIANT STREAM
    ratio_of "$(figure "$1" "$2" flood "$3" $p99)" "$(figure "$1" policy calm "$3" $p99)"
}

floor_row() { # SCENARIO RANK PERCENT
    local floor=$(($3 * capacity * flood_seconds / 100)) demand base
    base=$(baseline_of "$1")
    demand=$(figure "$1" policy flood "$2" $sent)
    [ "$demand" -ge "$floor" ] || floor=$demand
    row "$1" "$2 in target, % of its floor" ge 90 \
        "$(percent "$(figure "$1" policy flood "$2" $in_target)" "$floor")" \
        "$(percent "$(figure "$1" "$base" flood "$2" $in_target)" "$floor")"
}

useful_row() { # SCENARIO
    local base work=$((flood_seconds * capacity))
    base=$(baseline_of "$1")
    row "$1" "useful work, % of the capacity" ge 90 \
        "$(percent "$(figure "$1" policy flood '.*' $in_target)" $work)" \
        "$(percent "$(figure "$1" "$base" flood '.*' $in_target)" $work)"
}

flood_seconds=9
report_flood() { # SCENARIO URGENT-RANK FLOODED-RANK "RANK FLOOR"...
    local name=$1 urgent=$2 flooded=$3 rank
    shift 3
    if [ "$urgent" = "$flooded" ]; then
        share_row "$name" "admitted $urgent in target, %" ge 99 flood "$urgent|flood" \
            $in_target $answered
    else
        share_row "$name" "$urgent in target, %" ge 99 flood "$urgent" $in_target $sent
        row "$name" "$urgent p99 under overload, x of calm" le 1.5 \
            "$(p99_ratio_to_calm "$name" policy "$urgent")" \
            "$(p99_ratio_to_calm "$name" "$(baseline_of "$name")" "$urgent")"
    fi
    for rank in "$@"; do
        [ "${rank% *}" = "$flooded" ] || floor_row "$name" "${rank% *}" "${rank#* }"
    done
    useful_row "$name"
    share_row "$name" "in target 5 s after the overload, %" ge 99 after "$urgent|desk" $in_target $sent
}

extra_row() { # SCENARIO WINDOW PERCENT
    share_row "$1" "$2: extra attempts, %" le "$3" "$2" '.*' $extra_attempts $shards
}

report_fault() { # SCENARIO RANK WINDOW...
    local name=$1 rank=$2 window
    shift 2
    for window in "$@"; do
        share_row "$name" "$window: $rank in target, %" ge 99 "$window" "$rank" $in_target $sent
        figure_row "$name" "$window: $rank p99, ms" le 200 "$window" "$rank" $p99
        figure_row "$name" "$window: coverage of $rank, %" ge 99 "$window" "$rank" $coverage
        extra_row "$name" "$window" 5
    done
}

# Prints the percentage of searches not answered in target. It is compared with random replicas and no
# hedging instead of the 99th percentiles: searches end at the rank's target, so both would equal it.
missed_share() { # SCENARIO VARIANT RANK WINDOW
    awk -v p="$(share "$1" "$2" "$4" "$3" $in_target $sent)" 'BEGIN { printf "%.1f", 100 - p }'
}

missed_row() { # SCENARIO RANK WINDOW
    row "$1" "$3: $2 not in target, x of baseline" le 0.5 \
        "$(ratio_of "$(missed_share "$1" policy "$2" "$3")" "$(missed_share "$1" random "$2" "$3")")"
}

report_calm() {
    figure_row calm "urgent p99, ms" le 200 whole urgent $p99
    share_row calm "complete answers, %" ge 99.9 whole '.*' $complete $answered
    share_row calm "in target, %" ge 99 whole '.*' $in_target $sent
    extra_row calm whole 5
}

report_service_gone() {
    share_row service-gone "desk in target, %" ge 99 gone desk $in_target $sent
    figure_row service-gone "coverage of urgent (19 of 20 services), %" ge 95 gone urgent $coverage
    figure_row service-gone "urgent p99, ms" le 200 gone urgent $p99
    extra_row service-gone gone 5
}

# The budget is 5 % plus a burst of 20 attempts for each of the 4 owners, 0.8 % of the window's
# attempts.
report_retry_storm() {
    extra_row retry-storm failing 5.8
    row_without_target retry-storm "failing: coverage of urgent, %" \
        "$(figure retry-storm policy failing urgent $coverage)" \
        "$(figure retry-storm random failing urgent $coverage)"
    share_row retry-storm "after: urgent in target, %" ge 99 after urgent $in_target $sent
}

report() { # SCENARIO
    case $1 in
    calm) report_calm ;;
    flood-*) report_flood "$1" urgent "${1#flood-}" "desk 30" "background 10" ;;
    nilecrate-flood) report_flood "$1" lobby desk "reconciliation 20" ;;
    nilecrate-lobby)
        report_fault "$1" lobby slow-server
        missed_row "$1" lobby slow-server
        ;;
    straggler)
        report_fault "$1" urgent slow-server slow-replies
        missed_row "$1" urgent slow-server
        missed_row "$1" urgent slow-replies
        ;;
    lying-load)
        report_fault "$1" urgent lying
        missed_row "$1" urgent lying
        ;;
    cold-start) report_fault "$1" urgent cold warm ;;
    service-gone) report_service_gone ;;
    relay-killed) report_fault "$1" urgent killed after ;;
    relay-frozen) report_fault "$1" urgent first frozen after ;;
    retry-storm) report_retry_storm ;;
    store-down) report_fault "$1" urgent down ;;
    *) report_fault "$1" urgent lost ;;
    esac
}

trap 'fleet_stop || true' EXIT
mkdir -p run/bench
for scenario in "${scenarios[@]}"; do
    run_scenario "$scenario" policy
    run_scenario "$scenario" "$(baseline_of "$scenario")"
done
trap - EXIT
printf '%-17s %-42s %2s %9s %9s %9s %7s  %s\n' scenario what "" target figure baseline ratio result
for scenario in "${scenarios[@]}"; do
    report "$scenario"
done
if [ $# -eq 0 ]; then
    "$build/bench-bin/DecisionBench"
    "$build/bench-bin/AdmissionBench"
    "$build/bench-bin/QueryForwardingBench" 2>/dev/null | grep -v event=
    "$build/bench-bin/SharingBench"
    "$build/bench-bin/SharingScaleBench"
    bash scripts/peak.sh "$build"
fi
exit $missed
