#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sardinehead ] && [ -x target/review-standin ] || exit 2
timeout -k 2 118 target/review-standin -case overlap -folder review/4
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
