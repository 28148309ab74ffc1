#!/usr/bin/env bash
# Runs the driver of one case: run_case.sh FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run.
set -uo pipefail
folder="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/../.." && pwd)"
program="$root/build-review-3/case_$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$root/target/quetzalridge_node" ]; then
  echo "the programs are missing; run the build of the deploy file and review/build-3.sh" >&2
  exit 2
fi
scratch="$(mktemp -d)"
cd "$root" || exit 2
timeout -k 2 115 "$program" "$root" "$folder" "$scratch"
status=$?
rm -rf "$scratch"
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
