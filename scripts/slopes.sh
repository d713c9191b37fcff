#!/usr/bin/env bash
# Measures how a node's state, messages and processor time grow with the fleet, for docs/CAPACITY.md, and writes the
# result as JSON lines. Usage:
#   scripts/slopes.sh [options of "bamboodeal-slopes"]   (--help lists them)
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeald ./cmd/bamboodeal-slopes
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
.bin/bamboodeal-slopes --node .bin/bamboodeald --work-directory "$work" "$@"
