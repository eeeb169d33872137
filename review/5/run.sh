#!/bin/sh
# The store answers reads with serializable=1 with data that is 5 s old. Exits with 1 if a target
# that drains got a new flow later than the bound, 0 if none did, 2 if the case couldn't run.
# TROUBLE=0: reads are up to date.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review/stalewatch -trouble="$trouble" -record "$here/record.txt"
