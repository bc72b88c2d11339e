#!/usr/bin/env bash
# Builds everything with warnings as errors and runs the tests. Only tests that KNOWN-RED.txt lists
# may fail.
set -euo pipefail
cd "$(dirname "$0")"
build=target/tests-build
cmake -S . -B $build -DCMAKE_BUILD_TYPE=Release -DELMSTALL_WERROR=ON -DELMSTALL_PRODUCTION_TESTS=ON
cmake --build $build -j"$(nproc)"

failures=$build/Testing/Temporary/LastTestsFailed.log  # lines: number:name
rm -f "$failures"
status=0
ctest --test-dir $build -j"$(nproc)" --output-on-failure || status=$?
if [[ $status -ne 0 && ! -s $failures ]]; then exit "$status"; fi  # ctest itself failed
ctest --test-dir $build -N | sed -n 's/^ *Test *#[0-9]*: //p' >$build/all_tests
touch "$failures"
sed 's/^[0-9]*://' "$failures" >$build/failed_tests
tests/known_red.sh KNOWN-RED.txt $build/all_tests $build/failed_tests
