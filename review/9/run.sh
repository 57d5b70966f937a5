#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/teaseltack ] || [ ! -x target/review2 ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec target/review2 drill review/9
