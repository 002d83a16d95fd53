#!/usr/bin/env bash
# Builds the programs of the cases of the second review (review/6 and later) into build/review-2. Each program holds
# its case and every stand-in that it needs. Needs a C++20 compiler and nlohmann-json, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  "${CXX:-c++}" -std=c++20 -O2 -pthread -I review/stage "$source" -o "build/review-2/case-$number"
done
