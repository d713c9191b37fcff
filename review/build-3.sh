#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the project's own programs: the stand-ins of the store, of backends and
# of clients. It needs the build of the deploy file, and no network.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
export GOWORK=off GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOPROXY=off
mkdir -p ../../target
exec go build -o ../../target/review-3 .
