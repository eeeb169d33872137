#!/bin/sh
# A host is added, then targets lose their entries, as their check-ins don't reach the store.
# Exits with 1 if such a target got a new flow later than the bound, 0 if not, 2 if the case
# couldn't run. TROUBLE=0: the check-ins go on. ADDED=0: both hosts start together.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
trouble=true added=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ "${ADDED:-1}" = 0 ] && added=false
exec target/review/gone -trouble="$trouble" -added="$added" -record "$here/record.txt"
