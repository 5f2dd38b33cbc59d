#!/usr/bin/env bash
# Starts DAEMONS daemons and ENGINES engine stand-ins on loopback, waits until each daemon sees all
# of them, and prints what one daemon costs at rest: processor time, memory, bytes on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
daemons="${1:?usage: scale.sh DAEMONS ENGINES [SECONDS]}"
engines="${2:?usage: scale.sh DAEMONS ENGINES [SECONDS]}"
seconds="${3:-10}"
[ $((daemons + engines)) -le 200 ] || { echo "scale: at most 200 processes" >&2; exit 2; }

cargo build --workspace --locked --release --quiet
bin="${CARGO_TARGET_DIR:-target}/release"
name=scale
. scripts/common.sh

start log "$bin/standin-log"
start vms "$bin/standin-vms"
list=""
for i in $(seq "$engines"); do
    start "engine-$i" "$bin/standin-engine" --weights m=v1
    list+="{\"id\":\"engine-$i\",\"role\":\"model-server\",\"pool\":\"model\",\"address\":\"$(address "engine-$i" address)\",\"region\":\"r\",\"zone\":\"z\",\"standing\":\"live\"},"
done
daemon_pids=()
for i in $(seq "$daemons"); do
    cat >"$dir/router-$i.json" <<JSON
{
  "id": "router-$i", "region": "r", "zone": "z", "threads": 1,
  "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
  "log_service": "$(address log address)", "vm_list": "$(address vms address)"
}
JSON
    start "router-$i" "$bin/cardamomvalved" --settings "$dir/router-$i.json"
    daemon_pids+=("$pid")
    list+="{\"id\":\"router-$i\",\"role\":\"router\",\"address\":\"$(address "router-$i" peer)\",\"region\":\"r\",\"zone\":\"z\",\"standing\":\"live\"},"
done
"$bin/standin-call" PUT "$(address vms address)" /vms --body "{\"vms\":[${list%,}]}"
cat >"$dir/manifest.json" <<'JSON'
{
  "format": 1,
  "pools": { "model": { "max_in_flight": 16, "max_waiting": 1000 } },
  "models": { "m": { "pool": "model", "weights": "v1", "objective": "time-to-first-token", "default_deadline_ms": 10000 } },
  "workspaces": {}
}
JSON
"$bin/cardamomvalve" publish "$dir/manifest.json" --log-service "$(address log address)" >/dev/null

sees_all() {
    "$bin/cardamomvalve" status --daemon "$(address "router-$1" operators)" --json >"$dir/status" 2>/dev/null &&
        [ "$(grep -c '"usable": true' "$dir/status")" = "$engines" ] &&
        [ "$(grep -c '^    "router-' "$dir/status")" = $((daemons - 1)) ]
}
for i in $(seq "$daemons"); do
    for _ in $(seq 600); do
        sees_all "$i" && break
        sleep 0.1
    done
    sees_all "$i" || { fail "router-$i does not see all"; }
done

# Clock ticks of all daemons, kilobytes resident of all daemons, bytes on loopback.
ticks() { for pid in "${daemon_pids[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}'; }
resident() { for pid in "${daemon_pids[@]}"; do awk '/^VmRSS/ {print $2}' "/proc/$pid/status"; done | awk '{s += $1} END {print s}'; }
bytes() { awk '/lo:/ {print $2}' /proc/net/dev; }
before="$(ticks)"
sent="$(bytes)"
sleep "$seconds"
after="$(ticks)"
received="$(bytes)"
awk -v d="$daemons" -v e="$engines" -v s="$seconds" -v t="$((after - before))" -v hz="$(getconf CLK_TCK)" \
    -v kb="$(resident)" -v b="$((received - sent))" 'BEGIN {
    printf "%d daemons, %d engines: a daemon at rest takes %.2f%% of a core, %.1f MB; all together %.1f KB/s on loopback a daemon\n",
        d, e, 100 * t / hz / s / d, kb / d / 1024, b / s / d / 1000 }'
