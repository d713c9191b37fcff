#!/usr/bin/env bash
# Plays random faults against nodes on loopback and prints the outcome as the last line. Usage:
#   scripts/soak.sh [options of "bamboodeal-soak"]   (--help lists them)
#   scripts/soak.sh --seed 1 --seeds 50              fifty seeds
#   scripts/soak.sh --minutes 5                      fresh seeds for five minutes
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeal-sidecar ./cmd/bamboodeal-soak
# The driver replaces this shell, so that an interrupt reaches it; it ends the processes that it started.
exec .bin/bamboodeal-soak "$@"
