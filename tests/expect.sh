# Sourced by tests of `flaxdoor check`: what is on standard input is refused with a text. Wants $check.
expect() {
    cat >file.toml
    if "$check" check file.toml >out 2>&1; then echo "accepted, wanted: $1"; cat file.toml; exit 1; fi
    grep -qF -- "$1" out || { echo "wanted: $1"; cat out; exit 1; }
}
