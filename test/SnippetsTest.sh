#!/usr/bin/env bash
# Runs the commands of README.md and docs/OPERATIONS.md unchanged, against a fleet of stand-ins
# and daemons on free loopback addresses. Usage: SnippetsTest.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
source_dir=$PWD
build=$(cd "$1" && pwd)
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

free_network() {
    local i net
    for i in $(seq 0 29); do
        net=127.$((220 + ($$ + i) % 30)) # ProcessFleet takes lower ones
        curl -s -o /dev/null --max-time 1 "http://$net.0.100:7001/healthz" || { echo "$net"; return; }
    done
    return 1
}

# Prints the lines of the indented blocks of FILE without their indentation.
block_lines() { # FILE
    sed -nE 's/^ {4,}([^ ].*)$/\1/p' "$1"
}

# Prints the commands in the indented blocks of FILE, one per line, with continuation lines
# joined. Lines with arrows belong to process diagrams and are left out.
commands_of() { # FILE
    block_lines "$1" | sed -E ':a; /\\$/ { N; s/\\\n */ /; ta }' \
        | grep -E '^(gwtctl|curl) ' | grep -v -e '-->' || true
}

fail() {
    echo "FAILED: $1"
    failures=$((failures + 1))
}

run_commands() { # FILE
    local command count=0
    while IFS= read -r command; do
        count=$((count + 1))
        command=${command//127.21./$net.}
        if output=$(cd "$folder" && timeout 30 bash -c "$command" 2>&1); then
            echo "ok: $command"
        else
            fail "$command: $output"
        fi
    done < <(commands_of "$1")
    echo "$count commands of $1"
    [ "$count" -gt 0 ] || fail "no commands in $1"
}

check_settings() {
    sed -nE '/^ +\[daemon\]$/,/^   [^ ]/ s/^ {7}//p' docs/OPERATIONS.md >"$folder/relay.toml"
    grep -q '^peer = ' "$folder/relay.toml" || fail "no settings in OPERATIONS.md"
    (cd "$folder" && gwt-relay --config relay.toml --check-config) || fail "the settings of OPERATIONS.md"
}

# Checks that the search response has each key of the sample response in README.md.
check_answer() {
    local command answer key
    command=$(commands_of README.md | head -1)
    answer=$(timeout 30 bash -c "${command//127.21./$net.}")
    for key in $(block_lines README.md | grep -v '^-d' | grep -oE '"[a-z_]+":' | sort -u); do
        [[ $answer == *"$key"* ]] || fail "the answer has no $key as README.md says: $answer"
    done
}

# Starts a gateway on the fleet's platform, with one route, and waits until it is ready.
start_gateway() {
    local address=$net.0.110
    curl -sf -o /dev/null "http://$P/-/objects/config" -d '{"meta":{"name":"main"},"spec":{"version":1,
        "routes":[{"name":"r","hostname":"h","pathPrefix":"/","routeType":"idempotent","timeoutMs":1000,
        "service":"balcao-roca-01"}],"services":[{"name":"balcao-roca-01","maxConnections":4}]}}'
    cat >"$folder/gateway.toml" <<END
nodeName = "front-1"
zone = "z"
seedNodes = ["$address:8106"]
[listen]
front = "$address:8104"
ready = "$address:8108"
controlPlane = "$address:8106"
[bounds]
graceS = 6
drainMs = 3000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 50
configApplyMs = 3000
[platform]
address = "$P"
readsPerS = 2000
END
    GODWITTRAY_SETTINGS=$folder/gateway.toml gwt-gateway >"$folder/gateway.log" 2>&1 &
    gateway=$!
    export G=$address:8108
    for _ in $(seq 1 100); do
        curl -sf -o /dev/null "http://$G/-/readiness" && return
        sleep 0.1
    done
    cat "$folder/gateway.log"
    fail "the gateway is not ready"
}

stop_all() {
    [ -z "$gateway" ] || kill "$gateway" || true
    fleet_stop >/dev/null 2>&1 || true
    rm -rf "$folder"
}

gateway=
failures=0
net=$(free_network)
folder=$(mktemp -d "${TMPDIR:-/tmp}/gwt-snippets-XXXXXX")
trap stop_all EXIT
export PATH=$build/bin:$PATH
export P=$net.0.100:7000
fleet_start "$build" mesa-da-debulha "$net" "$folder/run"
mkdir "$folder/examples"
ln -s "$folder/run/set" "$folder/examples/mesa-da-debulha"
fleet_publish
fleet_wait_ready
start_gateway
check_settings
run_commands "$source_dir/README.md"
check_answer
run_commands "$source_dir/docs/OPERATIONS.md"
echo "$failures failures"
[ "$failures" -eq 0 ]
