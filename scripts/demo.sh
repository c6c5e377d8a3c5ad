#!/usr/bin/env bash
# Copyright 2026 The hookhall authors.
# SPDX-License-Identifier: Apache-2.0
#
# Starts a small fleet and its stand-ins on loopback, shows one answer, sends a
# short load of both profiles, prints a summary, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=bin
work=$(mktemp -d)
pids=()
finish() {
  # Stops the processes in reverse order of their start, so that entries can leave
  # the fleet while the platform still runs.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[i]}" 2>/dev/null || true
    wait "${pids[i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap finish EXIT

# start NAME COMMAND...: starts a program in the background, without waiting for it.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
}

# address NAME WORD: waits up to 10 s until a program has printed its address after
# WORD, and prints the address.
address() {
  for _ in $(seq 200); do
    local a
    a=$(cat "$work/$1.out" "$work/$1.log" | grep -oE "$2[ =]127\.0\.0\.1:[0-9]+" | head -1 | grep -oE '127.*' || true)
    if [ -n "$a" ]; then echo "$a"; return; fi
    sleep 0.05
  done
  echo "demo: $1 did not start" >&2
  cat "$work/$1.log" >&2
  exit 1
}

start kv "$bin/hookhall-standin" kv
start list "$bin/hookhall-standin" instances --lag 200ms
kv=$(address kv "listening at")
list=$(address list "listening at")
pool() { start "$1" "$bin/hookhall-standin" targets --list "$list" --pool "$@"; }
pool encoders --count 3 --capacity 8 --time 4ms
pool retrievers --count 3 --capacity 8 --time 6ms
pool rerankers --count 3 --capacity 8 --time 8ms
pool engines --count 6 --capacity 8 --time 20ms --token 4ms --cache 64
pool authorisation --count 3 --capacity 8 --time 10ms
pool replays --count 3 --capacity 8 --time 10ms

common="[platform]
key_value = \"$kv\"
instances = \"$list\"
[fleet]
secret = \"demo-fleet-secret\"
list_ms = 500"
export HOOKHALL_TOKEN=demo-operator-token
printf '[admin]\nlisten = "127.0.0.1:0"\noperator_token = "%s"\n%s\n' "$HOOKHALL_TOKEN" "$common" >"$work/admin.toml"
start admin "$bin/hookhall-admin" --config "$work/admin.toml"
HOOKHALL_ADMIN=$(address admin operators)
export HOOKHALL_ADMIN

entries=()
for i in 1 2 3; do
  printf '[entry]\ninstance = "entry-%d"\nhall = "hall-%d"\ncallers = "127.0.0.1:0"\npeers = "127.0.0.1:0"\noperator_token = "%s"\n[stop]\nnotice_ms = 100\n%s\n' \
    "$i" "$i" "$HOOKHALL_TOKEN" "$common" >"$work/entry-$i.toml"
  start "entry-$i" "$bin/hookhall-entry" --config "$work/entry-$i.toml"
  entries+=("$(address "entry-$i" callers)")
done

echo "== importing the table"
"$bin/hookhall-load" table mixed | "$bin/hookhallctl" import -
for i in 1 2 3; do
  for _ in $(seq 200); do
    grep -q 'Ready' "$work/entry-$i.log" && break
    sleep 0.05
  done
done
# Waits until each entry has read the first target of each of the six pools from the
# instance list, whose changes become visible with a lag.
for e in "${entries[@]}"; do
  for _ in $(seq 200); do
    [ "$("$bin/hookhallctl" dump "$e" | grep -c '"id": "[a-z]*-hall-1-0"')" = 6 ] && break
    sleep 0.05
  done
done
"$bin/hookhallctl" status
echo
echo "== one answer"
"$bin/hookhall-load" once --entries "${entries[0]}" --kind explain
echo
echo "== five seconds of load, both profiles"
"$bin/hookhall-load" run --profile mixed --rate 60 --time 5s --seed 1 --list "$list" \
  --entries "$(IFS=,; echo "${entries[*]}")" 2>/dev/null
echo
echo "== an operator's edit, and an entry's explanation of an account"
"$bin/hookhallctl" set accounts/venues priority=6
"$bin/hookhallctl" explain venues --entry "${entries[1]}"
