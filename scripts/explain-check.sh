#!/usr/bin/env bash
# Checks that "bamboodeal explain" finds each failed request of a recording in the logs of the nodes, with the status
# that the caller got. Usage:
#   scripts/explain-check.sh RECORDING
# RECORDING is a file with the output of the users' test bench, "fleetbench run SITE DAY --log all".
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local
recording=${1:?usage: scripts/explain-check.sh RECORDING}

mkdir -p .bin
go build -o .bin/ ./cmd/bamboodeal
# Lines with the ID of a failed request and what its caller got: a status, or "deadline" if no response came in time.
pairs=$(awk '
  /^ +-?[0-9.]+ s +request [0-9a-f]+ \(/ { id = $4 }
  /the client gets [0-9]+/ && id { sub(/,$/, "", $6); print id, $6; id = "" }
  /deadline passes/ && id { print id, "deadline"; id = "" }
' "$recording")
missing=0 total=0
while read -r id status; do
  [[ -n $id ]] || continue
  total=$((total + 1))
  story=$(.bin/bamboodeal explain "$id" "$recording" 2>/dev/null) || story=""
  if [[ -z $story ]] || { [[ $status != deadline ]] && ! grep -q "request ended .*request=$id .*status=$status" <<<"$story"; }; then
    missing=$((missing + 1))
    echo "request $id, which got $status, is not explained"
  fi
done <<<"$pairs"
echo "$total failed requests, $missing not explained"
[[ $missing -eq 0 ]]
