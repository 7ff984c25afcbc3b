#!/bin/sh
# Tests `flaxdoor coordinator` and `flaxdoor budget show` as a shell runs them: start, invalid files, SIGHUP,
# SIGTERM, restart after SIGKILL with and without a witness, and an older copy of the store.
set -eu
program=$1
work=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || :; rm -rf "$work"' EXIT
cd "$work"
fail() { echo "FAILED: $*"; cat log 2>/dev/null || :; exit 1; }

cat >op.toml <<'T'
[budget]
coordinator = "127.0.0.1:7400"
balancers = 2
term = "300ms"
longest_deadline = "200ms"
[[budget_limit]]
name = "bookings"
counts = "requests"
rate = 100
[[budget_limit]]
name = "at-once"
counts = "concurrency"
places = 7
[coordinator]
listen = "127.0.0.1:0"
store = "store"
witness = "witness"
T

# Waits until the log has a matching line.
wait_for_log() {
    i=0
    until grep -q -- "$1" log; do
        i=$((i + 1))
        [ $i -lt 3000 ] || fail "not logged: $1"
        sleep 0.01
    done
}
start() {
    : >log # otherwise lines of the previous process may match
    "$program" coordinator op.toml --grants grants 2>log &
    pid=$!
    wait_for_log '^listening on '
    at=$(sed -n 's/^listening on //p' log)
}
# Sends lease requests as a balancer does, until its share has concurrency permits. From then on the
# coordinator's records are complete. The requests report the accepted fencing token, since a holder that
# accepts none of three consecutive grants gets empty grants.
wait_until_records_are_complete() {
    python3 - "$at" "$1" <<'P' || fail 'no share of concurrency permits'
import http.client, json, sys, time
at, instance = sys.argv[1:]
need = lambda name, counts, wants: {"budget": name, "counts": counts, "wants": wants, "leased": [0, 0], "reserve": [0, 0],
                                    "in_use": 0}
taken = [0, 0]
for number in range(1, 3000):
    link = http.client.HTTPConnection(at, timeout=10)
    link.request("POST", "/v1/leases", json.dumps({
        "holder": "n1", "instance": instance, "number": number, "taken": taken, "epoch": taken[0],
        "clock_us": time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000, "leaving": False,
        "needs": [need("bookings", "requests", [50000, 50]), need("at-once", "concurrency", [0, 7])]}))
    answer = link.getresponse()
    reply = json.loads(answer.read())
    assert answer.status == 200, reply
    if reply["verdict"] == "granted":
        taken = [reply["epoch"], reply["seq"]]
    if any(g["budget"] == "at-once" and g["share"][1] > 0 for g in reply["grants"]):
        sys.exit(0)
    time.sleep(0.01)  # between two requests
sys.exit(1)
P
}
end() { # signal, status
    kill -"$1" "$pid"
    status=0
    wait "$pid" 2>/dev/null || status=$?
    pid=
    [ "$status" = "$2" ] || fail "ended with $status after $1"
}
# An invalid file must cause exactly one error message and status 1.
expect_rejected() { # expected part of the message
    status=0
    "$program" coordinator bad.toml 2>err || status=$?
    [ $status = 1 ] || fail "status $status: $(cat err)"
    [ "$(wc -l <err)" = 1 ] || fail "more than one error: $(cat err)"
    grep -qF -- "$1" err || fail "wanted $1: $(cat err)"
}

sed '/coordinator\]/,$d' op.toml >bad.toml
expect_rejected 'bad.toml: there is no table [coordinator] (coordinator); add it, with listen and store'
sed 's/^rate.*/rate = "many"/' op.toml >bad.toml
expect_rejected 'bad.toml:9:'
sed 's/^term.*/trem = "1s"/' op.toml >bad.toml
expect_rejected 'bad.toml:4:'
sed 's,^store.*,store = "/proc/none",' op.toml >bad.toml
expect_rejected 'flaxdoor: the store /proc/none: '
rm -f bad.toml && expect_rejected 'bad.toml'
status=0
"$program" coordinator 2>err || status=$?
[ $status = 2 ] || fail "no file: $status"

