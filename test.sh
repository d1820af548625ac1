#!/usr/bin/env bash
# Formatting, vet, build and all tests; the bench is not needed.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt would change: $unformatted" >&2
	exit 1
fi
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test ./...
if [ "$(go env CGO_ENABLED)" = 1 ] && command -v "$(go env CC)" >/dev/null; then
	go test -race ./internal/node ./cmd/ivylock # the race detector wants a C compiler
fi
