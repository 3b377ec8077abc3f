#!/usr/bin/env bash
# Exits with 1 if FLOW was broken, 0 if it held, 2 if the case could not run.
# Run after the build of deploy/system.toml and review/build-3.sh.
# TROUBLE=0 does the same without the disruption, and must pass.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
timeout 110 target/review-3/bin/review_cases_3 late-removal \
  review/12/record.txt
status=$?
if [ "$status" -ne 0 ] && [ "$status" -ne 1 ]; then exit 2; fi
exit "$status"
