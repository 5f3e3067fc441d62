#!/usr/bin/env bash
# Fuzzes each parser of external input for a given time, such as 20s.
set -euo pipefail
cd "$(dirname "$0")/.."

time=${1:-20s}
git grep -l '^func Fuzz' -- '*_test.go' | while read -r file; do
  package=./$(dirname "$file")
  grep -o '^func Fuzz[A-Za-z]*' "$file" | sed 's/^func //' | while read -r target; do
    echo "$package $target"
    go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" "$package"
  done
done
