#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/currantthread ] && [ -x target/review-standin ] || exit 2
exec target/review-standin stale review/1/record.txt
