#!/bin/sh
# Builds the stand-ins and cases of the second review into review/bin, from any folder.
set -e
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./standin-2
