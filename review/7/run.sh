#!/usr/bin/env bash
# Case 7. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the order back, and must exit with 0.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-7
[ -x "$program" ] && [ -x target/release/ravenspoked ] || { echo "build first: review/build-2.sh"; exit 2; }
timeout --kill-after=2 110 "$program" target/release/ravenspoked review/7/record.txt
result=$?
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
