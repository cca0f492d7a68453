#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without what leads to the fault, and must exit with 0.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/release/review-driver ] && [ -x target/release/ravenspoked ] || exit 2
# If the driver takes too long, its group is stopped: the boxes end within their grace of 8 s.
timeout 105 target/release/review-driver rotation target/release/ravenspoked review/3/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
