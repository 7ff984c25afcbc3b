#!/bin/sh
# Builds the fuzz targets with clang++ and runs each for SECONDS (10), starting from the suite's messages (the store's
# from nothing: its target begins with a good store; PostgreSQL's from found/pg, the gateway's from found/gateway) and from what was found before (found/). What breaks one is left in the build folder as TARGET-crash-*.
# With a build folder as second argument, runs the targets that are built there already (the suite's sanitized build).
# `sample` in place of SECONDS: the suite's. A number of inputs in place of a time, about as many as ten seconds give, from one seed, with
# nothing grown before and no guidance by comparisons, which goes by where the system put the program: so its verdict does not hang on the
# machine's speed. (The store's coverage, and so its inputs, still differ a little from run to run.) To look for what is new, give it seconds.
# usage: run.sh [SECONDS|sample [BUILD]]
set -eu
cd "$(dirname "$0")/../.."
seconds=${1:-10}
build=${2:-build-fuzz}
if [ $# -lt 2 ]; then
    cmake -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_FUZZ=ON -DFLAXDOOR_WERROR=ON
    cmake --build "$build" -j"${JOBS:-$(nproc)}" --target fuzz_corpus fuzz_requests fuzz_answers fuzz_store fuzz_pg fuzz_pg_session fuzz_gateway
fi
rm -rf "$build/corpus"
"$build/tests/fuzz/fuzz_corpus" "$build/corpus"

# fuzz TARGET INPUTS MOST_BYTES [OPTION...]: starts from what was found before, and from what earlier runs have grown.
fuzz() {
    target=$1 inputs=$2 most=$3
    shift 3
    grown="$build/grown/$target"
    if [ "$seconds" = sample ]; then
        grown="$build/sample/$target"
        rm -rf "$grown"
        set -- "-runs=$inputs" -seed=1 -use_cmp=0 "$@"
    else
        set -- "-max_total_time=$seconds" "$@"
    fi
    mkdir -p "$grown"
    # By name, not as the file system has them.
    find "tests/fuzz/found/$target" "$build/corpus/$target" -type f 2>/dev/null | LC_ALL=C sort | paste -sd, >"$build/$target.list"
    "$build/tests/fuzz/fuzz_$target" -max_len="$most" -timeout=10 -rss_limit_mb=1024 \
        -artifact_prefix="$build/$target-" -print_final_stats=1 -seed_inputs="@$build/$target.list" "$@" "$grown"
}
for target in requests answers; do
    fuzz "$target" 4000 20000 -dict=tests/fuzz/http.dict
done
fuzz store 2000 400 -len_control=0
fuzz pg 12000 4000
fuzz pg_session 20000 40 -len_control=0
fuzz gateway 4000 4000 -rss_limit_mb=2048
