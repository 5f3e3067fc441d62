#!/usr/bin/env bash
# House rules that the linter doesn't know: goroutines start through a group,
# and generated code is what the generator writes.
set -euo pipefail
cd "$(dirname "$0")/.."

if git grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' -- '*.go'; then
  echo "start goroutines through a group, not by a bare go statement" >&2
  exit 1
fi
go tool wire diff ./internal/assembler
