#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
REVIEW_FOLDER=$(mktemp -d) || exit 2
trap 'rm -rf "$REVIEW_FOLDER"' EXIT
export REVIEW_FOLDER REVIEW_RECORD=review/4/record.txt REVIEW_PROGRAM=target/quetzalridge_node
[ -x review/.build/review_case_4 ] || { echo "run review/build.sh first" >&2; exit 2; }
review/.build/review_case_4
exit $?
