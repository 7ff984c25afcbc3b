#include "sides/postgres.h"

#include <fstream>
#include <random>

#include "log/events.h"
#include "settings/tables/postgres.h"
#include "sides/rows.h"

namespace flaxdoor::sides {

namespace {

namespace keys = settings::postgres;
using settings::Row;

constexpr std::size_t password_most = 1000;

// Names are chosen by the operator, and must stand for the same server after a reload: FNV-1a, 64 bits.
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

class Making {
public:
    Making(const settings::Values& values, std::uint64_t seed) : values_(values) { options_.seed = seed; }

    std::variant<pg::ServiceOptions, settings::Faults> make() {
        const Row& main = values_.row("postgres");
        const auto address = main.get(keys::listen);
        set_endpoint(faults_, options_.listen, address, main, "listen");
        options_.logins_at_once = count_of(main, keys::logins_at_once);
        options_.servers_most = count_of(main, keys::max_server_connections);
        make_front(main);
        for (const Row& row : values_.rows("postgres_user")) add_user(row);
        for (const Row& row : values_.rows("postgres_database")) add_database(main, row);
        if (!faults_.empty()) return std::move(faults_);
        return std::move(options_);
    }

private:
    void fault(const Row& row, std::string_view key, const std::string& what, const std::string& mend) {
        add_fault(faults_, row, key, what, mend);
    }

    void make_front(const Row& main) {
        pg::FrontOptions& front = options_.front;
        front.limits.clients = count_of(main, keys::max_clients);
        front.limits.strangers = count_of(main, keys::max_strangers);
        front.limits.login = main.get(keys::login_timeout);
        front.limits.message = main.get(keys::message_timeout);
        front.limits.idle_transaction = main.get(keys::idle_transaction_timeout);
        front.limits.message_most = main.get(keys::max_message).count;
        for (const auto& name : main.get(keys::ignore_settings)) front.ignored_settings.insert(name);
        for (const auto& name : main.get(keys::safe_applications)) front.safe_applications.insert(name);
        front.client_says_safe = main.get(keys::client_says_safe);
        some_are_safe_ = front.client_says_safe || !front.safe_applications.empty();
        for (const auto& [table, key] : {std::pair("postgres_user", keys::user_effect),
                                         std::pair("postgres_database", keys::database_effect)}) {
            for (const Row& row : values_.rows(table)) some_are_safe_ |= row.get(key) == keys::Effect::safe;
        }
        if (main.get(keys::tls) == keys::Tls::off) return;
        front.tls_required = main.get(keys::tls) == keys::Tls::require;
        const std::string certificate = main.get(keys::certificate)->text;
        try {
            front.context = tls::Context::for_clients(certificate, main.get(keys::certificate_key)->text);
        } catch (const tls::Error& error) {
            fault(main, error.file == certificate ? "certificate" : "certificate_key", error.what(),
                  "a file in PEM that this program may read");
        }
    }

    void add_user(const Row& row) {
        pg::FrontUser user;
        user.clients_most = count_of(row, keys::user_clients);
        user.safe = row.get(keys::user_effect) == keys::Effect::safe;
        user.kind = row.get(keys::auth) == keys::Auth::trust ? pg::Authentication::Kind::trust
                                                             : pg::Authentication::Kind::scram;
        if (const auto file = row.get(keys::password_file)) {
            std::ifstream in(file->text);
            std::string password;
            if (!in || !std::getline(in, password)) {
                fault(row, "password_file", "no password can be read from " + file->text,
                      "a file whose first line is the password, which this program may read");
                return;
            }
            if (!password.empty() && password.back() == '\r') password.pop_back();
            if (password.empty() || password.size() > password_most) {
                fault(row, "password_file", "the password has no byte, or too many",
                      "1 to 1000 bytes in the first line");
                return;
            }
            if (user.kind == pg::Authentication::Kind::scram)
                user.verifier = pg::make_verifier(password, random_salt(), pg::scram_iterations);
            options_.secrets[row.label()].password = password;
        }
        options_.front.users[row.label()] = std::move(user);
    }

