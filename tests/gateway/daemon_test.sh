#!/bin/sh
# The daemon: routes of its file, a reload, routes of a stand-in cluster, and shutdown.
# usage: daemon_test.sh BALANCER STANDIN_KUBE_API RESOURCES CONFIG
set -eu
balancer=$1 api=$2 resources=$3
folder=$(mktemp -d)
jobs=
trap 'for job in $jobs; do kill -9 "$job" 2>/dev/null || true; done; rm -rf "$folder"' EXIT
cd "$folder"
sed -E 's/"(listen|address)": *"[^"]*"/"\1": "127.0.0.1:0"/' "$4" >config.json
# wait_for TEXT FILE
wait_for() {
    tries=0
    until grep -qF -- "$1" "$2" 2>/dev/null; do
        tries=$((tries + 1))
        [ $tries -lt 600 ] || { echo "never: $1"; cat "$2"; exit 1; }
        sleep 0.05
    done
}
ask() { python3 - "$1" "$2" "$3" <<'EOP'
import http.client, sys
c = http.client.HTTPConnection(sys.argv[1], timeout=20)
c.request("GET", sys.argv[3], headers={"Host": sys.argv[2]})
r = c.getresponse()
print(r.status, r.read().decode().strip()[:60], r.getheader("Location") or "")
EOP
}
python3 - >backend <<'EOP' &
import http.server, sys
class H(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    def do_GET(self):
        body = b"served " + self.path.encode()
        self.send_response(200); self.send_header("Content-Length", str(len(body))); self.end_headers(); self.wfile.write(body)
    def log_message(self, *a): pass
s = http.server.ThreadingHTTPServer(("127.0.0.1", 0), H)
print("on 127.0.0.1:%d" % s.server_address[1], flush=True)
s.serve_forever()
EOP
jobs="$jobs $!"
wait_for on backend
backend=$(sed 's/on //' backend)

rows() {
    cat <<EOT
[drain]
keep_accepting = "0s"
[gateway]
listen = "127.0.0.1:0"
[[route_pool]]
name = "p"
servers = ["$backend"]
[[route]]
name = "r"
hosts = ["book.example"]
path = "/$1"
rewrite = "/in"
pools = ["p"]
[[route]]
name = "old"
path = "= /old"
redirect = "301 https://new.example/there"
EOT
}
rows api >operator.toml
NODE_CONFIG=config.json "$balancer" --operator operator.toml 2>log &
daemon=$!
jobs="$jobs $daemon"
wait_for 'gateway: listening on' log
at=$(sed -n 's/.*gateway: listening on \([0-9.:]*\).*/\1/p' log)
[ "$(ask "$at" book.example /api/x)" = "200 served /in/x " ] || { ask "$at" book.example /api/x; exit 1; }
[ "$(ask "$at" other.example /api/x)" = "404 no route " ]
ask "$at" any.example /old | grep -q '^301 .* https://new.example/there$'
rows v2 >operator.toml
kill -HUP $daemon
wait_for 'operator' log
tries=0
until [ "$(ask "$at" book.example /v2/x)" = "200 served /in/x " ]; do
    tries=$((tries + 1))
    [ $tries -lt 100 ] || { echo "the reload was not applied"; cat log; exit 1; }
done
[ "$(ask "$at" book.example /api/x)" = "404 no route " ]
kill -TERM $daemon
wait_for 'requests went to pools' log
wait $daemon

mkfifo out
"$api" "$resources"/*.yaml >out &
jobs="$jobs $!"
read -r _ _ address <out
cat >kubeconfig <<EOT
current-context: c
contexts: [{name: c, context: {cluster: c, user: u}}]
clusters: [{name: c, cluster: {server: "http://$address"}}]
users: [{name: u, user: {token: x}}]
EOT
cat >operator.toml <<EOT
[drain]
keep_accepting = "0s"
[gateway]
cluster = "kubeconfig"
kubeconfig = "kubeconfig"
bind_address = "127.0.0.1"
ports = ["80=0"]
public_addresses = ["192.0.2.1"]
EOT
NODE_CONFIG=config.json "$balancer" --operator operator.toml 2>log2 &
daemon=$!
jobs="$jobs $daemon"
wait_for 'gateway: listening on' log2
at=$(sed -n 's/.*gateway: listening on \([0-9.:]*\).*/\1/p' log2)
ask "$at" book.donors.example /x | grep -q '^500 '
ask "$at" book.donors.example /none | grep -q '^404 '
status() { python3 -c "import urllib.request;print(urllib.request.urlopen('http://$address/apis/gateway.networking.k8s.io/v1/namespaces/booking/$1').read().decode())"; }
tries=0
until status httproutes/slots | grep -q PartiallyInvalid && status gateways/front | grep -q '"192.0.2.1"'; do
    tries=$((tries + 1))
    [ $tries -lt 100 ] || { echo "no status"; cat log2; exit 1; }
done
kill -TERM $daemon
wait $daemon
echo "routes of the file and of a cluster are served"
