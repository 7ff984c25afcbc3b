#include "extensions/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "extensions/rows.h"
#include "log/events.h"
#include "settings/tables/gateway.h"

namespace flaxdoor::extensions {

namespace {

namespace keys = settings::gateway;
using settings::Row;

// Port number under which the routes of the file have their single listener. RuntimeOptions::moved maps it
// to the port of `gateway.listen`.
constexpr std::uint16_t file_routes_port = 80;

std::string trim(std::string text) {
    while (!text.empty() && text.front() == ' ') text.erase(text.begin());
    while (!text.empty() && text.back() == ' ') text.pop_back();
    return text;
}

bool is_word(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.';
    });
}

// Splits "name<separator>value" and trims both parts. Returns false if the separator is missing, the name is
// not a word, or the value is empty.
bool split_pair(const std::string& text, char separator, std::string& name, std::string& value) {
    const auto at = text.find(separator);
    if (at == std::string::npos) return false;
    name = trim(text.substr(0, at));
    value = trim(text.substr(at + 1));
    return is_word(name) && !value.empty();
}

std::optional<std::uint32_t> parse_number(const std::string& text, std::uint32_t most) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty() || value > most)
        return std::nullopt;
    return value;
}

routes::CallClass::Kind call_kind(keys::Effect effect) {
    using Kind = routes::CallClass::Kind;
    switch (effect) {
        case keys::Effect::safe: return Kind::safe;
        case keys::Effect::keyed: return Kind::keyed;
        case keys::Effect::by_method: return Kind::by_method;
        case keys::Effect::unsafe: break;
    }
    return Kind::unsafe;
}

class OptionsBuilder {
public:
    OptionsBuilder(const settings::Values& values, std::uint64_t seed)
        : values_(values), gateway_row_(values.row("gateway")), seed_(seed) {}

    std::variant<GatewayOptions, settings::Faults> build() {
        build_runtime();
        if (gateway_row_.get(keys::cluster) == keys::Cluster::none) {
            build_routes();
        } else {
            build_cluster();
        }
        if (!faults_.empty()) return std::move(faults_);
        return std::move(options_);
    }

private:
    void fault(const Row& row, std::string_view key, const std::string& what, const std::string& remedy) {
        add_fault(faults_, row, key, what, remedy);
    }

    void build_runtime() {
        ingress::RuntimeOptions& options = options_.runtime;
        options.seed = seed_;
        options.zone = gateway_row_.get(keys::zone).value_or("");
        options.clients.max_connections = options.clients.max_keepalive_connections =
            count_of(gateway_row_, keys::max_clients);
        options.clients.request_timeout = gateway_row_.get(keys::request_timeout);
        options.clients.idle_timeout = gateway_row_.get(keys::idle_timeout);
        options.max_servers = count_of(gateway_row_, keys::max_server_connections);
        options.body = static_cast<std::size_t>(gateway_row_.get(keys::max_body).count);
        Settings& pool = options.settings;
        pool.max_attempts = static_cast<int>(gateway_row_.get(keys::attempts));
        pool.connect_timeout = gateway_row_.get(keys::connect_timeout);
        pool.idle_close = gateway_row_.get(keys::server_idle);
        pool.retry_after = true;
        pool.max_retry_after = gateway_row_.get(keys::max_retry_after);
        pool.may_cancel = true;
        pool.min_in_flight_per_upstream = gateway_row_.get(keys::in_flight);
        pool.ramp_time = gateway_row_.get(keys::slow_start);
        pool.cold_share = pool.ramp_time > Micros{0} ? gateway_row_.get(keys::cold_share) : 1;
    }

    // Routes of the file

