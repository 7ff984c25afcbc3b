#!/bin/sh
# `flaxdoor coordinator` and `flaxdoor budget show` as a shell runs them: start, bad files, SIGHUP, SIGTERM, killed and
# back with and without a witness, an older copy of the store.
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

# Waits until the log has the line.
told() {
    i=0
    until grep -q -- "$1" log; do
        i=$((i + 1))
        [ $i -lt 3000 ] || fail "not told: $1"
        sleep 0.01
    done
}
start() {
    : >log # else the lines of the one before may be read
    "$program" coordinator op.toml --grants grants 2>log &
    pid=$!
    told '^listening on '
    at=$(sed -n 's/^listening on //p' log)
}
# Asks, as a balancer does, until its share has places: from then on the coordinator knows all that is in force. It tells
# what it has taken: to one that takes none of three grants in a row nothing more is given.
ask_until_all_is_known() {
    python3 - "$at" "$1" <<'P' || fail 'no share of places'
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
    time.sleep(0.01)  # between two questions
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
# A bad file: one clear error each, and 1.
bad() { # what is wrong
    status=0
    "$program" coordinator bad.toml 2>err || status=$?
    [ $status = 1 ] || fail "status $status: $(cat err)"
    [ "$(wc -l <err)" = 1 ] || fail "more than one error: $(cat err)"
    grep -qF -- "$1" err || fail "wanted $1: $(cat err)"
}

sed '/coordinator\]/,$d' op.toml >bad.toml
bad 'bad.toml: there is no table [coordinator] (coordinator); add it, with listen and store'
sed 's/^rate.*/rate = "many"/' op.toml >bad.toml
bad 'bad.toml:9:'
sed 's/^term.*/trem = "1s"/' op.toml >bad.toml
bad 'bad.toml:4:'
sed 's,^store.*,store = "/proc/none",' op.toml >bad.toml
bad 'flaxdoor: the store /proc/none: '
rm -f bad.toml && bad 'bad.toml'
status=0
"$program" coordinator 2>err || status=$?
[ $status = 2 ] || fail "no file: $status"

# A first start waits; then it is ready, and says so.
start
told 'nothing is granted for .* ms: the store is empty'
[ -s witness ] || fail 'no witness'
"$program" budget show --at "$at" >out || fail "show: $?"
grep -q "^coordinator $at, epoch [0-9]*: grants" out || fail "show: $(cat out)"
grep -q '^bookings  requests     100/s+100 ' out || fail "show: $(cat out)"
"$program" budget show --at "$at" --json | grep -q '"whole":\[100000,100\]' || fail 'show --json'
# Another of the same store is kept out.
cp op.toml bad.toml
bad 'flaxdoor: the store store: '

# SIGHUP: new wholes; what takes a restart is told; a bad file changes nothing.
sed -i 's/^rate.*/rate = 10/; s/^term.*/term = "2s"/' op.toml
kill -HUP "$pid"
told '^operator.s file: budget_limit\["bookings"\].rate: 100.0 to 10.0'
told '^operator.s file: takes a restart: budget.term: '
"$program" budget show --at "$at" | grep -q '^bookings  requests     10/s+10 ' || fail 'the whole is not the new one'
sed -i 's/^rate.*/rate = -1/' op.toml
kill -HUP "$pid"
told '^the old operator.s file stays'
"$program" budget show --at "$at" | grep -q '^bookings  requests     10/s+10 ' || fail 'a bad file changed the whole'
sed -i 's/^rate.*/rate = 100/; s/^term.*/term = "300ms"/' op.toml
end TERM 0
grep -q '^draining' log && grep -q '^drained' log || fail 'no end in order'
status=0
"$program" budget show --at "$at" 2>err || status=$?
[ $status = 1 ] || fail "show with nobody there: $status"
grep -q "^flaxdoor: the coordinator: $at: " err || fail "show: $(cat err)"

# It ended within its wait, so the next one waits as well. Once all is known, a killed one comes back and goes on.
start
told 'nothing is granted for .* ms: the start before this one did not know all either'
ask_until_all_is_known a
grep -q '"budget":"at-once","epoch":.*"holder":"n1"' grants || fail 'no log of grants'
"$program" budget show --at "$at" | grep -q '^at-once   n1  ' || fail "no holder: $("$program" budget show --at "$at")"
end KILL 137
start
told 'the store is the latest, leases go on'
"$program" budget show --at "$at" | grep -q '^at-once   n1 .* 7 ' || fail 'what was granted is not known'

# Without its witness; with an older copy of its store, which by itself nothing tells from the latest.
end KILL 137
cp -r store copy
start
told 'the store is the latest'
ask_until_all_is_known b
end KILL 137
rm -r store && mv copy store
start
told 'nothing is granted for .* ms: the '
ask_until_all_is_known c
end KILL 137
rm witness
start
told 'nothing is granted for .* ms: the witness: No such file'
ask_until_all_is_known d
end KILL 137
rm -r store
start
told 'nothing is granted for .* ms: the store is empty'
end TERM 0
