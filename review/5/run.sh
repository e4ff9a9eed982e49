#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x "review/bin/case$(basename "$folder")" ] && [ -x target/lycheefield-gateway ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
timeout -k 2 115 "review/bin/case$(basename "$folder")" "$folder"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
