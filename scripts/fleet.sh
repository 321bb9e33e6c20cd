# Starts and stops one consortium's stand-ins and daemons; sourced by other scripts.
#
# fleet_start BUILD CONSORTIUM NETWORK RUN: NETWORK is the first two octets of the loopback addresses,
# as in 127.21, which also replace those in the published configuration; RUN is the directory for
# settings and logs. Additional settings: fleet_extra_ROLE holds lines for each daemon of that role,
# fleet_extra_backend lines for the [backend] table of the stand-in backend servers.

fleet_hosts=6
fleet_extra_entry=""
fleet_extra_relay=""
fleet_extra_booking=""
fleet_extra_backend=""
declare -a fleet_pids=()
declare -A fleet_name=()

fleet_spawn() { # NAME PROGRAM
    "$fleet_bin/$2" --config "$fleet_run/$1.toml" >"$fleet_run/$1.log" 2>&1 &
    fleet_pids+=($!)
    fleet_name[$!]=$1
}

fleet_wait_http() { # URL
    for _ in $(seq 1 300); do
        curl -fs -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no successful reply from $1" >&2
    return 1
}

fleet_daemon_settings() { # ROLE HOST
    local address="$fleet_net.0.$2"
    local zone
    zone=$(echo "$fleet_zones" | sed -n "$(((($2 - 1) % 3) + 1))p")
    local port
    case $1 in entry) port=1 ;; relay) port=2 ;; booking) port=3 ;; esac
    cat <<T
[daemon]
name = "$1@host-$2"
host = "host-$2"
availability_zone = "$zone"
admin = "$address:710$port"
peer = "$address:730$port"
workers = 2
drain_interval_ms = 500

[platform]
address = "$fleet_net.0.100:7000"

[membership]
listen = "$address:720$port"
seeds = ["$fleet_net.0.1:7201", "$fleet_net.0.2:7201", "$fleet_net.0.3:7201"]
T
    if [ "$1" = entry ]; then
        printf '\n[entry]\nlisten = "%s:8080"\n' "$address"
    fi
    local extra="fleet_extra_$1"
    printf '%s\n' "${!extra}"
}

fleet_start() {
    fleet_bin=$1/bin
    fleet_net=$3
    fleet_run=$4
    fleet_set=$fleet_run/set
    mkdir -p "$fleet_set"
    local file
    for file in "examples/$2"/*.toml; do
        sed -E "s/\"127\.[0-9]+\./\"$fleet_net./" "$file" >"$fleet_set/${file##*/}"
    done
    fleet_zones=$(sed -n 's/^availability_zone = "\(.*\)"/\1/p' "$fleet_set/places.toml")
    cat >"$fleet_run/platform.toml" <<T
[platform]
listen = "$fleet_net.0.100:7000"
admin = "$fleet_net.0.100:7001"
build_indexes_of = "$fleet_set"
T
    cat >"$fleet_run/backend.toml" <<T
[backend]
admin = "$fleet_net.0.100:7002"
set = "$fleet_set"
workers = 3
$fleet_extra_backend
T
    fleet_spawn platform gwt-fake-platform
    fleet_spawn backend gwt-fake-backend
    fleet_wait_http "http://$fleet_net.0.100:7001/healthz"
    fleet_wait_http "http://$fleet_net.0.100:7002/healthz"
    local hosts="" host role
    for host in $(seq 1 $fleet_hosts); do
        local zone
        zone=$(echo "$fleet_zones" | sed -n "$((((host - 1) % 3) + 1))p")
        hosts+="${hosts:+,}{\"name\":\"host-$host\",\"address\":\"$fleet_net.0.$host\",\"availability_zone\":\"$zone\"}"
    done
    curl -fs -o /dev/null -d "[$hosts]" "http://$fleet_net.0.100:7001/admin/hosts"
    for host in $(seq 1 $fleet_hosts); do
        for role in relay booking entry; do
            fleet_daemon_settings $role "$host" >"$fleet_run/$role-$host.toml"
            fleet_spawn "$role-$host" "gwt-$role"
        done
    done
}

fleet_publish() {
    "$fleet_bin/gwtctl" publish "$fleet_set" --platform "$fleet_net.0.100:7000" --author demo
}

fleet_wait_ready() {
    local host port
    for host in $(seq 1 $fleet_hosts); do
        for port in 7101 7102 7103; do
            fleet_wait_http "http://$fleet_net.0.$host:$port/readyz" || return 1
        done
    done
}

# Stops all processes, daemons first; fails if one does not exit cleanly.
fleet_stop() {
    local status=0 i pid
    for ((i = ${#fleet_pids[@]} - 1; i >= 0; i--)); do
        pid=${fleet_pids[$i]}
        [ "$i" -ge 2 ] && kill -TERM "$pid" 2>/dev/null
    done
    for ((i = ${#fleet_pids[@]} - 1; i >= 0; i--)); do
        pid=${fleet_pids[$i]}
        [ "$i" -lt 2 ] && kill -TERM "$pid" 2>/dev/null
        if ! wait "$pid"; then
            echo "${fleet_name[$pid]} did not exit cleanly; see $fleet_run/${fleet_name[$pid]}.log" >&2
            status=1
        fi
    done
    fleet_pids=()
    return $status
}
