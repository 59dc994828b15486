#!/bin/sh
# Plays the case "wipe" of review/harness. TROUBLE=0 leaves the disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the
# case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/controller ] && [ -x target/edge ] || exit 2
exec target/review-harness wipe review/3/record.txt
