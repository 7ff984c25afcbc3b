#include "extensions/postgres.h"

#include <fstream>
#include <random>

#include "extensions/rows.h"
#include "log/events.h"
#include "settings/tables/postgres.h"

namespace flaxdoor::extensions {

namespace {

namespace keys = settings::postgres;
using settings::Row;

constexpr std::size_t max_password_bytes = 1000;

// Derives the id of a server from the name that the operator chose, so that a name keeps its id over a
// reload. The hash is 64-bit FNV-1a.
UpstreamId id_of(std::string_view name) {
    std::uint64_t hash = 14695981039346656037ull;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
    return hash;
}

std::string random_salt() {
    std::random_device device;
    std::string salt(16, '\0');
    for (char& c : salt) c = static_cast<char>(device());
    return salt;
}

class OptionsBuilder {
public:
    OptionsBuilder(const settings::Values& values, std::uint64_t seed) : values_(values) {
        options_.seed = seed;
    }

    std::variant<pg::ServiceOptions, settings::Faults> build() {
        const Row& postgres_row = values_.row("postgres");
        const auto address = postgres_row.get(keys::listen);
        set_endpoint(faults_, options_.listen, address, postgres_row, "listen");
        options_.logins_at_once = count_of(postgres_row, keys::logins_at_once);
        options_.max_servers = count_of(postgres_row, keys::max_server_connections);
        build_front(postgres_row);
        for (const Row& row : values_.rows("postgres_user")) add_user(row);
        for (const Row& row : values_.rows("postgres_database")) add_database(postgres_row, row);
        if (!faults_.empty()) return std::move(faults_);
        return std::move(options_);
    }

private:
    void fault(const Row& row, std::string_view key, const std::string& what, const std::string& remedy) {
        add_fault(faults_, row, key, what, remedy);
    }

    void build_front(const Row& postgres_row) {
        pg::ListenerOptions& front = options_.front;
        front.limits.clients = count_of(postgres_row, keys::max_clients);
        front.limits.strangers = count_of(postgres_row, keys::max_strangers);
        front.limits.login = postgres_row.get(keys::login_timeout);
        front.limits.message = postgres_row.get(keys::message_timeout);
        front.limits.idle_transaction = postgres_row.get(keys::idle_transaction_timeout);
        front.limits.max_message = postgres_row.get(keys::max_message).count;
        for (const auto& name : postgres_row.get(keys::ignore_settings)) front.ignored_settings.insert(name);
        for (const auto& name : postgres_row.get(keys::safe_applications))
            front.safe_applications.insert(name);
        front.client_says_safe = postgres_row.get(keys::client_says_safe);
        has_safe_units_ = front.client_says_safe || !front.safe_applications.empty();
        for (const auto& [table, key] : {std::pair("postgres_user", keys::user_effect),
                                         std::pair("postgres_database", keys::database_effect)}) {
            for (const Row& row : values_.rows(table)) has_safe_units_ |= row.get(key) == keys::Effect::safe;
        }
        if (postgres_row.get(keys::tls) == keys::Tls::off) return;
        front.tls_required = postgres_row.get(keys::tls) == keys::Tls::require;
        const std::string certificate = postgres_row.get(keys::certificate)->text;
        try {
            front.context =
                tls::Context::for_clients(certificate, postgres_row.get(keys::certificate_key)->text);
        } catch (const tls::Error& error) {
            fault(postgres_row, error.file == certificate ? "certificate" : "certificate_key", error.what(),
                  "name a PEM file that this program may read");
        }
    }

    void add_user(const Row& row) {
        pg::ListenerUser user;
        user.max_clients = count_of(row, keys::user_clients);
        user.safe = row.get(keys::user_effect) == keys::Effect::safe;
        user.kind = row.get(keys::auth) == keys::Auth::trust ? pg::Authentication::Kind::trust
                                                             : pg::Authentication::Kind::scram;
        if (const auto file = row.get(keys::password_file)) {
            std::ifstream stream(file->text);
            std::string password;
            if (!stream || !std::getline(stream, password)) {
                fault(row, "password_file", "no password can be read from " + file->text,
                      "name a file that this program may read, with the password in its first line");
                return;
            }
            if (!password.empty() && password.back() == '\r') password.pop_back();
            if (password.empty() || password.size() > max_password_bytes) {
                fault(row, "password_file", "the password is empty or too long",
                      "write 1 to 1000 bytes in the first line");
                return;
            }
            if (user.kind == pg::Authentication::Kind::scram)
                user.verifier = pg::make_verifier(password, random_salt(), pg::scram_iterations);
            options_.secrets[row.label()].password = password;
        }
        options_.front.users[row.label()] = std::move(user);
    }

    void add_database(const Row& postgres_row, const Row& row) {
        pg::DatabaseOptions database;
        database.name = row.label();
        database.settings = pool_settings(postgres_row, row);
        database.back = back_options(postgres_row, row);
        pg::ListenerDatabase& front = database.front;
        front.session.mode =
            row.get(keys::mode) == keys::Mode::session ? pg::Mode::session : pg::Mode::transaction;
        front.session.unreported = row.get(keys::unreported) == keys::Unreported::refuse
                                       ? pg::Unreported::refuse
                                       : pg::Unreported::pin;
        front.session.deadline = front.deadline = row.get(keys::deadline);
        front.max_clients = count_of(row, keys::database_clients);
        front.line = count_of(row, keys::line);
        front.line_wait = row.get(keys::line_timeout);
        front.safe = row.get(keys::database_effect) == keys::Effect::safe;
        for (const std::string& name : row.get(keys::servers)) add_member(name, database);
        options_.databases.push_back(std::move(database));
    }

