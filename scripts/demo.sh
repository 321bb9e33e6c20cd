#!/usr/bin/env bash
# Runs one consortium's complete fleet on loopback, sends load and prints one table.
# Usage: demo.sh BUILD CONSORTIUM
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
build=$1
consortium=$2
case $consortium in
mesa-da-debulha) net=127.21 ranks=(urgent desk background) indexes=(balcao-roca rateio-socios rateio-socios) booking=caderno-cozinha ;;
nilecrate) net=127.22 ranks=(lobby desk reconciliation) indexes=(branch-desk fleet-board fleet-board) booking=ledger-sync ;;
*) echo "unknown consortium $consortium; known: mesa-da-debulha, nilecrate" >&2; exit 2 ;;
esac
run=run/$consortium
rm -rf "$run"
trap 'fleet_stop || true' EXIT

echo "== starting the stand-ins and the daemons of $fleet_hosts hosts"
fleet_start "$build" "$consortium" "$net" "$run"
echo "== publishing examples/$consortium"
fleet_publish
fleet_wait_ready
echo "== sending searches of all ranks and bookings for 8 s"
{
    printf '[load]\nduration_ms = 8000\nbackend_admin = "%s.0.100:7002"\nentries = [' "$net"
    for host in $(seq 1 $fleet_hosts); do printf '"%s.0.%s:8080", ' "$net" "$host"; done
    printf ']\njson_file = "%s/report.json"\n' "$run"
    rates=(60 30 20)
    for i in 0 1 2; do
        printf '\n[stream.%s]\nindex = "%s"\nrank = "%s"\nrate = %s\n' \
            "${ranks[$i]}" "${indexes[$i]}" "${ranks[$i]}" "${rates[$i]}"
    done
    printf '\n[stream.bookings]\nkind = "booking"\nindex = "%s"\nrank = "%s"\nrate = 20\n' "$booking" "${ranks[0]}"
} >"$run/load.toml"
status=0
"$build/bin/gwt-load" --config "$run/load.toml" || status=1
echo "== stopping all processes"
trap - EXIT
fleet_stop || status=1
[ $status -eq 0 ] && echo "demo: all guarantees held" || echo "demo: FAILED"
exit $status
