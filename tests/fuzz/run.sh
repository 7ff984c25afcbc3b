#!/bin/sh
# Builds the fuzz targets with clang++ and runs each for SECONDS (10), starting from the suite's messages (the store's
# from nothing: its target begins with a good store; PostgreSQL's from found/pg, the gateway's from found/gateway) and from what was found before (found/). What breaks one is left in the build folder as TARGET-crash-*.
# usage: run.sh [SECONDS]
set -eu
cd "$(dirname "$0")/../.."
seconds=${1:-10}
build=build-fuzz
cmake -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_FUZZ=ON -DFLAXDOOR_WERROR=ON
cmake --build "$build" -j2 --target fuzz_corpus fuzz_requests fuzz_answers fuzz_store fuzz_pg fuzz_gateway
"$build/tests/fuzz/fuzz_corpus" "$build/corpus"
for target in requests answers; do
    mkdir -p "$build/grown/$target"
    "$build/tests/fuzz/fuzz_$target" -max_total_time="$seconds" -max_len=20000 -timeout=10 -rss_limit_mb=1024 \
        -artifact_prefix="$build/$target-" -dict=tests/fuzz/http.dict -print_final_stats=1 \
        "$build/grown/$target" "$build/corpus/$target" "tests/fuzz/found/$target"
done
mkdir -p "$build/grown/store"
"$build/tests/fuzz/fuzz_store" -max_total_time="$seconds" -max_len=400 -len_control=0 -timeout=10 -rss_limit_mb=1024 \
    -artifact_prefix="$build/store-" -print_final_stats=1 "$build/grown/store" tests/fuzz/found/store
mkdir -p "$build/grown/pg"
"$build/tests/fuzz/fuzz_pg" -max_total_time="$seconds" -max_len=4000 -timeout=10 -rss_limit_mb=1024 \
    -artifact_prefix="$build/pg-" -print_final_stats=1 "$build/grown/pg" tests/fuzz/found/pg
mkdir -p "$build/grown/gateway"
"$build/tests/fuzz/fuzz_gateway" -max_total_time="$seconds" -max_len=4000 -timeout=10 -rss_limit_mb=2048 \
    -artifact_prefix="$build/gateway-" -print_final_stats=1 "$build/grown/gateway" tests/fuzz/found/gateway
