# Starting and ending programs; sourced by the other scripts, which set $bin and $name first.
# shellcheck shell=bash
dir="$(mktemp -d)"
pids=()

cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT

fail() {
    echo "$name: $1" >&2
    exit 1
}

# start NAME COMMAND...: runs a program, waits for its ready line, and leaves its pid in $pid.
start() {
    local program="$1"
    shift
    "$@" >"$dir/$program.out" 2>"$dir/$program.err" &
    pid=$!
    pids+=("$pid")
    for _ in $(seq 500); do
        grep -q ' ready ' "$dir/$program.out" && return
        sleep 0.02
    done
    cat "$dir/$program.err" >&2
    fail "$program did not start"
}

# address NAME FIELD: an address from a program's ready line.
address() { sed -n "/ ready /{s/.* ready .*$2=\([^ ]*\).*/\1/p;q}" "$dir/$1.out"; }