    void build_routes() {
        loop::tcp::endpoint endpoint;
        set_endpoint(faults_, endpoint, *gateway_row_.get(keys::listen), gateway_row_, "listen");
        options_.runtime.address = endpoint.address().to_string();
        options_.runtime.moved[file_routes_port] = endpoint.port();
        std::map<std::string, ingress::PoolChange> pools;
        for (const Row& row : values_.rows("route_pool")) pools[row.label()] = build_pool(row);
        routes::TableSpec spec;
        routes::Listener& listener = spec.listeners.emplace_back();
        listener.name = "listen";
        for (const Row& row : values_.rows("route")) add_route(row, pools, listener);
        if (!faults_.empty()) return;
        auto built = routes::Table::build(std::move(spec));
        if (const auto* description = std::get_if<std::string>(&built))
            return fault(gateway_row_, "listen", *description, "fix the expression");
        auto ports = std::make_shared<ingress::Ports>();
        (*ports)[file_routes_port].table = std::get<std::shared_ptr<const routes::Table>>(std::move(built));
        options_.routes.ports = std::move(ports);
        for (auto& [name, pool] : pools) {
            if (!pool.classes.empty()) options_.routes.pools.push_back(std::move(pool));
        }
    }

    ingress::PoolChange build_pool(const Row& row) {
        ingress::PoolChange result;
        result.key = row.label();
        const auto draining = row.get(keys::draining);
        std::set<std::string> seen;
        for (const std::string& text : row.get(keys::servers)) {
            const auto blank = text.find(' ');
            ingress::Server server;
            server.name = server.address = text.substr(0, blank);
            if (blank != std::string::npos) server.zone = trim(text.substr(blank));
            if (!check_address(row, "servers", server.address)) continue;
            if (!seen.insert(server.address).second) {
                fault(row, "servers", "server " + server.address + " stands there twice",
                      "remove one of them");
                continue;
            }
            server.id = ingress::id_of(server.address);
            server.draining = std::find(draining.begin(), draining.end(), server.address) != draining.end();
            result.servers.push_back(std::move(server));
        }
        for (const std::string& address : draining) {
            if (!seen.contains(address))
                fault(row, "draining", "no such server: " + address,
                      "write it as in servers, without the zone");
        }
        return result;
    }

    bool check_address(const Row& row, std::string_view key, const std::string& text) {
        try {
            if (loop::text_of(loop::parse_endpoint(text)) == text && !text.ends_with(":0")) return true;
        } catch (const std::invalid_argument&) {
        }
        fault(row, key, "not an IPv4 address with a port: " + text,
              "host names are not resolved: write it like 10.0.0.1:8080");
        return false;
    }

