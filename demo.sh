#!/bin/sh
# A first minute: builds, starts three booking nodes, a roster and a balancer on loopback, sends ten seconds of mixed
# load, kills a node and brings it back midway, and prints what each class got and that no check-in ran twice.
set -eu
cd "$(dirname "$0")"
. tools/need.sh
need "$@" build || exit 1
build=${BUILD:-build-demo}
echo "Building in $build ..."
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=Release -DFLAXDOOR_STANDINS=ON >/dev/null
cmake --build "$build" -j "$(nproc)" --target flaxdoor_balancer flaxdoor_standin_node flaxdoor_standin_roster \
    flaxdoor_standin_client >"$build/demo-build.log" 2>&1 || { cat "$build/demo-build.log"; exit 1; }
bin=$(dirname "$(find "$build" -name flaxdoor_standin_node -type f | head -n 1)")

work=$(mktemp -d)
started=
end() {
    for pid in $started; do kill -TERM "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap end EXIT
trap 'exit 1' INT TERM

# The address that a program says it listens on, in its N-th such line.
address() {
    tries=0
    until line=$(grep '^listening on ' "$1" | sed -n "$2p") && [ -n "$line" ]; do
        tries=$((tries + 1))
        [ $tries -lt 200 ] || { echo "It does not start:"; cat "$1"; exit 1; }
        sleep 0.05
    done
    echo "${line#listening on }"
}

mkfifo "$work/nodes.in"
"$bin/flaxdoor_standin_node" --listen 127.0.0.1:0 --listen 127.0.0.1:0 --listen 127.0.0.1:0 --workers 4 --full \
    --work 'slot-search=6:exp' --work 'donor-view=3:exp' --work 'book=3:exp' --work 'check-in=2:exp' \
    --report-fields inflight=active,latency_ms=avg_ms,eps=err_rps <"$work/nodes.in" >"$work/nodes.out" 2>&1 &
started="$started $!"
exec 3>"$work/nodes.in"
entries=
for n in 1 2 3; do
    at=$(address "$work/nodes.out" $n)
    entries="$entries --entry {\"host\":\"node-$n\",\"dial\":\"$at\",\"site\":\"portland\",\"class\":\"full-node\",\"block\":0,\"health\":\"active\",\"share\":1.0,\"born_ms\":0}"
done
mkfifo "$work/roster.in"
# shellcheck disable=SC2086 # the entries hold no blanks
"$bin/flaxdoor_standin_roster" --listen 127.0.0.1:0 $entries <"$work/roster.in" >"$work/roster.out" 2>&1 &
started="$started $!"
exec 4>"$work/roster.in"
roster=$(address "$work/roster.out" 1)
sed "s/127.0.0.1:8500/$roster/; s/127.0.0.1:5000/127.0.0.1:0/" deploy/examples/config.json >"$work/config.json"
NODE_CONFIG="$work/config.json" "$build/flaxdoor_balancer" --operator deploy/examples/core.toml 2>"$work/balancer.log" &
balancer=$!
started="$started $balancer"
front=$(address "$work/balancer.log" 1)

echo "Three nodes, a roster at $roster, a balancer at $front. Ten seconds of load, 300 calls a second;"
echo "node 2 dies after four seconds and is back after seven."
"$bin/flaxdoor_standin_client" --target "$front" --class slot-search:safe:46:600 --class donor-view:safe:20:750 \
    --class book:keyed:18:750:200 --class check-in:unsafe:16:150:100 --rate 300 --connections 64 --duration-ms 10000 \
    --seed 1 >"$work/table" 2>&1 &
client=$!
sleep 4
echo "@2 die" >&3
sleep 3
echo "@2 come_back" >&3
wait $client || true
echo
cat "$work/table"
echo "counts" >&3
tries=0
until [ "$(grep -c '"unsafe_again"' "$work/nodes.out")" -ge 3 ] || [ $tries -ge 100 ]; do
    tries=$((tries + 1))
    sleep 0.05
done
kill -TERM $balancer
wait $balancer && echo "The balancer drained and ended. What it logged:"
sed 's/^/    /' "$work/balancer.log" | head -n 20
echo
again=$(grep -o '"unsafe_again":[0-9]*' "$work/nodes.out" | tail -n 1)
ran=$(grep -o '"check-in":[0-9]*' "$work/nodes.out" | tail -n 3 | awk -F: '{ sum += $2 } END { print sum }')
if [ "${again#*:}" = 0 ]; then
    echo "Of $ran check-ins that ran at the three nodes, none ran twice."
else
    echo "Check-ins that ran twice: ${again#*:}"
    exit 1
fi
