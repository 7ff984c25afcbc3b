#!/bin/sh
# The daemon's log settings: SIGHUP changes them while lines are written; a file with faults changes nothing.
# usage: reload_test.sh BALANCER FLAXDOOR
set -eu
balancer=$1 flaxdoor=$2
root=$(cd "$(dirname "$0")/../.." && pwd)
folder=$(mktemp -d)
job=
trap '[ -z "$job" ] || kill -9 "$job" 2>/dev/null || true; rm -rf "$folder"' EXIT
cd "$folder"
fail() { echo "$1"; cat log; exit 1; }
wait_for() {
    tries=0
    until grep -q -- "$1" log; do
        tries=$((tries + 1))
        [ $tries -lt 600 ] || fail "missing in the log: $1"
        sleep 0.05
    done
}
# Whether the process catches or blocks SIGTERM: before that, the signal ends it with status 143.
handles_sigterm() {
    python3 -c '
import re, sys
status = open("/proc/%s/status" % sys.argv[1]).read()
masks = [int(mask, 16) for mask in re.findall(r"^Sig(?:Cgt|Blk):\s*(\w+)", status, re.M)]
sys.exit(0 if any(mask >> 14 & 1 for mask in masks) else 1)' "$1"
}
"$flaxdoor" check "$root/deploy/examples/log.toml"
# Nothing listens on the discovery address, so `discovery.watch_failed` is logged again and again.
sed -E 's/"listen": *"[^"]*"/"listen": "127.0.0.1:0"/; s/"discovery": *"[^"]*"/"discovery": "127.0.0.1:1"/' \
    "$root/deploy/examples/config.json" >config.json
printf '[log]\nformat = "json"\n[drain]\nkeep_accepting = "0s"\n' >my.toml
NODE_CONFIG=config.json "$balancer" --operator my.toml 2>log &
job=$!
wait_for '"event":"listening","address":"127.0.0.1:'
wait_for '"event":"discovery.watch_failed"'
printf '[log]\nformat = "xml"\n[drain]\nkeep_accepting = "0s"\n' >my.toml
kill -HUP $job
wait_for '"event":"operators.kept"'
printf '[log]\nformat = "json"\nevents = ["modul=off"]\n[drain]\nkeep_accepting = "0s"\n' >my.toml
kill -HUP $job
wait_for 'there is no event \\"modul\\"'
printf '[log]\nformat = "logfmt"\nevents = ["discovery.watch_failed=off"]\n[drain]\nkeep_accepting = "0s"\n' >my.toml
kill -HUP $job
# This event still has the old format: the logger applies the new one after the engine.
wait_for '"event":"operators.taken","change":"log.format'
before=$(grep -c 'discovery.watch_failed"' log)
kill -HUP $job
wait_for '^time=.* level=info event=configuration.discovery address=127.0.0.1:1$'
kill -TERM $job
wait_for ' event=draining$'
wait $job || fail "it ended with $?"
job=
[ "$(grep -c 'event=discovery.watch_failed' log)" -eq 0 ] || fail "an event that is off was written"
[ "$(grep -c 'discovery.watch_failed"' log)" -ge "$before" ]
python3 - <<'EOP'
import json
for line in open("log"):
    if line.startswith("{"):
        each = json.loads(line)
        assert {"time", "level", "event"} <= each.keys(), line
    else:
        assert line.startswith("time="), line
EOP
# Without standard error, descriptor 2 must not become a socket or the loop's epoll: log lines would be written into it.
NODE_CONFIG=config.json "$balancer" 2>&- &
job=$!
tries=0
until [ "$(readlink /proc/$job/fd/2)" = /dev/null ] && handles_sigterm $job; do
    tries=$((tries + 1))
    [ $tries -lt 200 ] || fail "standard error is $(readlink /proc/$job/fd/2)"
    sleep 0.05
done
kill -TERM $job
wait $job || fail "without standard error it ended with $?"
job=
