#!/usr/bin/env bash
# Runs the demo of a deployment on loopback and prints its report as the last line of its output. Usage:
#   scripts/demo.sh [estanho|mantaleve] [options of "bamboodeal-load demo"]
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local

deployment=estanho
if [[ $# -gt 0 && $1 != -* ]]; then
  deployment=$1
  shift
fi
case $deployment in
estanho | mantaleve) ;;
*)
  echo "usage: scripts/demo.sh [estanho|mantaleve]" >&2
  exit 2
  ;;
esac

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeald ./cmd/bamboodeal-load
rm -rf ".demo/$deployment"
# exec replaces this shell, so that signals reach bamboodeal-load directly; it stops the nodes that it started.
exec .bin/bamboodeal-load demo --deployment "examples/$deployment" --work-directory ".demo/$deployment" --json "$@"
