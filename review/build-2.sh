#!/bin/sh
# Builds what the scripts of cases 6 and later start beside the project's own program: the trials
# with their stand-ins. It needs no network once the modules of go.mod are there.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2 ./review/trial-2
