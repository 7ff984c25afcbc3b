#!/bin/sh
# The project stands on its own parts: no test, bench, tool or build file names a server, proxy, store or cluster tool
# of others, and tools/need.sh asks for libraries, compilers and Python only.
set -eu
cd "$(dirname "$0")/.."

# Put together here, so that this file does not hold them.
names="ha""proxy pg""bouncer level""db/ sqlite""3 init""db pg_""ctl kube""ctl ng""inx en""voy pg""bench"
word="w""rk"  # too short to be looked for within words
status=0

# found FOLDER...: lists the lines that name one.
found() {
    for name in $names; do
        grep -rniI -F "$name" "$@" || true
    done
    grep -rnIw "$word" "$@" || true
}

places="tests bench tools cmake demo.sh CMakeLists.txt src standins examples"
lines=$(found $places)
if [ -n "$lines" ]; then
    echo "programs of others are named in:"
    echo "$lines"
    status=1
fi

# Libraries' packages, compilers, what drives them, and Python; nothing that serves or is run beside ours.
allowed='^(g\+\+|clang|clang-format|clang-tidy|cmake|make|pkg-config|procps|python3|lib[a-z0-9.+-]+|nlohmann-json3-dev)$'
packages=$(sed -n 's/.* packages="\(.*\)"$/\1/p' tools/need.sh | sed 's/\$(.*//; s/\$packages//')
shipped=$(sed -n 's/^packages = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$packages" ] && [ -n "$shipped" ] || { echo "tools/need.sh: no packages found"; exit 1; }
for package in $packages $shipped; do
    echo "$package" | grep -qE "$allowed" || { echo "tools/need.sh asks for $package"; status=1; }
done

# The look itself, on a file that names each.
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for name in $names $word; do
    echo "run $name here" >"$scratch/file"
    [ -n "$(found "$scratch")" ] || { echo "$name is not found where it stands"; status=1; }
done
exit $status
