#!/usr/bin/env bash
# Builds the stand-ins and the script programs of the review into review/bin. Run it in any folder.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c standin/lab.cpp -o bin/lab.o
for source in [0-9]/case.cpp; do
    [ -e "$source" ] || continue
    name=$(dirname "$source")
    g++ "${flags[@]}" "$source" bin/lab.o -lboost_json -o "bin/case$name"
done
