#!/usr/bin/env bash
# Runs case 8 after the build of the deploy file and of review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review2/case8 ] || [ ! -x target/fescuespindle-entry ]; then
  echo "not built" >&2
  exit 2
fi
exec target/review2/case8 review/8/record.txt
