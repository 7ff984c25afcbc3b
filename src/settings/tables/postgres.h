// [postgres], [[postgres_server]], [[postgres_database]] and [[postgres_user]]: a listener for PostgreSQL's
// protocol and its servers, databases and users. Off unless the file has [postgres].
#pragma once

#include <array>

#include "settings/schema.h"

namespace flaxdoor::settings::postgres {

enum class Tls { off, offer, require };
inline constexpr std::array<std::string_view, 3> tls_words{"off", "offer", "require"};
enum class ServerTls { off, prefer, verify_full };
inline constexpr std::array<std::string_view, 3> server_tls_words{"off", "prefer", "verify_full"};
enum class Role { any, primary, replica };
inline constexpr std::array<std::string_view, 3> role_words{"any", "primary", "replica"};
enum class Mode { transaction, session };
inline constexpr std::array<std::string_view, 2> mode_words{"transaction", "session"};
enum class Unreported { pin, refuse };
inline constexpr std::array<std::string_view, 2> unreported_words{"pin", "refuse"};
enum class Effect { unsafe, safe };
inline constexpr std::array<std::string_view, 2> effect_words{"unsafe", "safe"};
enum class Auth { scram, trust };
inline constexpr std::array<std::string_view, 2> auth_words{"scram", "trust"};
inline constexpr std::array<std::string_view, 1> default_ignored_settings{"extra_float_digits"};

// ---------------------------------------------------------------------------------------------- [postgres]

inline constexpr Key<Address> listen{{.table = "postgres",
                                      .name = "listen",
                                      .least = 0,
                                      .takes = Takes::restart,
                                      .meaning = "Where clients connect; port 0: any that is free."}};

inline constexpr Key<Tls> tls{{.table = "postgres",
                               .name = "tls",
                               .fallback = Tls::off,
                               .words = tls_words,
                               .takes = Takes::reload,
                               .meaning = "Whether clients may, or have to, speak TLS."}};

inline constexpr OptionalKey<Path> certificate{
    {.table = "postgres",
     .name = "certificate",
     .takes = Takes::reload,
     .meaning = "The certificate that clients are shown, with its chain, in PEM."}};

inline constexpr OptionalKey<Path> certificate_key{{.table = "postgres",
                                                    .name = "certificate_key",
                                                    .takes = Takes::reload,
                                                    .meaning = "The certificate's private key, in PEM."}};

inline constexpr Key<std::int64_t> max_clients{{.table = "postgres",
                                                .name = "max_clients",
                                                .fallback = 1000,
                                                .least = 1,
                                                .most = 1'000'000,
                                                .unit = "clients",
                                                .takes = Takes::reload,
                                                .meaning = "How many clients may be logged in at once."}};

inline constexpr Key<std::int64_t> max_strangers{
    {.table = "postgres",
     .name = "max_strangers",
     .fallback = 100,
     .least = 1,
     .most = 1'000'000,
     .unit = "connections",
     .takes = Takes::reload,
     .meaning = "How many connections may be open that have not logged in; beyond it the oldest is closed."}};

inline constexpr Key<Micros> login_timeout{
    {.table = "postgres",
     .name = "login_timeout",
     .fallback = std::chrono::seconds(10),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::minutes(10),
     .takes = Takes::reload,
     .meaning = "How long a login may take, of a client here and of ours at a server."}};

inline constexpr Key<Micros> message_timeout{
    {.table = "postgres",
     .name = "message_timeout",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "How long a client may take from a message's first byte to its last."}};

inline constexpr Key<Micros> idle_transaction_timeout{
    {.table = "postgres",
     .name = "idle_transaction_timeout",
     .fallback = std::chrono::minutes(10),
     .least = std::chrono::milliseconds(0),
     .takes = Takes::reload,
     .meaning = "How long a client may leave a transaction open without a word; 0: as long as it likes."}};

inline constexpr Key<Bytes> max_message{
    {.table = "postgres",
     .name = "max_message",
     .fallback = mebibytes(16),
     .least = kibibytes(16),
     .takes = Takes::restart,
     .meaning =
         "The longest message that is held whole; rows and COPY data are not held, and may be longer."}};

inline constexpr Key<std::int64_t> logins_at_once{
    {.table = "postgres",
     .name = "logins_at_once",
     .fallback = 4,
     .least = 1,
     .most = 10'000,
     .unit = "logins",
     .takes = Takes::reload,
     .meaning = "How many logins may be under way at one address, over all databases."}};

inline constexpr Key<std::int64_t> max_server_connections{
    {.table = "postgres",
     .name = "max_server_connections",
     .fallback = 1000,
     .least = 1,
     .most = 1'000'000,
     .unit = "connections",
     .takes = Takes::reload,
     .meaning = "How many connections to servers may be open, cancel requests among them."}};

inline constexpr Key<std::vector<std::string>> ignore_settings{
    {.table = "postgres",
     .name = "ignore_settings",
     .fallback = default_ignored_settings,
     .takes = Takes::reload,
     .meaning = "Settings in a client's start-up packet that are dropped."}};

inline constexpr Key<std::vector<std::string>> safe_applications{
    {.table = "postgres",
     .name = "safe_applications",
     .fallback = std::span<const std::string_view>(),
     .takes = Takes::reload,
     .meaning = "Application names, as of the start-up packet, whose units may be repeated."}};

inline constexpr Key<bool> client_says_safe{
    {.table = "postgres",
     .name = "client_says_safe",
     .fallback = false,
     .takes = Takes::reload,
     .meaning = "Whether a client may say by the start-up setting flaxdoor.effect=safe that its units may be "
                "repeated."}};

inline constexpr Key<std::int64_t> zone{{.table = "postgres",
                                         .name = "zone",
                                         .fallback = 0,
                                         .most = 255,
                                         .unit = "zone",
                                         .takes = Takes::restart,
                                         .meaning = "The zone of this balancer."}};

// --------------------------------------------------------------------------------------- [[postgres_server]]

inline constexpr Key<std::string> server_name{{.table = "postgres_server",
                                               .name = "name",
                                               .most = 63,
                                               .takes = Takes::reload,
                                               .meaning = "What the server is called in this file."}};

inline constexpr Key<Address> server_address{{.table = "postgres_server",
                                              .name = "address",
                                              .takes = Takes::reload,
                                              .meaning = "Where it listens; an IPv4 address."}};

inline constexpr Key<std::int64_t> server_zone{{.table = "postgres_server",
                                                .name = "zone",
                                                .fallback = 0,
                                                .most = 255,
                                                .unit = "zone",
                                                .takes = Takes::reload,
                                                .meaning = "Its zone."}};

inline constexpr Key<bool> server_drain{
    {.table = "postgres_server",
     .name = "drain",
     .fallback = false,
     .takes = Takes::reload,
     .meaning = "It gets no new transaction; what is open goes on until `drain_timeout`."}};

inline constexpr OptionalKey<std::string> server_tls_name{
    {.table = "postgres_server",
     .name = "tls_name",
     .most = 253,
     .takes = Takes::reload,
     .meaning = "The name that its certificate must have; without it the address."}};

// ------------------------------------------------------------------------------------- [[postgres_database]]

inline constexpr Key<std::string> database_name{{.table = "postgres_database",
                                                 .name = "name",
                                                 .most = 63,
                                                 .takes = Takes::restart,
                                                 .meaning = "The name by which clients ask for it."}};

inline constexpr OptionalKey<std::string> server_side_database{
    {.table = "postgres_database",
     .name = "database",
     .most = 63,
     .takes = Takes::reload,
     .meaning = "Its name at the servers; without it the same."}};

inline constexpr Key<std::vector<std::string>> servers{
    {.table = "postgres_database",
     .name = "servers",
     .least = 1,
     .takes = Takes::reload,
     .meaning = "The names of its servers, each a row of its own."}};

inline constexpr Key<Role> role{
    {.table = "postgres_database",
     .name = "role",
     .fallback = Role::any,
     .words = role_words,
     .takes = Takes::reload,
     .meaning = "Which of them serve it: what a server is, it says itself (in_hot_standby)."}};

inline constexpr Key<Mode> mode{{.table = "postgres_database",
                                 .name = "mode",
                                 .fallback = Mode::transaction,
                                 .words = mode_words,
                                 .takes = Takes::reload,
                                 .meaning = "How long a server's connection is one client's."}};

inline constexpr Key<Unreported> unreported{
    {.table = "postgres_database",
     .name = "unreported",
     .fallback = Unreported::pin,
     .words = unreported_words,
     .takes = Takes::reload,
     .meaning = "What comes of a statement that leaves something in its session, in transaction mode: the "
                "client keeps the connection, or the statement is refused."}};

inline constexpr Key<Micros> aim{
    {.table = "postgres_database",
     .name = "aim",
     .fallback = std::chrono::seconds(2),
     .least = std::chrono::milliseconds(1),
     .most = std::chrono::hours(1),
     .takes = Takes::reload,
     .meaning = "The time in which the answer of a unit is wanted to begin, of the slowest that are usual."}};

inline constexpr Key<Micros> deadline{
    {.table = "postgres_database",
     .name = "deadline",
     .fallback = std::chrono::seconds(30),
     .least = std::chrono::milliseconds(10),
     .takes = Takes::reload,
     .meaning = "How long a unit may take, its wait for a connection within; then it is cancelled (57014)."}};

inline constexpr Key<Effect> database_effect{
    {.table = "postgres_database",
     .name = "effect",
     .fallback = Effect::unsafe,
     .words = effect_words,
     .takes = Takes::reload,
     .meaning = "Whether all that is sent there may be repeated; never guessed from the text."}};

inline constexpr Key<std::int64_t> attempts{{.table = "postgres_database",
                                             .name = "attempts",
                                             .fallback = 3,
                                             .least = 1,
                                             .most = 16,
                                             .unit = "attempts",
                                             .takes = Takes::reload,
                                             .meaning = "How often a unit may be sent, at most."}};

inline constexpr Key<std::int64_t> pool_size{
    {.table = "postgres_database",
     .name = "pool_size",
     .fallback = 20,
     .least = 1,
     .most = 10'000,
     .unit = "connections",
     .takes = Takes::reload,
     .meaning = "How many connections may be open to one server for one user."}};

inline constexpr Key<std::int64_t> line{{.table = "postgres_database",
                                         .name = "line",
                                         .fallback = 1000,
                                         .least = 1,
                                         .most = 1'000'000,
                                         .unit = "units",
                                         .takes = Takes::reload,
                                         .meaning = "How many units may wait until there is room."}};

inline constexpr Key<Micros> line_timeout{{.table = "postgres_database",
                                           .name = "line_timeout",
                                           .fallback = std::chrono::seconds(10),
                                           .least = std::chrono::milliseconds(1),
                                           .most = std::chrono::hours(1),
                                           .takes = Takes::reload,
                                           .meaning = "How long a unit may wait for room."}};

inline constexpr Key<Micros> idle_timeout{
    {.table = "postgres_database",
     .name = "idle_timeout",
     .fallback = std::chrono::minutes(10),
     .least = std::chrono::milliseconds(10),
     .takes = Takes::reload,
     .meaning = "After so long an idle connection to a server is closed."}};

inline constexpr Key<Micros> max_age{
    {.table = "postgres_database",
     .name = "max_age",
     .fallback = std::chrono::hours(1),
     .least = std::chrono::seconds(1),
     .takes = Takes::reload,
     .meaning = "Beyond this age a connection to a server is closed when it becomes idle."}};

inline constexpr Key<std::int64_t> database_clients{
    {.table = "postgres_database",
     .name = "max_clients",
     .fallback = 0,
     .most = 1'000'000,
     .unit = "clients",
     .takes = Takes::reload,
     .meaning = "How many clients may be logged in to it; 0: as many as there may be at all."}};

inline constexpr Key<Micros> drain_timeout{
    {.table = "postgres_database",
     .name = "drain_timeout",
     .fallback = std::chrono::minutes(1),
     .least = std::chrono::milliseconds(0),
     .most = std::chrono::hours(24),
     .takes = Takes::reload,
     .meaning = "How long what is open at a server that drains may go on; then it is ended (57P01)."}};

inline constexpr Key<Micros> cancel_timeout{
    {.table = "postgres_database",
     .name = "cancel_timeout",
     .fallback = std::chrono::seconds(5),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::minutes(10),
     .takes = Takes::reload,
     .meaning = "How long a server may take to stop what it was told to; then its connection is closed."}};

inline constexpr Key<Micros> connect_timeout{
    {.table = "postgres_database",
     .name = "connect_timeout",
     .fallback = std::chrono::seconds(2),
     .least = std::chrono::milliseconds(10),
     .most = std::chrono::minutes(1),
     .takes = Takes::reload,
     .meaning = "How long a server may take to be reached and to let us in."}};

inline constexpr Key<ServerTls> server_tls{
    {.table = "postgres_database",
     .name = "server_tls",
     .fallback = ServerTls::off,
     .words = server_tls_words,
     .takes = Takes::reload,
     .meaning = "TLS towards its servers: not at all; if they have it, unverified; or verified in chain and "
                "name, or not at all."}};

inline constexpr OptionalKey<Path> authorities{
    {.table = "postgres_database",
     .name = "authorities",
     .takes = Takes::reload,
     .meaning = "The authorities that their certificates must come from, in PEM; without it the system's."}};

inline constexpr Key<std::int64_t> prepared_statements{
    {.table = "postgres_database",
     .name = "prepared_statements",
     .fallback = 200,
     .least = 1,
     .most = 100'000,
     .unit = "statements",
     .takes = Takes::reload,
     .meaning = "How many prepared statements are kept on one connection to a server."}};

// ----------------------------------------------------------------------------------------- [[postgres_user]]

inline constexpr Key<std::string> user_name{{.table = "postgres_user",
                                             .name = "name",
                                             .most = 63,
                                             .takes = Takes::reload,
                                             .meaning = "The user's name, here and at the servers."}};

inline constexpr Key<Auth> auth{{.table = "postgres_user",
                                 .name = "auth",
                                 .fallback = Auth::scram,
                                 .words = auth_words,
                                 .takes = Takes::reload,
                                 .meaning = "How clients of this name show who they are."}};

inline constexpr OptionalKey<Path> password_file{
    {.table = "postgres_user",
     .name = "password_file",
     .takes = Takes::reload,
     .meaning = "A file whose first line is the password, for clients here and for us at the servers."}};

inline constexpr Key<std::int64_t> user_clients{
    {.table = "postgres_user",
     .name = "max_clients",
     .fallback = 0,
     .most = 1'000'000,
     .unit = "clients",
     .takes = Takes::reload,
     .meaning = "How many clients of this name may be logged in; 0: as many as there may be at all."}};

inline constexpr Key<Effect> user_effect{{.table = "postgres_user",
                                          .name = "effect",
                                          .fallback = Effect::unsafe,
                                          .words = effect_words,
                                          .takes = Takes::reload,
                                          .meaning = "Whether all that this user sends may be repeated."}};

Table table();
Table server_table();
Table database_table();
Table user_table();
std::vector<SchemaCheck> checks();

}  // namespace flaxdoor::settings::postgres
