#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-7 ] && [ -x target/bin/gwt-gateway ] || exit 2
exec timeout --signal=KILL 118 target/review/case-7 review/7/record.txt
