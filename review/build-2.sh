#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/. Needs only Go.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2 .
