#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts, into review/.build. The program under test is the one that
# the build line of deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B review/.build -G Ninja >/dev/null
cmake --build review/.build -- -j 6
