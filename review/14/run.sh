#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 does the same
# without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then disruption=calm; else disruption=trouble; fi
exec target/review-3/stand silent-readers review/14 "$disruption"
