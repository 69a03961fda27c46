#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run after the build of deploy/system.toml, whose packages
# suffice.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -Wextra -I review/harness $(pkg-config --cflags jsoncpp))
g++ "${flags[@]}" -c review/harness/harness.cc -o target/review/harness.o
for case in review/[1-5]; do
  [ -f "$case/case.cc" ] || continue
  g++ "${flags[@]}" "$case/case.cc" target/review/harness.o \
    -o "target/review/case-${case##*/}" $(pkg-config --libs jsoncpp) -pthread
done
