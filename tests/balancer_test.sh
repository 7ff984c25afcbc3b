#!/bin/sh
# Start, reload and end of the balancer program. A faulty configuration ends it with status 1 and a one-line message; SIGTERM
# drains it.
balancer=$1
fail() { echo "$1"; exit 1; }
scratch=$(mktemp -d) && trap 'rm -rf "$scratch"' EXIT

expect_failure() {
    message=$("$@" 2>&1 >/dev/null) && fail "the program did not fail: $*"
    status=$?
    [ $status -eq 1 ] || fail "exit status $status instead of 1: $message"
    [ "$(printf '%s\n' "$message" | wc -l)" -eq 1 ] || fail "the message has more than one line: $message"
}

expect_failure env -u NODE_CONFIG "$balancer"
[ "$message" = "flaxdoor: NODE_CONFIG is not set" ] || fail "unexpected message: $message"
expect_failure env NODE_CONFIG="$scratch/none" "$balancer"
echo '{"settings":' >"$scratch/broken"
expect_failure env NODE_CONFIG="$scratch/broken" "$balancer"
echo '{"settings":{"rank":0},"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}' >"$scratch/short"
expect_failure env NODE_CONFIG="$scratch/short" "$balancer"
case $message in *"setting missing: siblings"*) ;; *) fail "unexpected message: $message" ;; esac

# A successful start is logged. Each SIGHUP applies the new configuration; a malformed one leaves the previous one in effect.
# SIGTERM ends the program with status 0.
cat >"$scratch/config" <<'END'
{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "settings":{"rank":0,"siblings":1,"zone":0,"zones":["here"],"tick":1.0,"registry_mode":"ask","tenants":[],
  "services":[{"name":"look","aim":100.0,"hard_limit":200.0,"effect":"idempotent"}],
  "limits":{"max_attempts":2},"invariants":{"ask_within":10000.0}}}
END
mkfifo "$scratch/log"
NODE_CONFIG="$scratch/config" "$balancer" 2>"$scratch/log" &
balancer_pid=$!
exec 3<"$scratch/log"
skip_to() {  # skips other lines, such as those about discovery, which does not answer here
    while read -r line <&3; do
        case $line in "$1"*) return ;; esac
    done
    fail "missing in the log: $1"
}
skip_to listening
for port in 2 3; do
    sed "s/127.0.0.1:1\"/127.0.0.1:$port\"/" "$scratch/config" >"$scratch/new" && mv "$scratch/new" "$scratch/config"
    kill -HUP $balancer_pid
    skip_to "configuration taken, discovery at 127.0.0.1:$port"
    sed -i "s/127.0.0.1:$port\"/127.0.0.1:1\"/" "$scratch/config"
done
cp "$scratch/config" "$scratch/good"
echo '{"settings":' >"$scratch/config"
kill -HUP $balancer_pid
skip_to "the old configuration stays: configuration $scratch/config: "
kill -TERM $balancer_pid
skip_to draining
cp "$scratch/good" "$scratch/config"
kill -HUP $balancer_pid
skip_to "configuration taken, discovery at 127.0.0.1:1"
skip_to drained
wait $balancer_pid || fail "SIGTERM did not end the program with status 0"
