#!/usr/bin/env bash
# Plays the case "empty-builds" with the program that the deploy file builds. Needs review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it
# without the disruption. What was sent, answered and run is in record.txt beside this script.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
stand=target/review-2/stand
program=target/elmstall
if [[ ! -x $stand || ! -x $program ]]; then
  echo "run.sh: build with the command of deploy/service.toml, then with review/build-2.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The controllers that the program starts end with it, also when the time is over.
timeout 115 "$stand" empty-builds "$program" "$folder" "$here/record.txt"
verdict=$?
tail -n 20 "$here/record.txt" | grep -E 'held:|BROKEN:|could not run:'
[[ $verdict -le 2 ]] || verdict=2
exit "$verdict"
