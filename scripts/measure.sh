#!/usr/bin/env bash
# Measures the figures of docs/MEASUREMENTS.md again and writes them as lines of JSON; takes less than 8 minutes. Usage:
#   scripts/measure.sh [--output FILE] [--seeds "1 2"] [--deployments "estanho mantaleve"] [--markdown]
# With --markdown it also prints the figures as Markdown tables at the end. On SIGINT or SIGTERM it sends SIGTERM to the
# running program, which stops the processes that it started, waits for its exit and exits.
set -euo pipefail
cd "$(dirname "$0")/.."
# Without fmahash=qn the compiler fuses a multiplication and an addition into one rounding on some architectures (arm64), and
# runs with the same seed would then differ from those on others.
export GOFLAGS="-buildvcs=false -gcflags=all=-d=fmahash=qn" GOTOOLCHAIN=local

output=.demo/measurements.jsonl
seeds="1 2"
deployments="estanho mantaleve"
markdown=false
while [[ $# -gt 0 ]]; do
  case $1 in
  --output) output=$2 && shift 2 ;;
  --seeds) seeds=$2 && shift 2 ;;
  --deployments) deployments=$2 && shift 2 ;;
  --markdown) markdown=true && shift ;;
  *)
    echo "usage: scripts/measure.sh [--output FILE] [--seeds LIST] [--deployments LIST] [--markdown]" >&2
    exit 2
    ;;
  esac
done

mkdir -p .bin .demo "$(dirname "$output")"
go build -o .bin/ ./cmd/bamboodeald ./cmd/bamboodeal-load
(cd decision && go build -o ../.bin/measurements ./measurements)
: >"$output"

# Each step has a time limit. A failed step adds a line with the figure "failures"; the remaining steps still run, and
# the script then exits with status 1.
status=0
child=
stop() {
  if [[ -n $child ]]; then
    kill -TERM "$child" 2>/dev/null || true
    wait "$child" || true
  fi
  exit 130
}
trap stop INT TERM

step() {
  local name=$1
  shift
  echo "$(date +%T) $name" >&2
  timeout --signal=TERM --kill-after=10 90 "$@" >>"$output" 2>.demo/measure.log &
  child=$!
  if ! wait "$child"; then
    status=1
    printf '{"figure":"failures","step":"%s"}\n' "$name" >>"$output"
    tail -n 3 .demo/measure.log >&2
  fi
  child=
}

machine() {
  printf '{"figure":"machine","when":"%s","date":"%s","cores":%s,"load":"%s","go":"%s","commit":"%s"}\n' "$1" \
    "$(date -u +%FT%TZ)" "$(nproc)" "$(cut -d ' ' -f 1-3 /proc/loadavg)" "$(go env GOVERSION)" \
    "$(git rev-parse --short HEAD)" >>"$output"
}

machine start
for deployment in $deployments; do
  step "$deployment: virtual time" .bin/measurements "examples/$deployment"
  step "$deployment: all nodes watch the source" .bin/bamboodeal-load watchers --deployment "examples/$deployment"
  demo=(.bin/bamboodeal-load demo --figures --deployment "examples/$deployment" --work-directory ".demo/measure")
  step "$deployment: quiet" "${demo[@]}" --scenario quiet --duration 12s --idle 6s
  step "$deployment: over" "${demo[@]}" --scenario over --duration 12s
  for seed in $seeds; do
    step "$deployment: moves, seed $seed" "${demo[@]}" --seed "$seed"
    step "$deployment: moves with faults, seed $seed" "${demo[@]}" --seed "$seed" --faults
  done
done
machine end

if $markdown; then
  .bin/bamboodeal-load tables --file "$output"
fi
exit $status
