#!/bin/sh
# Usage: review/1/run.sh (TROUBLE=0: without the disruption). Exit: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/trial-1.cjs ] && [ -f target/heatherledge-gateway.cjs ] || exit 2
exec node target/review/trial-1.cjs review/1/record.txt
