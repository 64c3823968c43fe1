#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 with their stand-ins into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/cases-3/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-3/$name" -pthread
done
