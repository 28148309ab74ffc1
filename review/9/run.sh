#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
[ -x target/review-2/case_9 ] || { echo "run the build line of deploy/system.toml and review/build-2.sh first"; exit 2; }
timeout --signal=TERM --kill-after=2 110 target/review-2/case_9 "$folder"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
