#!/usr/bin/env bash
# Builds the stand-ins of the second review: store, executors, entry machines, operator and clients in one program.
# Needs packages of deploy/system.toml only (g++, rapidjson-dev).
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread review/standins-2/*.cpp -o target/review-2/cases
