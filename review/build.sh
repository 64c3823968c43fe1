#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review. Needs only g++ and rapidjson, as the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cc; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cc)"
done
