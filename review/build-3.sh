#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 11 to 15, after the build of the deploy file. Needs
# the compiler and the JSON library that the deploy file names.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/stand-in-3/*.cpp -o target/review-3/cases
