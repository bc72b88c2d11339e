#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")"
top=$(cd ../.. && pwd)
number=$(basename "$PWD")
program="$top/target/review/case$number"
if [[ ! -x $top/target/elmstall || ! -x $program ]]; then
  echo "build first: the command in deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 1 118 "$program" "$top/target/elmstall" "$PWD/record.txt"
status=$?
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
