#!/bin/sh
# Builds the fuzz targets with clang++ and runs each for SECONDS (10), starting from the suite's messages (the store's
# from nothing: its target begins with a good store; PostgreSQL's from found/pg, the gateway's from found/gateway) and from what was found before (found/). What breaks one is left in the build folder as TARGET-crash-*.
# With a build folder as second argument, runs the targets that are built there already (the suite's sanitized build).
# usage: run.sh [SECONDS [BUILD]]
set -eu
cd "$(dirname "$0")/../.."
seconds=${1:-10}
build=${2:-build-fuzz}
if [ $# -lt 2 ]; then
    cmake -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_FUZZ=ON -DFLAXDOOR_WERROR=ON
    cmake --build "$build" -j"${JOBS:-$(nproc)}" --target fuzz_corpus fuzz_requests fuzz_answers fuzz_store fuzz_pg fuzz_gateway
fi
"$build/tests/fuzz/fuzz_corpus" "$build/corpus"

# fuzz TARGET MOST_BYTES [OPTION...]: starts from what was found before, and from what earlier runs have grown.
fuzz() {
    target=$1 most=$2
    shift 2
    mkdir -p "$build/grown/$target"
    "$build/tests/fuzz/fuzz_$target" -max_total_time="$seconds" -max_len="$most" -timeout=10 -rss_limit_mb=1024 \
        -artifact_prefix="$build/$target-" -print_final_stats=1 "$@" "$build/grown/$target" "tests/fuzz/found/$target"
}
for target in requests answers; do
    fuzz "$target" 20000 -dict=tests/fuzz/http.dict "$build/corpus/$target"
done
fuzz store 400 -len_control=0
fuzz pg 4000
fuzz gateway 4000 -rss_limit_mb=2048
