#!/bin/sh
# The program's start: what is wrong with a configuration ends it with one line and 1.
balancer=$1
fail() { echo "$1"; exit 1; }
scratch=$(mktemp -d) && trap 'rm -rf "$scratch"' EXIT

refused() {
    message=$("$@" 2>&1 >/dev/null) && fail "it must end with an error: $*"
    status=$?
    [ $status -eq 1 ] || fail "it ended with $status: $message"
    [ "$(printf '%s\n' "$message" | wc -l)" -eq 1 ] || fail "more than one line: $message"
}

refused env -u NODE_CONFIG "$balancer"
[ "$message" = "flaxdoor: NODE_CONFIG is not set" ] || fail "it said: $message"
refused env NODE_CONFIG="$scratch/none" "$balancer"
echo '{"settings":' >"$scratch/broken"
refused env NODE_CONFIG="$scratch/broken" "$balancer"
echo '{"settings":{"rank":0},"seed":"1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1"}' >"$scratch/short"
refused env NODE_CONFIG="$scratch/short" "$balancer"
case $message in *"setting missing: siblings"*) ;; *) fail "it said: $message" ;; esac
