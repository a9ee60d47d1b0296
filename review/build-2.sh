#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in target/review-2. The programs of
# the deploy file have to be built before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  case=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "target/review-2/case-$case" "$source"
done
