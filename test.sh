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
# KNOWN-RED.txt lists tests that fail for a known fault, one a line: "Test: cause; issue".
# These alone are passed over, and printed.
skip=()
if [ -s KNOWN-RED.txt ]; then
	echo "known failures, passed over:" >&2
	cat KNOWN-RED.txt >&2
	skip=(-skip "^($(cut -d: -f1 KNOWN-RED.txt | paste -sd'|'))\$")
fi
# What has goroutines runs under the race detector, which wants a C compiler.
concurrent='/(internal/(accept|node|front|console|handover|backend|discovery|xds|control|ctl|eventlog|logsink|lab/(alarm|real|soak|sysfault|xdsdrain|clipserver|hosts|caller|link|socket|history))|cmd/ivylock)$'
if [ "$(go env CGO_ENABLED)" = 1 ] && command -v "$(go env CC)" >/dev/null; then
	go test "${skip[@]}" $(go list ./... | grep -vE "$concurrent")
	# The lab's processes mostly wait, and its tests bound how many of them run at once by themselves.
	cores=$(getconf _NPROCESSORS_ONLN)
	go test -race "${skip[@]}" -parallel $((cores > 4 ? cores : 4)) $(go list ./... | grep -E "$concurrent")
else
	go test "${skip[@]}" ./...
fi
