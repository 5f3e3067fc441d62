#!/usr/bin/env bash
# Builds the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/ ./review/_standins/resent ./review/_standins/lagging ./review/_standins/lostzone ./review/_standins/upgraded
