#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they contain, into review/bin. Needs only the Go tool chain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]; do
  go build -o "review/bin/${case#review/}" "./$case"
done
