#!/bin/sh
# More runs end on one worker, while the store is down, than the worker lists in one answer.
# Exits with 1 if TWICE was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; review/trial-2 gets it from the environment.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/sardinehead ] || exit 2
exec target/review-2 ends review/6/record.txt
