#!/usr/bin/env bash
# Injects random faults into nodes on loopback and prints a summary as the last line. Usage:
#   scripts/soak.sh [options of "bamboodeal-soak"]   (--help lists them)
#   scripts/soak.sh --seed 1 --seeds 50              fifty seeds
#   scripts/soak.sh --minutes 5                      random seeds for five minutes
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeal-sidecar ./cmd/bamboodeal-soak
# exec replaces this shell, so that signals reach bamboodeal-soak directly; it stops the processes that it started.
exec .bin/bamboodeal-soak "$@"
