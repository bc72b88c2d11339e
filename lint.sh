#!/usr/bin/env bash
# Checks the format of all sources, runs the linter over src/, and checks that the public items of
# the headers are documented. Prints findings only; any finding makes the exit status 1.
# Needs clang-format and clang-tidy 14, Doxygen, and the build that test.sh makes.
set -euo pipefail
cd "$(dirname "$0")"

build=target/tests-build
if [[ ! -f $build/compile_commands.json ]]; then
  echo "lint.sh: $build/compile_commands.json is missing: run ./test.sh first" >&2
  exit 2
fi
# clang-tidy ignores a .clang-tidy that it can't read, and only says so.
complaint=$(clang-tidy --dump-config 2>&1 >/dev/null)
if [[ -n $complaint ]]; then
  echo "$complaint" >&2
  exit 2
fi
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
export build results

# Runs clang-tidy on one source. Its output goes to files of its own, so that the findings of
# several processes don't mix. Standard error holds only counts ("12 warnings generated"), unless
# clang-tidy fails without a finding: then it says why.
# -Wno-unknown-warning-option: the compile commands are GCC's and name warnings of its own.
lint_source() {
  local source=$1 output="$results/${1//\//__}" status=0
  clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$source" \
    >"$output.findings" 2>"$output.errors" || status=$?
  if [[ $status -ne 0 && ! -s $output.findings ]]; then
    { echo "$source: error: clang-tidy exits with $status:"; cat "$output.errors"; } \
      >"$output.findings"
  fi
  [[ $status -eq 0 && ! -s $output.findings ]]
}
export -f lint_source

verdict=0
find src tests -name '*.hpp' -o -name '*.cpp' | sort |
  xargs clang-format --dry-run --Werror || verdict=1
find src -name '*.cpp' | sort |
  xargs -P "$(nproc)" -I SOURCE bash -c 'lint_source SOURCE' || verdict=1
# A finding in a header is found from each source that includes it: it is printed once, under the
# header's path in src/ instead of that of the link below packages/.
find "$results" -name '*.findings' | sort | xargs cat | sed -E 's|^[^ ]*/packages/[a-z_]+/|src/|' |
  awk '/^[^ ].*: (warning|error): / { fresh = !seen[$0]++ } fresh'
docs/check || verdict=1
exit "$verdict"
