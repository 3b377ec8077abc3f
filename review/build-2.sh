#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 -j "$(nproc)"
