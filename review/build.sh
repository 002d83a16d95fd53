#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
for scenario in review/[0-9]*/scenario.cpp; do
  number=$(basename "$(dirname "$scenario")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/common -o "build-review/case$number" \
    "$scenario" review/common/net.cpp review/common/platform.cpp
done
