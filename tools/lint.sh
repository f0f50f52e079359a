#!/usr/bin/env bash
# Runs the linters, whose versions are fixed in tools/ratchet.mod. What they find must be
# exactly what tools/lint-exceptions.txt lists, as lines of FILE RULE COUNT, and that list
# may only shrink: for no rule may it count more than an earlier version in the history did.
#
#   tools/lint.sh                          runs the linters and checks the list
#   tools/lint.sh list                     prints what the linters find, in the list's form
#   tools/lint.sh same FOUND LIST          checks that two lists are the same
#   tools/lint.sh shrinks OLDER NEWER      checks that the newer list counts no more
set -euo pipefail
cd "$(dirname "$0")/.."
exceptions=tools/lint-exceptions.txt

# found prints what the linters find.
found() {
  {
    go tool -modfile=tools/ratchet.mod revive -config tools/revive.toml -formatter unix ./cmd/... ./internal/... |
      sed -nE 's/^([^:]+):[0-9]+(:[0-9]+)?: \[([a-z-]+)\].*/\1 \3/p'
    { go tool -modfile=tools/ratchet.mod staticcheck -checks all ./cmd/... ./internal/... || true; } |
      sed -E 's/^([^:]+):[0-9]+(:[0-9]+)?: .*\(([A-Z]+[0-9]+|compile)\)$/\1 \3/'
  } | sort | uniq -c | awk '{print $2, $3, $1}'
}

# same fails on a finding that the list lacks and on an entry that is found no more.
same() {
  if ! diff "$1" "$2" >&2; then
    echo "lint: left is what the linters find, right is $exceptions; mend what is new, take out what is mended" >&2
    return 1
  fi
}

# shrinks fails if the newer list counts more of a rule than the older one.
shrinks() {
  awk 'FILENAME == ARGV[1] { older[$2] += $3; next }
       { newer[$2] += $3 }
       END { for (rule in newer) if (newer[rule] > older[rule] + 0) {
               printf "lint: %s stands %d times in the list of exceptions, earlier %d times\n", rule, newer[rule], older[rule] + 0
               failed = 1 }
             exit failed }' "$1" "$2" >&2
}

# history checks each version of the list against the one before it.
history() {
  local dir=$1 commit older=
  for commit in $(git log --reverse --format=%H -- "$exceptions"); do
    git show "$commit:$exceptions" >"$dir/$commit" 2>/dev/null || continue
    [ -z "$older" ] || shrinks "$older" "$dir/$commit"
    older=$dir/$commit
  done
  [ -z "$older" ] || shrinks "$older" "$exceptions"
}

case "${1:-}" in
list) found ;;
same) same "$2" "$3" ;;
shrinks) shrinks "$2" "$3" ;;
"")
  dir=$(mktemp -d)
  trap 'rm -rf "$dir"' EXIT
  found >"$dir/found"
  same "$dir/found" "$exceptions"
  history "$dir"
  ;;
*)
  echo "usage: tools/lint.sh [list | same FOUND LIST | shrinks OLDER NEWER]" >&2
  exit 2
  ;;
esac
