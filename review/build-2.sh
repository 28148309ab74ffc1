#!/usr/bin/env bash
# Builds the stand-ins and case programs of review/6 to review/10 into target/review-2. Run the `build` line of
# deploy/system.toml first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/common-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-2 -- -j 6
