#!/bin/sh
# The linter: names in the case that .clang-tidy states. Usage: tests/tidy.sh BUILD, a build by clang++ with its compile
# commands and precompiled headers. JOBS: how many files at once (the cores).
set -eu
cd "$(dirname "$0")/.."
build=$1
folders="src include/flaxdoor tests/core tests/recovery tests/budget tests/coordinator tests/door tests/engine tests/log
    tests/membership tests/http tests/suite"
# shellcheck disable=SC2086 # a list of folders
find $folders tests/*.cpp -name '*.cpp' -print0 |
    xargs -0 -n 2 -P "${JOBS:-$(nproc)}" clang-tidy --quiet -p "$build" 2>/dev/null
