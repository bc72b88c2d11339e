#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over src/; any finding
# fails. Needs clang-format and clang-tidy, and the build of test.sh.
set -euo pipefail
cd "$(dirname "$0")"
build=target/tests-build
find src tests -name '*.hpp' -o -name '*.cpp' | xargs clang-format --dry-run --Werror
# The compiler's own flags are GCC's.
find src -name '*.cpp' | xargs -P "$(nproc)" -n 1 \
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option
