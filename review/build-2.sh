#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the programs of the deploy file: the stand-ins of the registry
# and of proxies, which also start the instances and judge. It needs no network beyond the modules of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -tags review2 -o bin/review2 ./review/standin2
