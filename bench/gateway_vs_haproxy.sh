#!/bin/sh
# Routing beside haproxy, in one run: both route by host and path to the same four backends (haproxy that answers by
# itself), one core each; wrk with 1, 16, 64 and 256 clients, in turns. Needs haproxy, wrk and four free cores.
# usage: gateway_vs_haproxy.sh BUILD [SECONDS] [ROUNDS]
set -eu
build=$(cd "$1" && pwd) seconds=${2:-3} rounds=${3:-3}
config=$(cd "$(dirname "$0")/../deploy/examples" && pwd)/config.json
folder=$(mktemp -d)
daemon=
trap 'kill $daemon $(cat "$folder"/*.pid) 2>/dev/null || true; rm -rf "$folder"' EXIT
cd "$folder"
defaults="defaults
  mode http
  timeout client 30s
  timeout server 30s
  timeout connect 5s"
cat >backends.cfg <<EOT
global
  nbthread 1
$defaults
frontend b
  bind 127.0.0.1:9101
  bind 127.0.0.1:9102
  bind 127.0.0.1:9103
  bind 127.0.0.1:9104
  http-request return status 200 content-type text/plain string "ok"
EOT
cat >peer.cfg <<EOT
global
  nbthread 1
$defaults
frontend f
  bind 127.0.0.1:9200
  use_backend p if { path_beg /api/ } { hdr(host) book.example }
backend p
  http-reuse always
  balance leastconn
  server a 127.0.0.1:9101
  server b 127.0.0.1:9102
  server c 127.0.0.1:9103
  server d 127.0.0.1:9104
EOT
cat >operator.toml <<EOT
[gateway]
listen = "127.0.0.1:9300"
[[route_pool]]
name = "p"
servers = ["127.0.0.1:9101", "127.0.0.1:9102", "127.0.0.1:9103", "127.0.0.1:9104"]
[[route]]
name = "r"
hosts = ["book.example"]
path = "/api"
pools = ["p"]
effect = "by_method"
EOT
sed -E 's/"(listen|address)": *"[^"]*"/"\1": "127.0.0.1:0"/' "$config" >config.json
taskset -c 0 haproxy -f backends.cfg -D -p "$folder/backends.pid"
taskset -c 1 haproxy -f peer.cfg -D -p "$folder/peer.pid"
NODE_CONFIG=config.json taskset -c 2 "$build/flaxdoor_balancer" --operator operator.toml 2>log &
daemon=$!
until grep -q 'gateway: listening' log; do sleep 0.1; done
for clients in 1 16 64 256; do
    for round in $(seq "$rounds"); do
        for port in 9200 9300; do
            name=haproxy
            [ $port = 9200 ] || name=ours
            taskset -c 3 wrk -t 1 -c "$clients" -d "$seconds" -H 'Host: book.example' --latency "http://127.0.0.1:$port/api/x" >out
            echo "$clients clients, round $round, $name: $(grep -E ' 50%| 99%|Requests/sec|Non-2xx' out | tr -s ' \n' ' ')"
        done
    done
done
