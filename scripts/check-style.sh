#!/usr/bin/env bash
# Checks project rules that the linter doesn't cover: goroutines start through a group,
# generated code matches the generator, only platform/ uses the platform's wire format,
# serving code names no deployment, readers of answers bound and validate their heads, and journal entries
# are not removed.
set -euo pipefail
cd "$(dirname "$0")/.."

fail() {
  echo "$1" >&2
  exit 1
}

if git grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' -- '*.go'; then
  fail "start goroutines through a group, not by a bare go statement"
fi
if git grep -nFf scripts/wire-words.txt -- '*.go' ':!platform/'; then
  fail "the platform's wire words belong in platform/"
fi
if git grep -nE 'fleetbench|given/kit' -- '*.go'; then
  fail "source files don't name the users' bench"
fi
if git grep -niE 'halloran|trentvale|dmwssa|kariakoo|nottingham|newengland' -- 'internal/*.go' 'platform/*.go' 'cmd/*.go' ':!internal/laboratory/' ':!internal/faces/settingsloader/' ':!*_test.go'; then
  fail "the serving path names a deployment"
fi
if git grep -nE '^[[:space:]]*"github.com/fescuespindle/fescuespindle/platform"' -- 'internal/*.go' ':!internal/wiring/entryvm/' ':!internal/wiring/assembler/' ':!internal/laboratory/sitebuilder/' ':!*_test.go'; then
  fail "only the wiring imports platform/"
fi
if git grep -nE 'http\.Transport\{|http\.Client\{\}|http\.Default(Client|Transport)' -- 'internal/*.go' 'platform/*.go' 'cmd/*.go' ':!internal/plumbing/transporter/' ':!internal/laboratory/' ':!*_test.go'; then
  fail "create transports by transporter.New, which bounds and validates the heads of answers"
fi
if git grep -l 'http\.ReadResponse(' -- '*.go' ':!*_test.go' | xargs -r grep -L 'headvalidator\.Validate(' | grep .; then
  fail "readers of answers ask headvalidator"
fi
if [ -n "$(git log --diff-filter=D --name-only --format= -- journal)" ]; then
  fail "journal entries were removed"
fi
go tool wire diff ./internal/wiring/assembler ./internal/wiring/entryvm
