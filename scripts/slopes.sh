#!/usr/bin/env bash
# Measures how a node's state, messages and processor time grow with the fleet, for docs/CAPACITY.md, and writes the
# result as JSON lines. Usage:
#   scripts/slopes.sh [options of "bamboodeal-slopes"]   (--help lists them)
set -euo pipefail
cd "$(dirname "$0")/.."
# Without fmahash=qn the compiler fuses a multiplication and an addition into one rounding on some architectures (arm64), and
# runs with the same seed would then differ from those on others.
export GOFLAGS="-buildvcs=false -gcflags=all=-d=fmahash=qn" GOTOOLCHAIN=local

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeald ./cmd/bamboodeal-slopes
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
.bin/bamboodeal-slopes --node .bin/bamboodeald --work-directory "$work" "$@"
