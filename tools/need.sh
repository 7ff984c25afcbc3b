# Sourced by the scripts that a newcomer runs: names what this machine lacks, with the one line that brings it; installs
# it where it is asked to (--install, as root). Usage: need [--install] build|tests|all
need() {
    install=no
    if [ "$1" = --install ]; then install=yes; shift; fi
    # What the build needs stands in the deploy file.
    packages="g++ cmake make $(sed -n 's/^packages = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')"
    [ "$1" = build ] || packages="$packages clang clang-format clang-tidy libclang-rt-14-dev libgtest-dev libbenchmark-dev librestinio-dev libhttp-parser-dev pkg-config libpqxx-dev libpq-dev procps python3"
    missing=
    for package in $packages; do
        case $(dpkg-query -W -f '${Status}' "$package" 2>/dev/null) in
            *" installed") continue ;;
        esac
        # A tool may be there without its package.
        case $package in
            g++ | cmake | make | clang-format | clang-tidy) command -v "$package" >/dev/null && continue ;;
            python3) command -v python3 >/dev/null && continue ;;
        esac
        missing="$missing $package"
    done
    [ -n "$missing" ] || return 0
    line="apt-get update && apt-get install -y --no-install-recommends$missing"
    if [ $install = yes ] && [ "$(id -u)" -eq 0 ]; then
        export DEBIAN_FRONTEND=noninteractive
        sh -ec "$line"
        return
    fi
    echo "Missing on this machine:$missing"
    echo "As root:  $line"
    echo "(or, as root, this script with --install)"
    return 1
}
