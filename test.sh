#!/usr/bin/env bash
# Formatting, vet, the linters, all tests under the race detector, and the build that
# deploy/service.toml names. Tests at size run without the detector. Needs Go and, for the race detector, a C compiler.
#
# KNOWN-RED.txt, if there is one, lists tests that fail for a known fault, one line
# each: TEST, cause, issue. These alone may fail; they are run and printed all the same.
set -euo pipefail
cd "$(dirname "$0")"

# known_red prints the names that a list holds; it fails on more than three lines, on one
# without cause and issue, and on a name that no test has.
known_red() {
  local list=$1 all name rest
  [ -f "$list" ] || return 0
  if [ "$(grep -c '' "$list")" -gt 3 ]; then
    echo "$list: more than three lines" >&2
    return 1
  fi
  all=$(go test -list '.*' ./... | grep '^Test')
  while IFS=, read -r name rest || [ -n "$name" ]; do
    if [[ "$rest" != *,* ]]; then
      echo "$list: '$name': not TEST, cause, issue" >&2
      return 1
    fi
    if ! grep -qx -- "$name" <<<"$all"; then
      echo "$list: no test is named '$name'" >&2
      return 1
    fi
    echo "$name"
  done <"$list"
}

if [ "${1:-}" = known-red ]; then # only reads a list, for the test of this
  known_red "$2"
  exit
fi

# tracked_binaries lists the binary files under version control, the journal's aside.
tracked_binaries() {
  local empty_tree
  empty_tree=$(git hash-object -t tree /dev/null)
  git diff --numstat "$empty_tree" HEAD -- . ':!journal' | awk -F'\t' '$1 == "-" {print $3}'
}

binaries=$(tracked_binaries)
if [ -n "$binaries" ]; then
  echo "binary files are tracked: $binaries" >&2
  exit 1
fi

at_size='^TestFourThousandMachines$'

if ! command -v gcc >/dev/null; then
  apt-get update -qq && apt-get install -y -qq gcc libc6-dev
fi
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
bash tools/lint.sh
# Tests at size, which the race detector would make too slow (build tag !race).
go test -run "$at_size" ./internal/controller
red=$(known_red KNOWN-RED.txt)
if [ -z "$red" ]; then
  go test -race ./...
else
  names="^($(paste -sd'|' <<<"$red"))\$"
  go test -race -skip "$names" ./...
  echo "known to fail (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  for name in $red; do
    if go test -race -run "^$name\$" ./...; then
      echo "KNOWN-RED: $name passes; take it off the list"
    else
      echo "KNOWN-RED: $name fails"
    fi
  done
fi
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
