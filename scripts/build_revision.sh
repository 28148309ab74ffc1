#!/usr/bin/env bash
# Builds the program for the users' platform from an earlier commit and prints its path: scripts/build_revision.sh COMMIT.
# Builds are kept below build/revisions, in a folder for each commit.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -ne 1 ]; then
  echo "usage: scripts/build_revision.sh COMMIT" >&2
  exit 2
fi
commit=$(git rev-parse --verify --quiet "$1^{commit}") || { echo "no such commit: $1" >&2; exit 2; }
folder=build/revisions/$commit
program=$PWD/$folder/build/quetzalridge_node
if [ ! -x "$program" ]; then
  mkdir -p "$folder/source"
  git archive "$commit" | tar -x -C "$folder/source"
  cmake -S "$folder/source" -B "$folder/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DQUETZALRIDGE_NODE_ONLY=ON >&2
  cmake --build "$folder/build" -- -j "${QUETZALRIDGE_JOBS:-$(nproc)}" >&2
fi
echo "$program"
