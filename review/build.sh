#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
  [ -e "$source" ] || continue
  g++ -std=c++20 -O2 -pthread -Wall -Wextra -Ireview "$source" \
    -o "target/review/$(basename "$source" .cc)" -lboost_json
done
