#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/gwt-gateway ] && [ -x build-review-3/case-11 ] || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 2 115 build-review-3/case-11 review/11
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
