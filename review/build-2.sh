#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file. Needs only packages
# that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/harness-2/*.cc; do
  name=$(basename "$source" .cc)
  # shellcheck disable=SC2046
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source" $(pkg-config --cflags --libs jsoncpp)
done
