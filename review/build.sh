#!/usr/bin/env bash
# Builds the programs of the cases that are scripts, into target/review/. To be
# run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-DBOOST_BIND_GLOBAL_PLACEHOLDERS -std=c++20 -O2 -Wall -Wextra -pthread"
# shellcheck disable=SC2086
g++ $flags -c review/support/harness.cpp -o "$out/harness.o"
for source in review/*/case.cpp; do
  case=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" "$out/harness.o" -o "$out/case-$case"
done
