#include "settings/tables/postgres.h"

#include <algorithm>

#include "settings/values.h"

namespace flaxdoor::settings::postgres {

namespace {

std::optional<Objection> check_tls_files(const Row& row) {
    if (row.get(tls) == Tls::off || (row.get(certificate) && row.get(certificate_key))) return std::nullopt;
    return Objection{"TLS needs a certificate and its key", "set certificate and certificate_key"};
}

std::optional<Objection> check_password_file(const Row& row) {
    if (row.get(auth) != Auth::scram || row.get(password_file)) return std::nullopt;
    return Objection{"scram needs a password", "set password_file, or auth = \"trust\""};
}

std::optional<Objection> check_aim(const Row& row) {
    if (row.get(aim) <= row.get(deadline)) return std::nullopt;
    return Objection{"aim exceeds deadline", "lower aim or raise deadline"};
}

std::optional<Objection> check_authorities(const Row& row) {
    if (!row.get(authorities) || row.get(server_tls) == ServerTls::verify_full) return std::nullopt;
    return Objection{"authorities are not used", "set server_tls = \"verify_full\""};
}

Position place_of(const Row& row, std::string_view key) {
    const Row::Slot& slot = row.slots()[row.table().index_of(key)];
    return slot.given ? slot.key : row.place();
}

std::optional<Objection> check_servers_exist(const Values& values) {
    const auto& known = values.rows("postgres_server");
    for (const Row& database : values.rows("postgres_database")) {
        for (const std::string& name : database.get(servers)) {
            const bool found = std::any_of(known.begin(), known.end(),
                                           [&](const Row& each) { return each.label() == name; });
            if (!found)
                return Objection{"no such server: " + name, "add a [[postgres_server]] of that name",
                                 place_of(database, "servers")};
        }
    }
    return std::nullopt;
}

std::optional<Objection> check_pool_sizes(const Values& values) {
    if (!values.given("postgres")) return std::nullopt;
    const auto most = values.row("postgres").get(max_server_connections);
    for (const Row& database : values.rows("postgres_database")) {
        if (database.get(pool_size) <= most) continue;
        return Objection{"pool_size exceeds postgres.max_server_connections",
                         "lower pool_size or raise max_server_connections", place_of(database, "pool_size")};
    }
    return std::nullopt;
}

std::optional<Objection> check_postgres_table(const Values& values) {
    if (values.given("postgres")) return std::nullopt;
    for (const char* table : {"postgres_server", "postgres_database", "postgres_user"}) {
        const auto& rows = values.rows(table);
        if (!rows.empty())
            return Objection{std::string("[[") + table + "]] without [postgres]",
                             "add [postgres] with listen", rows.front().place()};
    }
    return std::nullopt;
}

}  // namespace

Table table() {
    return {.name = "postgres",
            .kind = Kind::optional,
            .meaning = "A listener for PostgreSQL's protocol, in front of the databases below.",
            .settings = {listen, tls, certificate, certificate_key, max_clients, max_strangers, login_timeout,
                         message_timeout, idle_transaction_timeout, max_message, logins_at_once,
                         max_server_connections, ignore_settings, safe_applications, client_says_safe, zone},
            .checks = {{{"tls", "certificate", "certificate_key"},
                        "With TLS, a certificate and its key are given.",
                        check_tls_files}}};
}

Table server_table() {
    return {.name = "postgres_server",
            .kind = Kind::many,
            .meaning = "A server of PostgreSQL.",
            .settings = {server_name, server_address, server_zone, server_drain, server_tls_name},
            .presence_takes = Takes::reload,
            .unique = "name"};
}

Table database_table() {
    return {.name = "postgres_database",
            .kind = Kind::many,
            .meaning = "A database, with the servers that have it.",
            .settings = {database_name,
                         server_side_database,
                         servers,
                         role,
                         mode,
                         unreported,
                         aim,
                         deadline,
                         database_effect,
                         attempts,
                         pool_size,
                         line,
                         line_timeout,
                         idle_timeout,
                         max_age,
                         database_clients,
                         drain_timeout,
                         cancel_timeout,
                         connect_timeout,
                         server_tls,
                         authorities,
                         prepared_statements},
            .checks = {{{"aim", "deadline"}, "`aim` does not exceed `deadline`.", check_aim},
                       {{"authorities", "server_tls"},
                        "Authorities are given where servers are verified.",
                        check_authorities}},
            .unique = "name"};
}

Table user_table() {
    return {.name = "postgres_user",
            .kind = Kind::many,
            .meaning = "A user of databases: who is not listed is not let in.",
            .settings = {user_name, auth, password_file, user_clients, user_effect},
            .checks = {{{"auth", "password_file"}, "With scram, a password is given.", check_password_file}},
            .presence_takes = Takes::reload,
            .unique = "name"};
}

std::vector<SchemaCheck> checks() {
    return {{{"postgres_database.servers", "postgres_server.name"},
             "The servers of a database are rows of [[postgres_server]].",
             check_servers_exist},
            {{"postgres_database.pool_size", "postgres.max_server_connections"},
             "No database's `pool_size` exceeds `postgres.max_server_connections`.",
             check_pool_sizes},
            {{"postgres_server.name", "postgres_database.name", "postgres_user.name"},
             "Rows of PostgreSQL's go with the table [postgres].",
             check_postgres_table}};
}

}  // namespace flaxdoor::settings::postgres
