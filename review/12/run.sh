#!/usr/bin/env bash
# Plays case 12. Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] || { echo "run review/build-3.sh first" >&2; exit 2; }
exec target/review-3 quota review/12/record.txt
