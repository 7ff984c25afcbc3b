#!/bin/sh
# The linter: names have the case that .clang-tidy states. Usage: tests/tidy.sh BUILD [FOLDER...], a build by clang++ with its
# compile commands and precompiled headers; without folders, those that the suite checks. JOBS: files at once (default: the cores).
set -eu
cd "$(dirname "$0")/.."
build=$1
shift
[ $# -gt 0 ] || set -- src tests/decide_test.cpp tests/property_test.cpp tests/wire_test.cpp tests/core tests/recovery tests/budget \
    tests/coordinator tests/door tests/engine tests/log tests/membership tests/http tests/suite
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
find "$@" -name '*.cpp' -print0 | xargs -0 -n 2 -P "${JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" >"$log" 2>/dev/null || status=$?
grep -E 'error|warning' "$log" | sort -u || true
exit $status
