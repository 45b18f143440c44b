#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/stand-in)
for source in Net Deployment; do
  g++ "${flags[@]}" -c "review/stand-in/$source.cpp" -o "$out/$source.o"
done
for source in review/[1-5]/Case.cpp; do
  [ -f "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "$out/Net.o" "$out/Deployment.o" -o "$out/case-$number"
done
