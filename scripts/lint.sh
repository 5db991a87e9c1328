#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over the project's own files.
set -euo pipefail
build=${1:-build}
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h' | grep -v capnp)
echo "$files" | xargs clang-format --dry-run --Werror
echo "formatting: clean"
# clang-tidy 14 supports coroutines, but doesn't define the feature macros, so
# that the standard library and Asio would disable theirs.
coroutines="--extra-arg=-D__cpp_impl_coroutine=201902L
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1"
# shellcheck disable=SC2086
git ls-files '*.cpp' | grep -v capnp |
  xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet $coroutines \
    2>/dev/null
echo "clang-tidy: clean"
