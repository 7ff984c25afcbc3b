#!/bin/sh
# Errors in [gateway] and its rows, which `flaxdoor check` reports with the line and the key, and the commands
# `flaxdoor routes`. usage: check_test.sh FLAXDOOR
set -eu
. "$(dirname "$0")/../expect.sh"
check=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
resources=$(cd "$(dirname "$0")/resources" && pwd)
cd "$folder"

good() {
    cat <<EOT
[gateway]
listen = "127.0.0.1:8088"
[[route_pool]]
name = "p"
servers = ["10.0.0.1:80"]
[[route]]
name = "r"
pools = ["p"]
EOT
}

good >good.toml
"$check" check good.toml >/dev/null
good | sed 's/pools = .*/pools = ["q"]/' | expect 'file.toml:8:1: no such pool: q (route.pools)'
good | sed 's/pools = .*/pools = ["p x"]/' | expect 'file.toml:8:1: no weight: p x (route.pools)'
good | sed 's/servers = .*/servers = ["host:80"]/' | expect 'file.toml:5:1: not an IPv4 address with a port: host:80 (route_pool.servers)'
good | sed 's/servers = .*/servers = ["10.0.0.1:80", "10.0.0.1:80 a"]/' | expect 'stands there twice'
good | sed 's/servers = .*/&\ndraining = ["10.0.0.2:80"]/' | expect 'file.toml:6:1: no such server: 10.0.0.2:80 (route_pool.draining)'
good | sed 's/^pools/path = "~ ("\n&/' | expect 'file.toml:8:1: no regular expression: ('
good | sed 's/^pools/path = "x"\n&/' | expect 'file.toml:8:1: no path: x (route.path)'
good | sed 's/^pools/headers = ["X"]\n&/' | expect 'file.toml:8:1: neither a value nor an expression: X (route.headers)'
good | sed 's/^pools/hosts = ["a b"]\n&/' | expect 'file.toml:8:1: no host: a b (route.hosts)'
good | sed 's/^pools/redirect = "302 https:\/\/x\/"\n&/' | expect 'a route has pools or a redirect'
good | sed 's/^pools.*/redirect = "200 x"/' | expect 'file.toml:8:1: no redirect: 200 x (route.redirect)'
good | sed 's/^pools/timeout = "1s"\nserver_timeout = "2s"\n&/' | expect 'server_timeout exceeds timeout'
good | sed 's/^listen.*//' | expect 'without a cluster nothing says where to listen'
good | sed 's/^listen.*/cluster = "kubeconfig"/' | expect 'no kubeconfig is named'
good | sed 's/^listen.*/cluster = "kubeconfig"\nkubeconfig = "none"/' | expect '[[route_pool]] beside a cluster'
printf '[gateway]\ncluster = "kubeconfig"\nkubeconfig = "none"\n' | expect "file.toml:3:1: none can't be read"
printf '[gateway]\ncluster = "in_cluster"\n' | KUBERNETES_SERVICE_HOST= expect 'file.toml:2:1: KUBERNETES_SERVICE_HOST'
good | sed '1,2d' | expect '[[route_pool]] without [gateway]'

# Routes of resource files, without a cluster.
"$check" routes --resources "$resources" >out
grep -qF 'GET' out && exit 1
grep -qF '80 http book.donors.example /api[/...]  booking/slots rule 0  -> booking/booking:80 3/4, answered 500 1/4 [by method]' out
grep -qF 'booking/booking:80  10.0.0.2:8080 10.0.0.2:8080 (draining), 10.0.0.1:8080 booking-x in a' out
grep -qF 'HTTPRoute booking/slots at front: ResolvedRefs False BackendNotFound: spec.rules[0].backendRefs[1]: there is no Service booking/missing' out
"$check" routes --resources "$resources" --request 'GET http://book.donors.example/api/x' | grep -qF 'route booking/slots rule 0 match 0'
"$check" routes --resources "$resources" --request 'GET http://other.example/' | grep -qF 'answered 404: no listener has host other.example'
"$check" routes diff "$resources" "$resources"
sed 's/weight: 3/weight: 5/' "$resources/booking.yaml" >b.yaml
if "$check" routes diff "$resources" b.yaml >out; then echo "a difference was not reported"; exit 1; fi
grep -q '^+ 80 http book.donors.example .*5/6' out
printf 'a: [\n' >bad.yaml
if "$check" routes --resources bad.yaml >out 2>&1; then echo "accepted"; exit 1; fi
grep -qF 'bad.yaml: line' out
echo "errors are reported with their line"
