#!/usr/bin/env bash
# Builds and runs the whole path on loopback: log service, VM list, 3 engines, 1 service and
# 3 daemons. Exits non-zero if anything that it shows did not come out. Needs a Rust toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --workspace --locked --quiet
bin="${CARGO_TARGET_DIR:-target}/debug"
name=demo
. scripts/common.sh

call() { "$bin/standin-call" "$@"; }

# settle TEXT COMMAND...: waits until the command succeeds.
settle() {
    local text="$1"
    shift
    for _ in $(seq 500); do
        "$@" >/dev/null 2>&1 && return
        sleep 0.02
    done
    fail "$text did not come about"
}

start log "$bin/standin-log"
log="$(address log address)"
start vms "$bin/standin-vms"
vms="$(address vms address)"

zones=(catania palermo siracusa)
list=""
for i in 0 1 2; do
    start "engine-$i" "$bin/standin-engine" --weights dga=v1
    list+="{\"id\":\"engine-$i\",\"role\":\"model-server\",\"pool\":\"model\",\"address\":\"$(address "engine-$i" address)\",\"region\":\"sicily\",\"zone\":\"${zones[$i]}\",\"standing\":\"live\"},"
done
start service "$bin/standin-service"
service="$(address service address)"
list+="{\"id\":\"service-0\",\"role\":\"service-server\",\"pool\":\"client-service\",\"address\":\"$service\",\"region\":\"sicily\",\"zone\":\"catania\",\"standing\":\"live\"}"

daemon_pids=()
for i in 0 1 2; do
    cat >"$dir/router-$i.json" <<JSON
{
  "id": "router-$i", "region": "sicily", "zone": "${zones[$i]}",
  "listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "operators_listen": "127.0.0.1:0",
  "log_service": "$log", "vm_list": "$vms",
  "limits": { "drain_notice_ms": 300 }
}
JSON
    start "router-$i" "$bin/cardamomvalved" --settings "$dir/router-$i.json"
    daemon_pids+=("$pid")
    list+=",{\"id\":\"router-$i\",\"role\":\"router\",\"address\":\"$(address "router-$i" peer)\",\"region\":\"sicily\",\"zone\":\"${zones[$i]}\",\"standing\":\"live\"}"
done
call PUT "$vms" /vms --body "{\"vms\":[$list]}"

# The key of the workspace is "demo-key"; the manifest holds its SHA-256 digest only.
cat >"$dir/manifest.json" <<'JSON'
{
  "format": 1,
  "pools": {
    "model": { "max_in_flight": 16, "max_waiting": 1000 },
    "client-service": { "max_in_flight": 16, "max_waiting": 1000 }
  },
  "models": {
    "dga": { "pool": "model", "weights": "v1", "objective": "wasted-recomputation", "default_deadline_ms": 10000 }
  },
  "services": {
    "fees": { "pool": "client-service", "default_deadline_ms": 10000 }
  },
  "workspaces": {
    "lab": {
      "keys_sha256": ["c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c"],
      "share": 1, "models": ["dga"], "services": ["fees"],
      "default_priority": "normal", "highest_priority": "urgent"
    }
  }
}
JSON
echo "== publish a manifest"
"$bin/cardamomvalve" check "$dir/manifest.json"
"$bin/cardamomvalve" publish "$dir/manifest.json" --log-service "$log"
usable() { [ "$("$bin/cardamomvalve" status --daemon "$(address "$1" operators)" --json | grep -c '"usable": true')" = 4 ]; }
for i in 0 1 2; do
    settle "router-$i's readiness" call GET "$(address "router-$i" operators)" /readyz
    settle "router-$i's view of all servers" usable "router-$i"
done

echo "== a streamed answer"
entry0="$(address router-0 entry)"
entry1="$(address router-1 entry)"
call POST "$entry0" /v1/chat/completions --header "authorization=Bearer demo-key" \
    --body '{"model":"dga","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"Is 120 ppm of acetylene a fault?"}]}' |
    tee "$dir/stream"
grep -q '^data: \[DONE\]' "$dir/stream" || fail "the stream did not end"

echo "== one fee payment, asked twice with one key at two daemons"
pay() {
    call POST "$1" /services/fees/payments --header "authorization=Bearer demo-key" \
        --header "idempotency-key=filing-7" --body '{"filing":7,"cents":9900}'
}
first="$(pay "$entry0")"
settle "the second daemon's receipt" pay "$entry1"
second="$(pay "$entry1")"
echo "$first"
echo "$second"
[ "$first" = "$second" ] || fail "the two receipts differ"
runs="$(call GET "$service" /runs)"
echo "runs: $runs"
echo "$runs" | grep -q ':1}$' || fail "the payment did not run exactly once"

echo "== load, with one daemon killed and one stopped as planned"
"$bin/cardamomvalve-load" --to "$entry0" --to "$entry1" --to "$(address router-2 entry)" \
    --key demo-key --model dga --service fees --requests 600 --concurrency 8 --pause-ms 10 \
    >"$dir/load.out" 2>"$dir/load.err" &
load=$!
sleep 0.5
kill -KILL "${daemon_pids[1]}"
echo "killed router-1"
sleep 0.5
kill -TERM "${daemon_pids[2]}"
echo "asked router-2 to stop"
wait "${daemon_pids[2]}" || fail "the planned stop ended with an error"
echo "router-2 has stopped"
wait "$load" || { cat "$dir/load.out" "$dir/load.err" >&2; fail "the load lost answers"; }
cat "$dir/load.out"
echo "== all came out"
