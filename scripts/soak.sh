#!/usr/bin/env bash
# Runs the history checks under mixed faults for longer: scripts/soak.sh SEED SECONDS. The same seed draws the same
# faults. Logs and records are kept when QUETZALRIDGE_KEEP_LOGS is set.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -ne 2 ]; then
  echo "usage: scripts/soak.sh SEED SECONDS" >&2
  exit 2
fi
[ -x build/history_test ] || { echo "build first: cmake --preset default && cmake --build --preset default" >&2; exit 2; }
QUETZALRIDGE_SOAK_SEED=$1 QUETZALRIDGE_SOAK_SECONDS=$2 exec build/history_test soak