    void add_member(const std::string& name, pg::DatabaseOptions& database) {
        for (const Row& server : values_.rows("postgres_server")) {
            if (server.label() != name) continue;
            loop::tcp::endpoint endpoint;
            set_endpoint(faults_, endpoint, server.get(keys::server_address), server, "address");
            core::Member member;
            member.name = name;
            member.address = loop::text_of(endpoint);
            member.entry.id = id_of(name);
            member.entry.zone = static_cast<int>(server.get(keys::server_zone));
            member.entry.restored.emplace().concurrency_limit = database.settings.min_in_flight_per_upstream;
            const bool drains = server.get(keys::server_drain);
            member.entry.state = drains ? UpstreamState::draining : UpstreamState::ready;
            if (const auto tls_name = server.get(keys::server_tls_name))
                database.back.names[member.entry.id] = *tls_name;
            database.settings.zones = std::max(database.settings.zones, member.entry.zone + 1);
            database.members.push_back(std::move(member));
            return;
        }
    }

    Settings pool_settings(const Row& postgres_row, const Row& row) {
        Settings settings;
        settings.zone = static_cast<int>(postgres_row.get(keys::zone));
        settings.zones = settings.zone + 1;
        settings.max_attempts = static_cast<int>(row.get(keys::attempts));
        settings.connect_timeout = row.get(keys::connect_timeout);
        settings.retry_after = true;
        settings.max_retry_after = std::chrono::minutes(1);
        settings.may_cancel = true;
        // The operator states how many connections a server accepts at once.
        settings.min_in_flight_per_upstream = static_cast<double>(row.get(keys::pool_size));
        ClassSettings unit;
        unit.name = "unsafe";
        unit.aim = row.get(keys::aim);
        unit.deadline = row.get(keys::deadline);
        unit.effect = Effect::unsafe;
        unit.streams = true;
        settings.classes.push_back(unit);
        // The class "safe" is added only if it can be used: the decision module assumes the worst of a class
        // without any results and ejects servers for longer.
        if (!has_safe_units_) return settings;
        unit.name = "safe";
        unit.effect = Effect::safe;
        settings.classes.push_back(unit);
        return settings;
    }

    pg::ServerConnectionPoolOptions back_options(const Row& postgres_row, const Row& row) {
        pg::ServerConnectionPoolOptions back;
        back.database = row.get(keys::server_side_database).value_or(row.label());
        switch (row.get(keys::role)) {
            case keys::Role::any: back.role = pg::Role::any; break;
            case keys::Role::primary: back.role = pg::Role::primary; break;
            case keys::Role::replica: back.role = pg::Role::replica; break;
        }
        back.pool.connections = count_of(row, keys::pool_size);
        back.latency_floor = core::latency_floor(row.get(keys::aim), back.pool.connections);
        back.pool.line = count_of(row, keys::line);
        back.pool.wait = row.get(keys::line_timeout);
        back.pool.idle = row.get(keys::idle_timeout);
        back.pool.age = row.get(keys::max_age);
        back.login_limit = std::min(postgres_row.get(keys::login_timeout), row.get(keys::connect_timeout));
        back.cancel_limit = row.get(keys::cancel_timeout);
        back.drain_limit = row.get(keys::drain_timeout);
        back.max_prepared = count_of(row, keys::prepared_statements);
        back.max_message = postgres_row.get(keys::max_message).count;
        if (row.get(keys::server_tls) == keys::ServerTls::off) return back;
        const bool verify = row.get(keys::server_tls) == keys::ServerTls::verify_full;
        back.tls = verify ? pg::ServerOptions::Tls::verify_full : pg::ServerOptions::Tls::prefer;
        const auto authorities = row.get(keys::authorities);
        try {
            back.context = tls::Context::for_servers(authorities ? authorities->text : "");
        } catch (const tls::Error& error) {
            fault(row, "authorities", error.what(), "name a PEM file that this program may read");
        }
        return back;
    }

    const settings::Values& values_;
    pg::ServiceOptions options_;
    settings::Faults faults_;
    bool has_safe_units_ = false;
};

}  // namespace

std::variant<pg::ServiceOptions, settings::Faults> postgres_options(const settings::Values& values,
                                                                    std::uint64_t seed) {
    return OptionsBuilder(values, seed).build();
}

namespace {

class Postgres final : public engine::Extension {
public:
    explicit Postgres(const engine::ExtensionContext& world) : log_(world.log), seed_(world.seed) {
        auto options = postgres_options(world.operator_settings, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options))
            throw std::invalid_argument(faults->text("operator's file"));
        service_.emplace(world.executor, world.core, world.clock,
                         std::move(std::get<pg::ServiceOptions>(options)), world.memory);
        log_.write(log::events::postgres_listening, loop::text_of(service_->address()));
    }

    bool apply_settings(const settings::Values& operators) override {
        auto options = postgres_options(operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options)) {
            const auto& first = faults->first().front();
            log_.write(log::events::postgres_kept, settings::line_of("operator's file", first));
            return false;
        }
        service_->change(std::move(std::get<pg::ServiceOptions>(options)));
        return true;
    }

    void begin_drain() override { service_->begin_drain(); }
    void stop() override {
        service_->stop();
        log_.write(log::events::postgres_ended, service_->figures().units);
    }
    Micros longest_deadline() const override { return service_->longest_deadline(); }

private:
    core::Log& log_;
    const std::uint64_t seed_;
    std::optional<pg::Service> service_;
};

}  // namespace

engine::ExtensionFactory postgres() {
    return {"postgres",
            [](const engine::ExtensionContext& world) { return std::make_unique<Postgres>(world); }};
}

}  // namespace flaxdoor::extensions
