#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, with the packages of the deploy file. Their binaries go to
# target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/harness-3/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread $(pkg-config --cflags jsoncpp libsodium) -o "target/review-3/$name" \
    "$source" $(pkg-config --libs jsoncpp libsodium) &
done
for job in $(jobs -p); do
  wait "$job"
done
