#!/usr/bin/env bash
# Formatting, vet, all tests under the race detector, and the build that
# deploy/service.toml names. Needs Go and, for the race detector, a C compiler.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v gcc >/dev/null; then
  apt-get update -qq && apt-get install -y -qq gcc libc6-dev
fi
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go test -race ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
sh -c "$build"
