#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.." || exit 2
program=review/bin/main$(basename "$case_folder")
[ -x "$program" ] && [ -x target/lycheefield-gateway ] || { echo "build first: the build of the deploy file and review/build-3.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$case_folder/record.txt" "$folder"
status=$?
[ $status -le 1 ] || status=2
exit $status
