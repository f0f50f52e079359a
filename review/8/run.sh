#!/usr/bin/env bash
# Plays case 8. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/violetturn ] && [ -x target/review/stage ] || { echo "build first"; exit 2; }
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 1 117 target/review/stage -case "$(basename "$here")" -record "$here/record.txt" -dir "$dir"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
