#!/usr/bin/env bash
# Builds the stand-ins of the review's cases below target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/harness ./review/harness
