#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Build the deploy file and review/build-2.sh first.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/review2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec ../../bin/review2 platform-lost
