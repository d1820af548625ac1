#!/bin/sh
# Builds the stand-ins of the cases. They use the standard library alone.
cd "$(dirname "$0")" && mkdir -p bin && CGO_ENABLED=0 go build -o bin/standin ./standin
