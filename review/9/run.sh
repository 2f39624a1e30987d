#!/bin/sh
# The one worker that a job may run on goes down and up by turns.
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/sardinehead ] || exit 2
exec target/review-2 flap review/9/record.txt
