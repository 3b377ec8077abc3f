#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j4 --target review_cases_3
