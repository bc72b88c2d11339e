#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file, whose libraries and
# packages they use. The result is target/review-2/stand.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ ! -f target/libelmstall_net.a ]]; then
  echo "build-2.sh: run the build of deploy/service.toml first" >&2
  exit 2
fi
mkdir -p target/review-2
rm -f target/review-2/*.o
includes=()
for package in config net runtime wire; do includes+=("-Itarget/packages/$package"); done
pids=()
for source in review/stand-2/*.cpp; do
  object=target/review-2/$(basename "$source" .cpp).o
  g++ -std=c++20 -O1 -Wall -Wextra -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DMSGPACK_NO_BOOST \
    "${includes[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ target/review-2/*.o target/libelmstall_net.a target/libelmstall_wire.a \
  target/libelmstall_config.a -lhttp_parser -lPocoUtil -lPocoFoundation -pthread \
  -o target/review-2/stand
