#!/usr/bin/env bash
# Runs `go test -race` with the given arguments. On arm64 the race detector itself crashes now and then
# ("ThreadSanitizer: CHECK failed"). There, and only there, a package that ended so, with no failed test, race
# or panic, is run again without the detector, and named. All else fails, as on x86-64.
set -uo pipefail
cd "$(dirname "$0")/.."

output=$(mktemp)
trap 'rm -f "$output"' EXIT
go test -race -count=1 "$@" 2>&1 | tee "$output"
status=${PIPESTATUS[0]}
if [ "$status" = 0 ] || [ "$(go env GOARCH)" != arm64 ]; then
  exit "$status"
fi

# The lines of a package precede the line with its result.
crashed=$(awk -F '\t' '
  /ThreadSanitizer: CHECK failed/ { crash = 1 }
  /--- FAIL|DATA RACE|^panic:|^fatal error:|build failed|setup failed/ { real = 1 }
  /^FAIL\t/ { if (crash && !real) print $2; else other = 1; crash = real = 0 }
  /^(ok  |\?   )\t/ { crash = real = 0 }
  END { if (real) print "other" }
' "$output")
if [ -z "$crashed" ] || grep -qx other <<<"$crashed"; then
  exit "$status"
fi
echo "the race detector crashed on arm64 in these packages; they run again without it:" $crashed
# Of the arguments only -skip PATTERN applies to the second run.
skip=()
if [ "${1:-}" = -skip ]; then
  skip=(-skip "$2")
fi
# shellcheck disable=SC2086 # a list of packages
go test -count=1 ${skip[@]+"${skip[@]}"} $crashed