    void add_database(const Row& main, const Row& row) {
        pg::DatabaseOptions database;
        database.name = row.label();
        database.settings = pool_settings(main, row);
        database.back = back_options(main, row);
        pg::FrontDatabase& front = database.front;
        front.session.mode =
            row.get(keys::mode) == keys::Mode::session ? pg::Mode::session : pg::Mode::transaction;
        front.session.unreported = row.get(keys::unreported) == keys::Unreported::refuse
                                       ? pg::Unreported::refuse
                                       : pg::Unreported::pin;
        front.session.deadline = front.deadline = row.get(keys::deadline);
        front.clients_most = count_of(row, keys::database_clients);
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
            member.entry.memory.emplace().limit = database.settings.fair_share;
            const bool drains = server.get(keys::server_drain);
            member.entry.state = drains ? UpstreamState::draining : UpstreamState::ready;
            if (const auto tls_name = server.get(keys::server_tls_name))
                database.back.names[member.entry.id] = *tls_name;
            database.settings.zones = std::max(database.settings.zones, member.entry.zone + 1);
            database.members.push_back(std::move(member));
            return;
        }
    }

    Settings pool_settings(const Row& main, const Row& row) {
        Settings settings;
        settings.zone = static_cast<int>(main.get(keys::zone));
        settings.zones = settings.zone + 1;
        settings.max_attempts = static_cast<int>(row.get(keys::attempts));
        settings.connect_timeout = row.get(keys::connect_timeout);
        settings.retry_after = true;
        settings.max_retry_after = std::chrono::minutes(1);
        settings.may_cancel = true;
        // The operator has said how much a server takes at once.
        settings.fair_share = static_cast<double>(row.get(keys::pool_size));
        ClassSettings unit;
        unit.name = "unsafe";
        unit.aim = row.get(keys::aim);
        unit.deadline = row.get(keys::deadline);
        unit.effect = Effect::unsafe;
        unit.streams = true;
        settings.classes.push_back(unit);
        // Only where it may be used: of a class that nothing is known of the module fears the worst, and puts
        // servers out for longer.
        if (!some_are_safe_) return settings;
        unit.name = "safe";
        unit.effect = Effect::safe;
        settings.classes.push_back(unit);
        return settings;
    }

    pg::BackOptions back_options(const Row& main, const Row& row) {
        pg::BackOptions back;
        back.database = row.get(keys::database_there).value_or(row.label());
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
        back.login_limit = std::min(main.get(keys::login_timeout), row.get(keys::connect_timeout));
        back.cancel_limit = row.get(keys::cancel_timeout);
        back.drain_limit = row.get(keys::drain_timeout);
        back.prepared_most = count_of(row, keys::prepared_statements);
        back.message_most = main.get(keys::max_message).count;
        if (row.get(keys::server_tls) == keys::ServerTls::off) return back;
        const bool verify = row.get(keys::server_tls) == keys::ServerTls::verify_full;
        back.tls = verify ? pg::ServerOptions::Tls::verify_full : pg::ServerOptions::Tls::prefer;
        const auto authorities = row.get(keys::authorities);
        try {
            back.context = tls::Context::for_servers(authorities ? authorities->text : "");
        } catch (const tls::Error& error) {
            fault(row, "authorities", error.what(), "a file in PEM that this program may read");
        }
        return back;
    }

    const settings::Values& values_;
    pg::ServiceOptions options_;
    settings::Faults faults_;
    bool some_are_safe_ = false;
};

}  // namespace

std::variant<pg::ServiceOptions, settings::Faults> postgres_options(const settings::Values& values,
                                                                    std::uint64_t seed) {
    return Making(values, seed).make();
}

namespace {

class Postgres final : public engine::Side {
public:
    explicit Postgres(const engine::SideWorld& world) : log_(world.log), seed_(world.seed) {
        auto options = postgres_options(world.operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options))
            throw std::invalid_argument(faults->text("operator's file"));
        service_.emplace(world.executor, world.core, world.clock,
                         std::move(std::get<pg::ServiceOptions>(options)));
        log_.tell(log::events::postgres_listening, loop::text_of(service_->address()));
    }

    bool change(const settings::Values& operators) override {
        auto options = postgres_options(operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options)) {
            const auto& first = faults->first().front();
            log_.tell(log::events::postgres_kept, settings::line_of("operator's file", first));
            return false;
        }
        service_->change(std::move(std::get<pg::ServiceOptions>(options)));
        return true;
    }

    void begin_drain() override { service_->begin_drain(); }
    void stop() override {
        service_->stop();
        log_.tell(log::events::postgres_ended, service_->figures().units);
    }
    Micros longest_deadline() const override { return service_->longest_deadline(); }

private:
    core::Log& log_;
    const std::uint64_t seed_;
    std::optional<pg::Service> service_;
};

}  // namespace

engine::SideMaker postgres() {
    return {"postgres", [](const engine::SideWorld& world) { return std::make_unique<Postgres>(world); }};
}

}  // namespace flaxdoor::sides
