#!/usr/bin/env bash
# Starts the gateways, the store, the servers and the clients of this case. Exit status 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")/../.."
[ -x review/bin/main9 ] && [ -x target/lycheefield-gateway ] || { echo "build first: the deploy file's build and review/build-2.sh" >&2; exit 2; }
ulimit -n 4096 2>/dev/null
exec timeout -k 5 115 review/bin/main9 review/9