# The first start waits, then becomes ready and reports it.
start
wait_for_log 'nothing is granted for .* ms: the store is empty'
[ -s witness ] || fail 'no witness'
"$program" budget show --at "$at" >out || fail "show: $?"
grep -q "^coordinator $at, epoch [0-9]*: grants" out || fail "show: $(cat out)"
grep -q '^bookings  requests     100/s+100 ' out || fail "show: $(cat out)"
"$program" budget show --at "$at" --json | grep -q '"whole":\[100000,100\]' || fail 'show --json'
# A second process with the same store is rejected.
cp op.toml bad.toml
expect_rejected 'flaxdoor: the store store: '

# SIGHUP applies new wholes, logs settings that need a restart, and ignores an invalid file.
sed -i 's/^rate.*/rate = 10/; s/^term.*/term = "2s"/' op.toml
kill -HUP "$pid"
wait_for_log '^operator.s file: budget_limit\["bookings"\].rate: 100.0 to 10.0'
wait_for_log '^operator.s file: takes a restart: budget.term: '
"$program" budget show --at "$at" | grep -q '^bookings  requests     10/s+10 ' || fail 'the new whole was not applied'
sed -i 's/^rate.*/rate = -1/' op.toml
kill -HUP "$pid"
wait_for_log '^the old operator.s file stays'
"$program" budget show --at "$at" | grep -q '^bookings  requests     10/s+10 ' || fail 'an invalid file changed the whole'
sed -i 's/^rate.*/rate = 100/; s/^term.*/term = "300ms"/' op.toml
end TERM 0
grep -q '^draining' log && grep -q '^drained' log || fail 'no graceful shutdown'
status=0
"$program" budget show --at "$at" 2>err || status=$?
[ $status = 1 ] || fail "show without a coordinator: $status"
grep -q "^flaxdoor: the coordinator: $at: " err || fail "show: $(cat err)"

# The first process ended while it waited, so the next one waits as well. Once its records are complete, a
# restart after SIGKILL grants leases at once.
start
wait_for_log 'nothing is granted for .* ms: the previous start had incomplete records as well'
wait_until_records_are_complete a
grep -q '"budget":"at-once","epoch":.*"holder":"n1"' grants || fail 'no grants log'
end KILL 137

# A restart after SIGKILL knows the leases that have not ended. The term is the longest one allowed, so that a
# slow restart does not end the lease first. The copies take the store back to before that term.
cp -r store short_term_store
cp witness short_term_witness
sed -i 's/^term.*/term = "1m"/' op.toml
start
wait_for_log 'the store is the latest, leases go on'
wait_until_records_are_complete a
"$program" budget show --at "$at" | grep -q '^at-once   n1  ' || fail "no holder: $("$program" budget show --at "$at")"
end KILL 137
start
wait_for_log 'the store is the latest, leases go on'
"$program" budget show --at "$at" | grep -q '^at-once   n1 .* 7 ' || fail 'the restarted coordinator does not know the grant'
end KILL 137
rm -r store witness
mv short_term_store store
mv short_term_witness witness
sed -i 's/^term.*/term = "300ms"/' op.toml
start
wait_for_log 'the store is the latest, leases go on'

# A start with an older copy of the store, which only the witness distinguishes from the latest one, and a
# start without the witness.
end KILL 137
cp -r store copy
start
wait_for_log 'the store is the latest'
wait_until_records_are_complete b
end KILL 137
rm -r store && mv copy store
start
wait_for_log 'nothing is granted for .* ms: the '
wait_until_records_are_complete c
end KILL 137
rm witness
start
wait_for_log 'nothing is granted for .* ms: the witness: No such file'
wait_until_records_are_complete d
end KILL 137
rm -r store
start
wait_for_log 'nothing is granted for .* ms: the store is empty'
end TERM 0
