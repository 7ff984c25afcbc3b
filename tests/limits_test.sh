#!/bin/sh
# The limits of the policy files that deploy/balancer.toml names: non-blank lines in all, columns of any line.
# Called with a file of its own, it judges that one: so that the check itself is tested.
most_lines=1200
most_columns=110
cd "$(dirname "$0")/.." || exit 1
fail() { echo "$1"; exit 1; }

judge() {
    lines=$(grep -c '[^[:space:]]' "$@" /dev/null | awk -F: '{ sum += $NF } END { print sum }')
    [ "$lines" -gt 0 ] || { echo "no lines in $*"; return 1; }
    [ "$lines" -le $most_lines ] || { echo "$lines non-blank lines in $*, $most_lines at most"; return 1; }
    awk -v most=$most_columns 'length > most { print FILENAME ":" FNR ": " length " columns"; bad = 1 } END { exit bad }' "$@"
}

files=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$files" ] || fail "deploy/balancer.toml names no policy file"
judge $files || exit 1

# The check can fail: one line too many, one column too many.
scratch=$(mktemp -d) && trap 'rm -rf "$scratch"' EXIT
awk -v n=$((most_lines + 1)) 'BEGIN { for (i = 0; i < n; ++i) print "x\n" }' >"$scratch/long"
judge "$scratch/long" >/dev/null && fail "a file that is too long passed"
printf "%0$((most_columns + 1))d\n" 0 >"$scratch/wide"
judge "$scratch/wide" >/dev/null && fail "a line that is too wide passed"
sed 1d "$scratch/long" >"$scratch/most"
judge "$scratch/most" >/dev/null || fail "a file at the limit failed"
