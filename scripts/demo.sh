#!/usr/bin/env bash
# Shows the main job on real processes: stand-ins, three instances, an interactive request, one trainer step, an
# endpoint killed in the middle of a stream, and the burn report. Each step is checked; the first failed check ends the
# script with status 1. Every process is ended by its own identifier.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${QUETZALRIDGE_JOBS:-$(nproc)}

scripts/install_packages.sh
cmake --preset default >/dev/null
cmake --build --preset default -- -j "$jobs" >/dev/null
bin=$PWD/build
folder=$(mktemp -d)
pids=()

finish() {
  status=$?
  for pid in "${pids[@]}"; do
    # A planned stop would wait for the platform, which ends at the same time.
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "FAILED; logs of the processes:" >&2
    tail -n 20 "$folder"/*.log >&2 || true
  fi
  rm -rf "$folder"
  exit "$status"
}
trap finish EXIT

step() { printf '\n== %s\n' "$*"; }
fail() { echo "check failed: $*" >&2; exit 1; }

# Waits up to 30 s for a command to succeed.
await() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  fail "waited 30 s for: $*"
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background with its log in NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

# The port that a stand-in printed.
port_of() {
  await grep -q '^listening on ' "$folder/$1.log"
  sed -n 's/^listening on //p' "$folder/$1.log" | head -n 1
}

# Free ports of the loopback address.
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
  local base answer
  base=$(curl -sf "http://$admin1/admin/config" | python3 -c 'import json,sys; print(json.load(sys.stdin)["version"])')
  answer=$(curl -s "http://$admin1/admin/change" \
    -d "{\"base_version\":$base,\"kind\":\"$1\",\"name\":\"$2\",\"value\":$3}")
  grep -q '"version"' <<<"$answer" && ! grep -q '"error"' <<<"$answer" || fail "change of $1 $2: $answer"
}

step "stand-ins: a platform and three engines in three availability zones"
start platform "$bin/standin_platform"
platform=127.0.0.1:$(port_of platform)
for i in 1 2 3; do
  start "engine$i" "$bin/standin_engine" --id "engine$i" --zone "z$i" --token-ms 20
  declare "engine_pid$i=$last_pid"
  declare "engine$i=127.0.0.1:$(port_of "engine$i")"
done
echo "platform $platform, engines $engine1 $engine2 $engine3"

step "three instances"
read -r -a ports <<<"$(free_ports 9)"
for i in 1 2 3; do
  declare "caller$i=127.0.0.1:${ports[$((i * 3 - 3))]}"
  declare "admin$i=127.0.0.1:${ports[$((i * 3 - 2))]}"
  caller=caller$i admin=admin$i
  cat >"$folder/entry$i.json" <<JSON
{
  "instance": {"id": "entry$i", "zone": "z$i", "cluster": "demo"},
  "listen": {"caller": "${!caller}", "admin": "${!admin}", "peer": "127.0.0.1:${ports[$((i * 3 - 1))]}"},
  "platform": {"address": "$platform"}
}
JSON
done
start entry1 "$bin/quetzalridged" --settings "$folder/entry1.json"
await curl -sf "http://$admin1/readyz"

key=demo-$(python3 -c 'import secrets; print(secrets.token_hex(16))')
digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
for i in 1 2 3; do change zone "z$i" '{"checks_fencing":true}'; done
change profile normal '{"staleness_bound":2,"objective_latency_ms":1000}'
change service chat '{"kind":"inference","profile":"normal"}'
change route chat '{"service":"chat"}'
for i in 1 2 3; do
  engine=engine$i
  change endpoint "engine$i" "{\"service\":\"chat\",\"address\":\"${!engine}\",\"zone\":\"z$i\"}"
done
change workspace hides '{}'
change key "$digest" '{"workspace":"hides"}'
change queue steps '{"workspace":"hides","service":"chat"}'
for i in 2 3; do start "entry$i" "$bin/quetzalridged" --settings "$folder/entry$i.json"; done
for i in 1 2 3; do admin=admin$i; await curl -sf "http://${!admin}/readyz"; done
echo "ready: entry1 $caller1, entry2 $caller2, entry3 $caller3"

# post ADDRESS PATH BODY
post() {
  curl -s --max-time 30 -H "authorization: Bearer $key" -H 'content-type: application/json' "http://$1$2" -d "$3"
}

step "an interactive request through entry2"
answer=$(post "$caller2" /v1/completions '{"model":"chat","prompt":"which hides are in stock?","max_tokens":6}')
echo "$answer"
tokens=$(grep -o '@1 ' <<<"$answer" | wc -l)
[ "$tokens" -eq 6 ] || fail "expected 6 tokens of weight version 1, got $tokens"
refused=$(curl -s -o /dev/null -w '%{http_code}' "http://$caller2/v1/completions" \
  -H 'authorization: Bearer wrong' -d '{"model":"chat","prompt":"x"}')
[ "$refused" = 401 ] || fail "a wrong key was answered with status $refused"
echo "a wrong key is refused with status $refused"

step "one trainer step: 2 groups of 4 samples, 3 needed of each"
post "$caller1" /v1/rollouts/steps/groups '{"step":1,"groups":[
  {"id":"g1","prompt":"sort the first hide","samples":4,"needed":3,"max_tokens":8,"model":"chat"},
  {"id":"g2","prompt":"sort the second hide","samples":4,"needed":3,"max_tokens":8,"model":"chat"}]}' | tee "$folder/submit"
grep -q '"accepted":2' "$folder/submit" || fail "the groups were not accepted"
received=0
for _ in $(seq 20); do
  post "$caller3" /v1/rollouts/steps/fetch '{"max_samples":6,"wait_ms":2000}' >"$folder/batch"
  [ -s "$folder/batch" ] || continue
  read -r batch count <<<"$(python3 -c '
import json, sys
batch = json.load(open(sys.argv[1]))
for s in batch["samples"]:
    print(s["group"], s["index"], s["endpoint"], s["weight_versions"], file=sys.stderr)
    assert s["weight_versions"] == [{"tokens": 8, "version": 1}], s
print(batch["batch"], len(batch["samples"]))' "$folder/batch")"
  post "$caller2" /v1/rollouts/steps/confirm "{\"batch\":$batch}" >"$folder/confirm"
  grep -q confirmed "$folder/confirm" || fail "the batch was not confirmed: $(cat "$folder/confirm")"
  received=$((received + count))
  [ "$received" -lt 6 ] || break
done
[ "$received" -eq 6 ] || fail "expected 6 samples, got $received"
echo "6 samples were fetched through entry3 and confirmed through entry2"

step "an endpoint killed in the middle of an answer"
post "$caller1" /v1/completions '{"model":"chat","prompt":"a long question","max_tokens":100}' >"$folder/long" &
long_pid=$!
victim=
for _ in $(seq 100); do
  for i in 1 2 3; do
    engine=engine$i
    if curl -s "http://${!engine}/load" | grep -q '"running":1'; then victim=$i; fi
  done
  [ -z "$victim" ] || break
  sleep 0.02
done
[ -n "$victim" ] || fail "no engine runs the request"
victim_pid=engine_pid$victim
kill -9 "${!victim_pid}"
wait "$long_pid" || fail "the caller's connection broke"
tokens=$(grep -o '@1 ' "$folder/long" | wc -l)
[ "$tokens" -eq 100 ] || fail "expected the whole answer of 100 tokens, got $tokens: $(cat "$folder/long")"
echo "engine$victim was killed; the caller got all $tokens tokens from another endpoint"

step "the burn report of all instances"
"$bin/quetzalridgectl" -a "$admin1" -a "$admin2" -a "$admin3" burn | tee "$folder/burn"
grep -q chat "$folder/burn" || fail "the report has no row for the service"
grep -q hides "$folder/burn" || fail "the report has no row for the workspace"

printf '\nevery step was checked\n'
