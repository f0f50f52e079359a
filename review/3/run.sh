#!/usr/bin/env bash
# Runs the case: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/violetturn ] && [ -x target/review/harness ] || { echo "build first" >&2; exit 2; }
exec target/review/harness calloff review/3
