#!/usr/bin/env bash
# Runs clang-tidy over the project's sources. A file whose content and headers did not change since it last passed is
# skipped: the build folder keeps a digest for each file.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${QUETZALRIDGE_JOBS:-$(nproc)}
cache=build/lint
mkdir -p "$cache"
headers=$(git ls-files '*.h' .clang-tidy | xargs cat | sha256sum | cut -d' ' -f1)
git ls-files 'src/*.cc' 'platform/*.cc' 'standins/*.cc' 'tools/*.cc' | while read -r file; do
  digest=$( (echo "$headers"; cat "$file") | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$digest" ] || printf '%s %s\n' "$file" "$digest"
done > "$cache/todo"
export cache
xargs -r -P "$jobs" -L 1 bash -c 'clang-tidy --quiet -p build "$0" 2>"$cache/$1.log" && touch "$cache/$1" || { cat "$cache/$1.log"; exit 1; }' \
  < "$cache/todo"
