#!/usr/bin/env bash
# Measures how long a trainer waits for its steps on real processes: a platform, six engine stand-ins of which some
# requests are slow, three daemons, and an engine that is killed 8 s after the start of the load. Prints one line per
# seed. Usage: scripts/measure_idle.sh DAEMON SEED..., after a build.
set -euo pipefail
cd "$(dirname "$0")/.."
daemon=$1
shift
bin=$PWD/build
folder=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$folder"' EXIT

await() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "waited 30 s for: $*" >&2
  exit 1
}
start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}
port_of() {
  await grep -q '^listening on ' "$folder/$1.log"
  sed -n 's/^listening on //p' "$folder/$1.log" | head -n 1
}
free_ports() {
  python3 - "$1" <<'PYTHON'
import socket, sys
sockets = [socket.socket() for _ in range(int(sys.argv[1]))]
for s in sockets:
    s.bind(("127.0.0.1", 0))
print(*[s.getsockname()[1] for s in sockets])
PYTHON
}
change() { # KIND NAME VALUE
  local base
  base=$(curl -sf "http://$admin1/admin/config" | python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')
  curl -sf "http://$admin1/admin/change" \
    -d "{\"base_version\":$base,\"kind\":\"$1\",\"name\":\"$2\",\"value\":$3}" >/dev/null
}

for seed in "$@"; do
  rm -f "$folder"/*
  start platform "$bin/standin_platform"
  platform=127.0.0.1:$(port_of platform)
  for i in 1 2 3 4 5 6; do
    start "engine$i" "$bin/standin_engine" --id "engine$i" --zone "z$((i % 3))" --token-ms 20 --seed "$((seed * 10 + i))"
    declare "engine_pid$i=$last_pid" "engine$i=127.0.0.1:$(port_of "engine$i")"
    engine=engine$i
    curl -sf "http://${!engine}/standin/faults" -d '{"straggler_percent":8,"straggler_factor":8}' >/dev/null
  done
  read -r -a ports <<<"$(free_ports 9)"
  for i in 1 2 3; do
    declare "caller$i=127.0.0.1:${ports[$((i * 3 - 3))]}" "admin$i=127.0.0.1:${ports[$((i * 3 - 2))]}"
    caller=caller$i admin=admin$i
    cat >"$folder/entry$i.json" <<JSON
{"instance": {"id": "entry$i", "zone": "z$i", "cluster": "idle"},
 "listen": {"caller": "${!caller}", "admin": "${!admin}", "peer": "127.0.0.1:${ports[$((i * 3 - 1))]}"},
 "platform": {"address": "$platform"}}
JSON
  done
  start entry1 "$daemon" --settings "$folder/entry1.json"
  await curl -sf "http://$admin1/readyz"
  change profile normal '{"staleness_bound":2}'
  change service chat '{"kind":"inference","profile":"normal"}'
  change route chat '{"service":"chat"}'
  for i in 1 2 3 4 5 6; do
    engine=engine$i
    change endpoint "engine$i" "{\"service\":\"chat\",\"address\":\"${!engine}\",\"zone\":\"z$((i % 3))\"}"
  done
  change workspace hides '{}'
  change key "$(printf %s idle-key | sha256sum | cut -d' ' -f1)" '{"workspace":"hides"}'
  change queue steps '{"workspace":"hides","service":"chat"}'
  for i in 2 3; do start "entry$i" "$daemon" --settings "$folder/entry$i.json"; done
  for i in 2 3; do
    admin=admin$i
    await curl -sf "http://${!admin}/readyz"
  done
  start load "$bin/quetzalridge_load" --addresses "$caller1,$caller2,$caller3" --keys hides=idle-key --seed "$seed" \
    --seconds 20 --rate 1 --peak-rate 1 --model chat --trainers 1 --queue steps --service chat --platform "$platform" \
    --groups 6 --samples 8 --needed 8 --tokens 100 --train-ms 500 --csv "$folder/load.csv"
  load_pid=$last_pid
  sleep 8
  kill -9 "$engine_pid1"
  wait "$load_pid" || echo "seed $seed: the load ended with an error" >&2
  python3 - "$folder" "$seed" <<'PYTHON'
import csv, json, sys
folder, seed = sys.argv[1:]
rows = [r for r in csv.DictReader(open(folder + "/load.csv")) if r["kind"] == "trainer"]
waits = sorted(int(r["p50_or_wait_ms"]) for r in rows)
ages = [int(r["staleness"]) for r in rows if r["staleness"]]
print(f"seed {seed}: steps {len(waits)}, wait median {waits[len(waits) // 2]} ms, worst {waits[-1]} ms, "
      f"samples {sum(int(r['ok_or_samples']) for r in rows)}, oldest age {max(ages)}")
PYTHON
  stop_all
done
