#!/usr/bin/env bash
# Runs a program under random faults for longer and checks what callers rely on: scripts/soak.sh PROGRAM SEED SECONDS,
# with PROGRAM `node` (the users' platform) or `daemon` (the product's own interfaces). The same seed draws the same
# faults. Logs are kept after a failure, and always when QUETZALRIDGE_KEEP_LOGS is set.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -ne 3 ]; then
  echo "usage: scripts/soak.sh node|daemon SEED SECONDS" >&2
  exit 2
fi
[ -x build/node_soak ] || { echo "build first: cmake --preset default && cmake --build --preset default" >&2; exit 2; }
case $1 in
  node) exec build/node_soak --seed "$2" --seconds "$3" ;;
  daemon) QUETZALRIDGE_SOAK_SEED=$2 QUETZALRIDGE_SOAK_SECONDS=$3 exec build/history_test soak ;;
  *)
    echo "the program is node or daemon" >&2
    exit 2
    ;;
esac
