#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15 into build-review-3/. The program under test comes from the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/common-3 -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-3 -- -j 6
