#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. They need nothing but Go's own packages.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOWORK=off CGO_ENABLED=0 go build -o ../bin/ .
