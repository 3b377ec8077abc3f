#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Needs only the packages
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
cmake -S review/standins -B target/review -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j "${JOBS:-4}" --target review_case
