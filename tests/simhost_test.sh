#!/bin/sh
# The simulator adapter with unusual input: empty input, an empty batch, truncated frames, an unknown code, invalid settings.
host=$1
fail() { echo "$1"; exit 1; }

"$host" </dev/null || fail "exit status is not 0 after the end of input between frames"

# Batch 1, clock 0, no body, no records. The reply is for batch 1 and has no body and no records.
reply=$(printf '\001\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000' | "$host" | od -An -tx1 | tr -d ' \n')
[ "$reply" = "010000000000000000000000" ] || fail "reply to an empty batch: $reply"

message=$(printf '\001\000\000' | "$host" 2>&1 >/dev/null) && fail "no error after a truncated frame"
[ "$message" = "flaxdoor: input cut off: 3 of 20 bytes (header of the first batch)" ] || fail "unexpected message: $message"

message=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000'; head -c 48 /dev/zero; } |
    "$host" 2>&1 >/dev/null) && fail "no error after an unknown code"
[ "$message" = "flaxdoor: unknown event code 0 (batch 1, record 0)" ] || fail "unexpected message: $message"

# The header of batch 5 announces a body of 48 bytes; the body is missing.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "no error after a truncated body"
[ "$message" = "flaxdoor: input cut off: 0 of 48 bytes (batch 5)" ] || fail "unexpected message: $message"

# The header announces a body larger than the protocol allows.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\377\377\377\377\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "no error after an oversized frame"
[ "$message" = "flaxdoor: frame too long (batch 5)" ] || fail "unexpected message: $message"

# An instance is created with settings that cannot be parsed. The reply is PANIC (code 259), which names the setting, and the
# adapter goes on.
reply=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\071\000\000\000\001\000\000\000'
    printf '\002\001\003\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\011\000\000\000'
    head -c 26 /dev/zero
    printf 'rank=one\n'; } | "$host") || fail "invalid settings ended the adapter"
case $reply in *"setting unreadable: rank"*) ;; *) fail "the reply has no PANIC that names the setting" ;; esac
