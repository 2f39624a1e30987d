#!/bin/sh
# A job with many occurrences that are due at once is handed in.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; review/trial-2 gets it from the environment.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/sardinehead ] || exit 2
exec target/review-2 recurring review/7/record.txt
