#!/bin/sh
# Checks that `flaxdoor check` reports mistakes in the settings with their line and key.
# Usage: check_test.sh FLAXDOOR
set -eu
. "$(dirname "$0")/../expect.sh"
check=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"

good() {
    cat <<EOT
[postgres]
listen = "127.0.0.1:6432"
[[postgres_server]]
name = "a"
address = "127.0.0.1:5432"
[[postgres_database]]
name = "d"
servers = ["a"]
[[postgres_user]]
name = "u"
auth = "trust"
EOT
}

good >good.toml
"$check" check good.toml >/dev/null
good | sed 's/servers = .*/servers = ["a", "b"]/' | expect 'file.toml:8:1: no such server: b (postgres_database.servers)'
good | sed 's/name = "u"/name = "u"\npassword_file = "none"/' | expect 'file.toml:11:1: no password can be read from none (postgres_user.password_file)'
: >empty
good | sed 's/name = "u"/name = "u"\npassword_file = "empty"/' | expect 'file.toml:11:1: no password can be read from empty'
good | sed 's/auth = "trust"//' | expect 'scram needs a password (postgres_user'
good | sed 's/^listen.*/&\ntls = "require"/' | expect 'file.toml:3:1: TLS needs a certificate and its key (postgres.tls)'
good | sed 's/^listen.*/&\ntls = "offer"\ncertificate = "no.crt"\ncertificate_key = "no.key"/' |
    expect 'file.toml:4:1: no certificate can be read'
good | sed 's/^servers.*/&\nserver_tls = "verify_full"\nauthorities = "no.pem"/' | expect 'file.toml:10:1: no authorities can be read'
good | sed 's/^servers.*/&\nauthorities = "no.pem"/' | expect 'file.toml:9:1: authorities are not used (postgres_database.authorities)'
good | sed 's/^servers.*/&\naim = "1m"/' | expect 'file.toml:9:1: aim exceeds deadline (postgres_database.aim)'
good | sed 's/^servers.*/&\npool_size = 5000/' | expect 'file.toml:9:1: pool_size exceeds postgres.max_server_connections'
good | sed 's/^address.*/address = "db.example:5432"/' | expect 'file.toml:5:1: not an IPv4 address: db.example (postgres_server.address)'
good | sed '1,2d' | expect '[[postgres_server]] without [postgres]'
good | sed 's/^servers/server/' | expect 'did you mean servers?'
echo "each mistake is reported with its line"
