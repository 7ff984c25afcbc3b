#!/bin/sh
# The host's behaviour at the ends of its input: empty input, an empty batch, a frame cut off, a bad code.
host=$1
fail() { echo "$1"; exit 1; }

"$host" </dev/null || fail "end of input between frames must end it with 0"

# Batch 1, clock 0, no body, no records: answered by a reply for batch 1, no body, no records.
reply=$(printf '\001\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000' | "$host" | od -An -tx1 | tr -d ' \n')
[ "$reply" = "010000000000000000000000" ] || fail "reply to an empty batch: $reply"

message=$(printf '\001\000\000' | "$host" 2>&1 >/dev/null) && fail "a frame cut off must end it with an error"
[ "$message" = "flaxdoor: input cut off: 3 of 20 bytes (header of the first batch)" ] || fail "it said: $message"

message=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000'; head -c 48 /dev/zero; } |
    "$host" 2>&1 >/dev/null) && fail "an unknown code must end it with an error"
[ "$message" = "flaxdoor: unknown event code 0 (batch 1, record 0)" ] || fail "it said: $message"

# Batch 5 announces a body of 48 bytes and brings none.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\060\000\000\000\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "a body cut off must end it with an error"
[ "$message" = "flaxdoor: input cut off: 0 of 48 bytes (batch 5)" ] || fail "it said: $message"

# A length beyond what the wire allows.
message=$(printf '\005\000\000\000\000\000\000\000\000\000\000\000\377\377\377\377\001\000\000\000' | "$host" 2>&1 >/dev/null) &&
    fail "an oversized frame must end it with an error"
[ "$message" = "flaxdoor: frame too long (batch 5)" ] || fail "it said: $message"

# A start with settings that can't be read: answered by PANIC (code 259), which names the setting; the host goes on.
reply=$({ printf '\001\000\000\000\000\000\000\000\000\000\000\000\071\000\000\000\001\000\000\000'
    printf '\002\001\003\000\000\000\000\000\000\000\000\000\000\000\000\000\000\000\011\000\000\000'
    head -c 26 /dev/zero
    printf 'rank=one\n'; } | "$host") || fail "settings that can't be read must not end it"
case $reply in *"setting unreadable: rank"*) ;; *) fail "no PANIC that names the setting" ;; esac
