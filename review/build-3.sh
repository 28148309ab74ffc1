#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3 -- -j 6