    void add_route(const Row& row, std::map<std::string, ingress::PoolChange>& pools,
                   routes::Listener& listener) {
        routes::Route route;
        route.name = row.label();
        for (std::string host : row.get(keys::hosts)) {
            std::transform(host.begin(), host.end(), host.begin(),
                           [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
            if (!is_word(host.starts_with("*.") ? std::string_view(host).substr(2) : std::string_view(host)))
                fault(row, "hosts", "no host: " + host, "write it like example.com or *.example.com");
            route.hosts.push_back(std::move(host));
        }
        auto rule = std::make_shared<routes::Rule>();
        rule->matches.push_back(build_match(row));
        rule->call.kind = call_kind(row.get(keys::effect));
        rule->call.deadline = row.get(keys::timeout).value_or(gateway_row_.get(keys::deadline));
        rule->call.aim =
            std::min(row.get(keys::route_aim).value_or(gateway_row_.get(keys::aim)), rule->call.deadline);
        rule->call.window = std::chrono::seconds(10);
        rule->request_timeout = row.get(keys::timeout).value_or(Micros{});
        rule->backend_timeout = row.get(keys::server_timeout).value_or(Micros{});
        if (const auto retries = row.get(keys::retries)) rule->retries.attempts = static_cast<int>(*retries);
        rule->retries.share = row.get(keys::retry_budget);
        set_filters(row, *rule);
        for (const std::string& text : row.get(keys::pools)) add_backend(row, text, pools, *rule);
        route.rules.push_back(std::move(rule));
        listener.routes.push_back(std::move(route));
    }

    void add_backend(const Row& row, const std::string& text,
                     std::map<std::string, ingress::PoolChange>& pools, routes::Rule& rule) {
        const auto blank = text.find(' ');
        routes::Backend backend;
        backend.pool = text.substr(0, blank);
        if (blank != std::string::npos) {
            const auto weight = parse_number(trim(text.substr(blank)), 1'000'000);
            if (!weight) return fault(row, "pools", "no weight: " + text, "write it like \"name 3\"");
            backend.weight = *weight;
        }
        // A pool has the classes of all routes that use it.
        using Kind = routes::CallClass::Kind;
        const auto add = [&](Kind kind) {
            routes::CallClass call = rule.call;
            call.kind = kind;
            if (kind != Kind::keyed) call.window = Micros{0};
            auto& classes = pools[backend.pool].classes;
            if (std::find(classes.begin(), classes.end(), call) == classes.end()) classes.push_back(call);
        };
        if (rule.call.kind != Kind::safe) add(Kind::unsafe);
        if (rule.call.kind == Kind::safe || rule.call.kind == Kind::by_method) add(Kind::safe);
        if (rule.call.kind == Kind::keyed) add(Kind::keyed);
        rule.backends.push_back(std::move(backend));
    }

    routes::Match build_match(const Row& row) {
        routes::Match result;
        std::string path = row.get(keys::path).value_or("/");
        if (path.starts_with("= ") || path.starts_with("~ ")) {
            result.path.kind = path.front() == '=' ? routes::PathKind::exact : routes::PathKind::regex;
            path = trim(path.substr(2));
        }
        if (result.path.kind == routes::PathKind::regex) {
            check_expression(row, "path", path);
        } else if (path.empty() || path.front() != '/' || !routes::split_target(path).why.empty() ||
                   path.find_first_of("?# ") != std::string::npos) {
            fault(row, "path", "no path: " + path, "start it with '/', without '?', '#' and spaces");
        }
        result.path.value = path;
        result.method = row.get(keys::method).value_or("");
        result.headers = build_field_matches(row, "headers", row.get(keys::headers), ':');
        result.queries = build_field_matches(row, "queries", row.get(keys::queries), '=');
        return result;
    }

    std::vector<routes::FieldMatch> build_field_matches(const Row& row, const char* key,
                                                        const std::vector<std::string>& texts,
                                                        char separator) {
        std::vector<routes::FieldMatch> result;
        for (const std::string& text : texts) {
            routes::FieldMatch match;
            match.regex = text.find('~') < text.find(separator);
            if (!split_pair(text, match.regex ? '~' : separator, match.name, match.value)) {
                fault(row, key, "neither a value nor an expression: " + text,
                      std::string("write it like \"name") + separator + " value\" or \"name ~ expression\"");
                continue;
            }
            if (match.regex) check_expression(row, key, match.value);
            result.push_back(std::move(match));
        }
        return result;
    }

    void check_expression(const Row& row, const char* key, const std::string& text) {
        if (const std::string description = routes::regex_fault(text); !description.empty())
            fault(row, key, "no regular expression: " + text + " (" + description + ")", "use RE2's syntax");
    }

    void set_filters(const Row& row, routes::Rule& rule) {
        for (const std::string& text : row.get(keys::set_headers)) {
            std::string name, value;
            if (split_pair(text, ':', name, value)) {
                rule.request.set.emplace_back(name, value);
            } else {
                fault(row, "set_headers", "invalid header: " + text, "write it like \"Name: value\"");
            }
        }
        const bool prefix = rule.matches.front().path.kind == routes::PathKind::prefix;
        if (const auto path = row.get(keys::rewrite)) {
            if (path->empty() || path->front() != '/')
                fault(row, "rewrite", "no path: " + *path, "start it with '/'");
            rule.rewrite.emplace().path = routes::PathEdit{prefix, *path};
        }
        if (const auto text = row.get(keys::redirect)) {
            const auto status = parse_number(text->substr(0, text->find(' ')), 399);
            const std::string to = trim(text->substr(std::min(text->find(' '), text->size())));
            const auto scheme = to.find("://");
            static constexpr std::array<std::uint32_t, 5> redirect_statuses = {301, 302, 303, 307, 308};
            if (!status ||
                std::find(redirect_statuses.begin(), redirect_statuses.end(), *status) ==
                    redirect_statuses.end() ||
                scheme == std::string::npos)
                return fault(row, "redirect", "no redirect: " + *text,
                             "write it like \"302 https://host/path\"");
            routes::Redirect& redirect = rule.redirect.emplace();
            redirect.status = static_cast<int>(*status);
            redirect.scheme = to.substr(0, scheme);
            const auto slash = to.find('/', scheme + 3);
            const std::string host = to.substr(scheme + 3, slash - scheme - 3);
            if (host.find(':') != std::string::npos) {
                const auto port = parse_number(host.substr(host.find(':') + 1), 65535);
                if (!port || *port == 0) return fault(row, "redirect", "invalid port: " + host, "1 to 65535");
                redirect.port = static_cast<std::uint16_t>(*port);
            }
            if (!host.empty()) redirect.host = host.substr(0, host.find(':'));
            if (slash != std::string::npos) redirect.path = routes::PathEdit{false, to.substr(slash)};
        }
    }

    // Routes of a Kubernetes cluster

    void build_cluster() {
        ingress::ClusterOptions& options = options_.cluster.emplace();
        options_.runtime.address = gateway_row_.get(keys::bind_address);
        try {
            (void)loop::parse_endpoint(options_.runtime.address + ":1");
        } catch (const std::invalid_argument&) {
            fault(gateway_row_, "bind_address", "not an IPv4 address: " + options_.runtime.address,
                  "write an IPv4 address, or 0.0.0.0");
        }
        for (const std::string& text : gateway_row_.get(keys::ports)) {
            const auto equals = std::min(text.find('='), text.size());
            const auto from = parse_number(text.substr(0, equals), 65535);
            const auto to = parse_number(text.substr(std::min(equals + 1, text.size())), 65535);
            if (!from || !to || *from == 0) {
                fault(gateway_row_, "ports", "not a pair of ports: " + text, "write it like 80=8080");
                continue;
            }
            options_.runtime.moved[static_cast<std::uint16_t>(*from)] = static_cast<std::uint16_t>(*to);
        }
        read_server(options);
        options.seed = seed_;
        options.apply_every = gateway_row_.get(keys::apply_every);
        options.guard.hold = gateway_row_.get(keys::guard_hold);
        options.guard.most = gateway_row_.get(keys::guard_share);
        options.plan.controller = gateway_row_.get(keys::controller_name);
        options.plan.aim = gateway_row_.get(keys::aim);
        options.plan.deadline = gateway_row_.get(keys::deadline);
        options.plan.addresses = gateway_row_.get(keys::public_addresses);
        options.plan.certificate_fault = tls::Context::fault_of;
        options.write_status = gateway_row_.get(keys::write_status);
        options.writer.per_s = static_cast<double>(gateway_row_.get(keys::status_writes));
        options.writer.burst = 2 * count_of(gateway_row_, keys::status_writes);
        options.lease.space = gateway_row_.get(keys::lease_namespace).value_or(options.server.space);
        options.lease.name = gateway_row_.get(keys::lease_name);
        options.lease.identity = gateway_row_.get(keys::identity).value_or(generate_identity());
    }

    void read_server(ingress::ClusterOptions& options) {
        const bool is_in_cluster = gateway_row_.get(keys::cluster) == keys::Cluster::in_cluster;
        try {
            if (!is_in_cluster) {
                options.server = kube::from_kubeconfig(gateway_row_.get(keys::kubeconfig)->text);
            } else {
                const char* const host = std::getenv("KUBERNETES_SERVICE_HOST");
                const char* const port = std::getenv("KUBERNETES_SERVICE_PORT");
                options.server = kube::in_cluster(host ? host : "", port ? port : "");
            }
            if (options.server.tls)
                (void)tls::Context::for_servers(
                    {options.server.authorities, options.server.certificate, options.server.key});
        } catch (const std::runtime_error& error) {
            fault(gateway_row_, is_in_cluster ? "cluster" : "kubeconfig", error.what(),
                  is_in_cluster ? "run the program in a pod with a service account, or use a kubeconfig"
                                : "fix the file, or name another");
        }
    }

    static std::string generate_identity() {
        std::array<char, 256> name{};
        if (::gethostname(name.data(), name.size() - 1) != 0) name[0] = '\0';
        std::random_device device;
        return std::string(name.data()) + "_" + std::to_string(device());
    }

    const settings::Values& values_;
    const Row& gateway_row_;
    const std::uint64_t seed_;
    GatewayOptions options_;
    settings::Faults faults_;
};

class Gateway final : public engine::Extension {
public:
    explicit Gateway(const engine::ExtensionContext& world) : log_(world.log), seed_(world.seed) {
        auto options_or_faults = gateway_options(world.operator_settings, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options_or_faults))
            throw std::invalid_argument(faults->text("operator's file"));
        auto& options = std::get<GatewayOptions>(options_or_faults);
        options.runtime.memory = world.memory;
        runtime_.emplace(world.executor, world.core, world.clock, log_, options.runtime,
                         [this](std::map<std::uint16_t, std::string> ports) {
                             if (cluster_) cluster_->set_ports(std::move(ports));
                         });
        if (!options.cluster) {
            save_pool_keys(options.routes);
            runtime_->apply(std::move(options.routes));
            return;
        }
        cluster_.emplace(world.executor, log_, world.clock, std::move(*options.cluster),
                         [this](ingress::Change change) { runtime_->apply(std::move(change)); });
    }

    bool apply_settings(const settings::Values& operators) override {
        auto options_or_faults = gateway_options(operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&options_or_faults)) {
            const auto& first = faults->first().front();
            log_.write(log::events::gateway_kept, settings::line_of("operator's file", first));
            return false;
        }
        auto& options = std::get<GatewayOptions>(options_or_faults);
        runtime_->set_options(options.runtime);
        if (cluster_ || options.cluster) return true;
        for (const std::string& key : pools_) {
            const bool stays = std::any_of(options.routes.pools.begin(), options.routes.pools.end(),
                                           [&](const auto& pool) { return pool.key == key; });
            if (!stays) options.routes.gone.push_back(key);
        }
        save_pool_keys(options.routes);
        runtime_->apply(std::move(options.routes));
        return true;
    }

    void begin_drain() override { runtime_->begin_drain(); }
    bool finish_drain() override { return runtime_->wind_down(); }
    void stop() override {
        cluster_.reset();
        const auto figures = runtime_->figures();
        runtime_->stop();
        log_.write(log::events::gateway_ended, figures.routed, figures.told);
    }
    Micros longest_deadline() const override { return runtime_->longest_deadline(); }

private:
    void save_pool_keys(const ingress::Change& routes) {
        pools_.clear();
        for (const auto& pool : routes.pools) pools_.push_back(pool.key);
    }

    core::Log& log_;
    const std::uint64_t seed_;
    std::vector<std::string> pools_;  // keys of the pools of the file that are in use
    std::optional<ingress::Runtime> runtime_;
    std::optional<ingress::Cluster> cluster_;
};

}  // namespace

std::variant<GatewayOptions, settings::Faults> gateway_options(const settings::Values& values,
                                                               std::uint64_t seed) {
    return OptionsBuilder(values, seed).build();
}

engine::ExtensionFactory gateway() {
    return {"gateway",
            [](const engine::ExtensionContext& world) { return std::make_unique<Gateway>(world); }};
}

}  // namespace flaxdoor::extensions
