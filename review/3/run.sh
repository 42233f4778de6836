#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
standin="$root/review/bin/standin"
if [ ! -x "$standin" ] || [ ! -x "$root/bin/peppervale" ]; then
  echo "build first: the build line of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
exec timeout --signal=KILL 118 "$standin" -root "$root" -record "$folder/record.txt" shut-out
