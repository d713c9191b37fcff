#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review-2 && -x target/bamboodeal-sidecar ]] || { echo "build first: the deploy file's build line, then review/build-2.sh" >&2; exit 2; }
exec target/review-2 lost-readers review/7
