#!/usr/bin/env bash
# Measures one daemon in front of one engine stand-in: the latency that it adds at a fixed rate against the stand-in
# directly, its memory and processor share at rest, its control traffic with two peers, and the memory of an open
# stream. Build first with scripts/test.sh. Uses ports 19600 to 19640 of the loopback address.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build
rate=${1:-500}
seconds=${2:-10}
folder=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT

start() {
  "$@" >"$folder/${#pids[@]}.log" 2>&1 &
  pids+=($!)
}
await() { for _ in $(seq 300); do curl -sf "$1" >/dev/null && return 0; sleep 0.1; done; echo "no answer from $1" >&2; exit 1; }

start "$bin/standin_platform" --port 19600
start "$bin/standin_engine" --port 19601 --id engine1 --service chat --slots 64 --token-ms 1
for i in 1 2 3; do
  cat >"$folder/entry$i.json" <<JSON
{ "instance": {"id": "entry$i", "zone": "a"}, "platform": {"address": "127.0.0.1:19600"},
  "listen": {"caller": "127.0.0.1:1961$i", "admin": "127.0.0.1:1962$i", "peer": "127.0.0.1:1963$i"} }
JSON
  start "$bin/quetzalridged" --settings "$folder/entry$i.json"
done
daemon=${pids[2]}
for i in 1 2 3; do await "http://127.0.0.1:1962$i/readyz"; done
sleep 2
ctl() { "$bin/quetzalridgectl" --address 127.0.0.1:19621 "$@" >/dev/null; }
ctl profile set normal objective_latency_ms=1000
ctl service set chat profile=normal slots_per_replica=64
ctl workspace set w max_concurrent=1000
ctl endpoint set engine1 service=chat address=127.0.0.1:19601 zone=a
ctl route set chat service=chat
key=$("$bin/quetzalridgectl" --address 127.0.0.1:19621 key grant w | sed -n 's/^secret: //p')
sleep 2

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
io_bytes() { awk '/^(rchar|wchar)/ {sum += $2} END {print sum}' "/proc/$1/io"; }
# The holder of a duty sends more than the others, so each instance is shown with its duties. The bytes of datagrams
# are not in these figures.
rest_seconds=20
declare -A ticks bytes
for i in 1 2 3; do
  ticks[$i]=$(cpu_ticks "${pids[$((i + 1))]}") bytes[$i]=$(io_bytes "${pids[$((i + 1))]}")
done
sleep "$rest_seconds"
for i in 1 2 3; do
  pid=${pids[$((i + 1))]}
  spent=$((($(cpu_ticks "$pid") - ticks[$i]) * 10000 / $(getconf CLK_TCK) / rest_seconds))
  duties=$(curl -sf "http://127.0.0.1:1962$i/admin/status" | grep -o '"duty":"[^"]*","epoch":[0-9]*,"held_here":true' |
    sed 's/"duty":"\([^"]*\)".*/\1/' | paste -sd ' ' || true)
  echo "at rest, instance $i of 3, duties: ${duties:-none}: resident $(awk '/VmRSS/ {print $2}' "/proc/$pid/status") kB," \
    "processor $((spent / 100)).$((spent / 10 % 10))$((spent % 10)) %," \
    "HTTP bytes read and written $((($(io_bytes "$pid") - bytes[$i]) / rest_seconds)) per s"
done
# The plain service does no work, so its share of the latency is the smallest.
start "$bin/standin_plain_service" --port 19603 --id plain1 --work-ms 0
ctl service set plain kind=plain profile=normal slots_per_replica=64
ctl endpoint set plain1 service=plain address=127.0.0.1:19603 zone=a
ctl route set plain service=plain
sleep 2
for run in 1 2 3; do
  echo "run $run, plain service, direct:"
  "$bin/quetzalridge_load" --mode latency --addresses 127.0.0.1:19603 --rate "$rate" --seconds "$seconds" --path /probe
  echo "run $run, plain service, through one daemon:"
  "$bin/quetzalridge_load" --mode latency --addresses 127.0.0.1:19611 --keys "w=$key" --rate "$rate" --seconds "$seconds" --path /s/plain/probe
done
for run in 1 2 3; do
  echo "run $run, direct:"
  "$bin/quetzalridge_load" --mode latency --addresses 127.0.0.1:19601 --rate "$rate" --seconds "$seconds" --model chat --tokens 1
  echo "run $run, through one daemon:"
  "$bin/quetzalridge_load" --mode latency --addresses 127.0.0.1:19611 --keys "w=$key" --rate "$rate" --seconds "$seconds" --model chat --tokens 1
done
echo "after the load: resident $(awk '/VmRSS/ {print $2}' "/proc/$daemon/status") kB"

# Open streams: one process holds them, each on its own connection, with a token each 500 ms.
streams=200
start "$bin/standin_engine" --port 19602 --id slow1 --service slow --slots 256 --token-ms 500
ctl service set slow profile=normal slots_per_replica=256
ctl endpoint set slow1 service=slow address=127.0.0.1:19602 zone=a
ctl route set slow service=slow
sleep 3
resident() { awk '/VmRSS/ {print $2}' "/proc/$daemon/status"; }
before=$(resident)
curl -sN -Z --parallel-immediate --parallel-max "$streams" -o /dev/null -H "authorization: Bearer $key" \
  -H 'content-type: application/json' -d '{"model":"slow","prompt":"p","max_tokens":40,"stream":true}' \
  "http://127.0.0.1:19611/v1/completions?n=[1-$streams]" >/dev/null 2>&1 &
pids+=($!)
sleep 10
open=$(curl -sf http://127.0.0.1:19621/admin/status | grep -o '"requests_in_progress":[0-9]*' | cut -d: -f2)
echo "with $open open streams: resident $(resident) kB, $((($(resident) - before) * 1024 / (open > 0 ? open : 1))) B each"
