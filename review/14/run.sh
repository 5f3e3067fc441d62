#!/usr/bin/env bash
# An answer of wrong bytes: the item is listed as completed, with an empty text.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fescuespindle-entry ] && [ -x target/review-3/stage ] || exit 2
exec target/review-3/stage empty review/14/record.txt
