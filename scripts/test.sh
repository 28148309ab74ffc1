#!/usr/bin/env bash
# Runs every check: formatter, layer check, build, tests, linter. Arguments: --no-lint skips clang-tidy.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
lint=1
[ "${1:-}" = "--no-lint" ] && lint=0
jobs=${QUETZALRIDGE_JOBS:-$(nproc)}

mapfile -t sources < <(git ls-files '*.cc' '*.h')
clang-format --dry-run -Werror "${sources[@]}"
scripts/check_layers.sh
cmake --preset default >/dev/null
cmake --build --preset default -- -j "$jobs"
ctest --test-dir build --output-on-failure -j 4
if [ "$lint" -eq 1 ]; then
  scripts/lint.sh
fi
# A known failing test has the tag [!shouldfail], which fails once the test passes, and an entry in KNOWN-RED.txt.
known_red=$(grep -c '^## ' KNOWN-RED.txt || true)
tagged=$( (git grep -h '\[!shouldfail\]' -- 'tests/*.cc' || true) | wc -l)
if [ "$known_red" -ne "$tagged" ]; then
  echo "error: $tagged tests have the tag [!shouldfail], KNOWN-RED.txt has $known_red entries; list each such test" >&2
  exit 1
fi
if grep -q '^## ' KNOWN-RED.txt 2>/dev/null; then
  echo "Known failing tests (see KNOWN-RED.txt):"
  grep '^## ' KNOWN-RED.txt
fi
echo "all checks passed"
