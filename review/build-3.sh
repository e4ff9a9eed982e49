#!/usr/bin/env bash
# Builds the programs of the scripts of review/11 to review/15, with their stand-ins, into review/bin. Run it in any folder.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in 1[1-5]/main.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -lboost_json -o "bin/main$(dirname "$source")"
done
