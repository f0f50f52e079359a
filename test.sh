#!/usr/bin/env bash
# What CI checks: no tracked binaries, formatting, vet, the linters, dead code, all tests under the
# race detector, and the build that deploy/service.toml names. Tests at size run without
# the detector. Needs Go and, for the race detector, a C compiler.
#
#   test.sh                     runs every step
#   test.sh known-red LIST      only reads a list of known failing tests and prints their names
#
# KNOWN-RED.txt, if there is one, lists tests that fail for a known fault, one line
# each: TEST, cause, issue. These alone may fail; they are run and printed all the same.
set -euo pipefail
cd "$(dirname "$0")"

readonly known_red_list=KNOWN-RED.txt
readonly known_red_limit=3
readonly tests_at_size='^TestFourThousandMachines$'

fail() {
  echo "$1" >&2
  exit 1
}

# test_names prints the names of all tests that are built here, without building them.
test_names() {
  local files='{{$dir := .Dir}}{{range .TestGoFiles}}{{$dir}}/{{.}}{{"\n"}}{{end}}{{range .XTestGoFiles}}{{$dir}}/{{.}}{{"\n"}}{{end}}'
  go list -f "$files" ./... | grep . | tr '\n' '\0' |
    xargs -0 sed -nE 's/^func (Test([A-Z0-9_][A-Za-z0-9_]*)?)\(\w+ \*testing\.T\) .*/\1/p'
}

# known_red prints the names that a list holds; it fails on more than three lines, on one
# without cause and issue, and on a name that no test has.
known_red() {
  local list=$1 all name rest
  [ -f "$list" ] || return 0
  if [ "$(grep -c '' "$list")" -gt "$known_red_limit" ]; then
    fail "$list: more than $known_red_limit lines"
  fi
  all=$(test_names)
  while IFS=, read -r name rest || [ -n "$name" ]; do
    if [[ "$rest" != *,* ]]; then
      fail "$list: '$name': not TEST, cause, issue"
    fi
    if ! grep -qx -- "$name" <<<"$all"; then
      fail "$list: no test is named '$name'"
    fi
    echo "$name"
  done <"$list"
}

# no_tracked_binaries fails on a binary file under version control, the journal's aside.
no_tracked_binaries() {
  local empty_tree binaries
  empty_tree=$(git hash-object -t tree /dev/null)
  binaries=$(git diff --numstat "$empty_tree" HEAD -- . ':!journal' | awk -F'\t' '$1 == "-" {print $3}')
  [ -z "$binaries" ] || fail "binary files are tracked: $binaries"
}

c_compiler() {
  command -v gcc >/dev/null || { apt-get update -qq && apt-get install -y -qq gcc libc6-dev; }
}

lint_tool() {
  go tool -modfile=tools/lint.mod "$@"
}

# formatting prints what gofumpt and goimports would change, and fails if that is anything.
formatting() {
  lint_tool golangci-lint fmt --diff
}

vet() {
  go vet ./...
}

linters() {
  lint_tool golangci-lint run
}

# no_dead_code fails on a function that neither the program nor a test reaches, and on one that
# only tests reach. The simulator is for tests; it plays the other end of api's wire.
no_dead_code() {
  local dead
  dead=$(lint_tool deadcode -test ./...)
  [ -z "$dead" ] || fail "reached by nothing: $dead"
  dead=$(lint_tool deadcode ./...)
  dead=$(grep -vE '^internal/(simulator|api)/' <<<"$dead" || true)
  [ -z "$dead" ] || fail "reached by tests only: $dead"
}

# at_size runs the tests that the race detector would make too slow (build tag !race).
at_size() {
  go test -run "$tests_at_size" ./internal/controller
}

# race_tests runs all tests under the race detector; those that are known to fail run after the others.
race_tests() {
  local red name
  red=$(known_red "$known_red_list")
  if [ -z "$red" ]; then
    go test -race ./...
    return
  fi
  go test -race -skip "^($(paste -sd'|' <<<"$red"))\$" ./...
  echo "known to fail ($known_red_list):"
  cat "$known_red_list"
  for name in $red; do
    if go test -race -run "^$name\$" ./...; then
      echo "KNOWN-RED: $name passes; take it off the list"
    else
      echo "KNOWN-RED: $name fails"
    fi
  done
}

build() {
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
}

# step runs a function and prints how long it took.
step() {
  local begun=$SECONDS
  echo "== $1"
  "$1"
  echo "== $1: $((SECONDS - begun)) s"
}

case "${1:-}" in
known-red) known_red "$2" ;;
"")
  for name in no_tracked_binaries c_compiler formatting vet linters no_dead_code at_size race_tests build; do
    step "$name"
  done
  ;;
*)
  fail "usage: test.sh [known-red LIST]"
  ;;
esac
