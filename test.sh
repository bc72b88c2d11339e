#!/usr/bin/env bash
# Builds everything with warnings as errors and runs the tests.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B target/tests-build -DCMAKE_BUILD_TYPE=Release -DELMSTALL_WERROR=ON -DELMSTALL_PRODUCTION_TESTS=ON
cmake --build target/tests-build -j"$(nproc)"
ctest --test-dir target/tests-build -j"$(nproc)" --output-on-failure
