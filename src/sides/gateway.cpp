#include "sides/gateway.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <map>
#include <random>
#include <set>

#include "log/events.h"
#include "settings/tables/gateway.h"
#include "sides/rows.h"

namespace flaxdoor::sides {

namespace {

namespace keys = settings::gateway;
using settings::Row;

constexpr std::uint16_t rows_port = 80;  // the number that the one listener of [[route]]s has

std::string trimmed(std::string text) {
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

// "name<mark>value", blanks round the mark. False: there is no such mark.
bool split(const std::string& text, char mark, std::string& name, std::string& value) {
    const auto at = text.find(mark);
    if (at == std::string::npos) return false;
    name = trimmed(text.substr(0, at));
    value = trimmed(text.substr(at + 1));
    return is_word(name) && !value.empty();
}

std::optional<std::uint32_t> number_of(const std::string& text, std::uint32_t most) {
    std::uint32_t value = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (bad != std::errc{} || end != text.data() + text.size() || text.empty() || value > most)
        return std::nullopt;
    return value;
}

routes::CallClass::Kind kind_of(keys::Effect effect) {
    using Kind = routes::CallClass::Kind;
    switch (effect) {
        case keys::Effect::safe: return Kind::safe;
        case keys::Effect::keyed: return Kind::keyed;
        case keys::Effect::by_method: return Kind::by_method;
        case keys::Effect::unsafe: break;
    }
    return Kind::unsafe;
}

class Making {
public:
    Making(const settings::Values& values, std::uint64_t seed)
        : values_(values), main_(values.row("gateway")), seed_(seed) {}

    std::variant<GatewayOptions, settings::Faults> make() {
        make_runtime();
        if (main_.get(keys::cluster) == keys::Cluster::none) {
            make_routes();
        } else {
            make_cluster();
        }
        if (!faults_.empty()) return std::move(faults_);
        return std::move(options_);
    }

private:
    void fault(const Row& row, std::string_view key, const std::string& what, const std::string& mend) {
        add_fault(faults_, row, key, what, mend);
    }

    void make_runtime() {
        ingress::RuntimeOptions& its = options_.runtime;
        its.seed = seed_;
        its.zone = main_.get(keys::zone).value_or("");
        its.clients.most = its.clients.asked = count_of(main_, keys::max_clients);
        its.clients.request = main_.get(keys::request_timeout);
        its.clients.idle = main_.get(keys::idle_timeout);
        its.servers_most = count_of(main_, keys::max_server_connections);
        its.body = static_cast<std::size_t>(main_.get(keys::max_body).count);
        Settings& pool = its.settings;
        pool.max_attempts = static_cast<int>(main_.get(keys::attempts));
        pool.connect_timeout = main_.get(keys::connect_timeout);
        pool.idle_close = main_.get(keys::server_idle);
        pool.retry_after = true;
        pool.max_retry_after = main_.get(keys::max_retry_after);
        pool.may_cancel = true;
        pool.fair_share = main_.get(keys::in_flight);
        pool.ramp_time = main_.get(keys::slow_start);
        pool.cold_share = pool.ramp_time > Micros{0} ? main_.get(keys::cold_share) : 1;
    }

    // ------------------------------------------------------------------------------------------ the file's

    void make_routes() {
        loop::tcp::endpoint endpoint;
        set_endpoint(faults_, endpoint, *main_.get(keys::listen), main_, "listen");
        options_.runtime.address = endpoint.address().to_string();
        options_.runtime.moved[rows_port] = endpoint.port();
        std::map<std::string, ingress::PoolChange> pools;
        for (const Row& row : values_.rows("route_pool")) pools[row.label()] = pool_of(row);
        routes::TableSpec spec;
        routes::Listener& listener = spec.listeners.emplace_back();
        listener.name = "listen";
        for (const Row& row : values_.rows("route")) add_route(row, pools, listener);
        if (!faults_.empty()) return;
        auto built = routes::Table::build(std::move(spec));
        if (const auto* wrong = std::get_if<std::string>(&built))
            return fault(main_, "listen", *wrong, "mend the expression");
        auto ports = std::make_shared<ingress::Ports>();
        (*ports)[rows_port].table = std::get<std::shared_ptr<const routes::Table>>(std::move(built));
        options_.routes.ports = std::move(ports);
        for (auto& [name, pool] : pools) {
            if (!pool.classes.empty()) options_.routes.pools.push_back(std::move(pool));
        }
    }

    ingress::PoolChange pool_of(const Row& row) {
        ingress::PoolChange out;
        out.key = row.label();
        const auto draining = row.get(keys::draining);
        std::set<std::string> seen;
        for (const std::string& text : row.get(keys::servers)) {
            const auto blank = text.find(' ');
            ingress::Server server;
            server.name = server.address = text.substr(0, blank);
            if (blank != std::string::npos) server.zone = trimmed(text.substr(blank));
            if (!address_is_good(row, "servers", server.address)) continue;
            if (!seen.insert(server.address).second) {
                fault(row, "servers", "server " + server.address + " stands there twice", "leave one out");
                continue;
            }
            server.id = ingress::id_of(server.address);
            server.draining = std::find(draining.begin(), draining.end(), server.address) != draining.end();
            out.servers.push_back(std::move(server));
        }
        for (const std::string& each : draining) {
            if (!seen.contains(each))
                fault(row, "draining", "no such server: " + each, "write it as in servers, without its zone");
        }
        return out;
    }

    bool address_is_good(const Row& row, std::string_view key, const std::string& text) {
        try {
            if (loop::text_of(loop::parse_endpoint(text)) == text && !text.ends_with(":0")) return true;
        } catch (const std::invalid_argument&) {
        }
        fault(row, key, "not an IPv4 address with a port: " + text, "names are not looked up: 10.0.0.1:8080");
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
        rule->matches.push_back(match_of(row));
        rule->call.kind = kind_of(row.get(keys::effect));
        rule->call.deadline = row.get(keys::timeout).value_or(main_.get(keys::deadline));
        rule->call.aim =
            std::min(row.get(keys::route_aim).value_or(main_.get(keys::aim)), rule->call.deadline);
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
            const auto weight = number_of(trimmed(text.substr(blank)), 1'000'000);
            if (!weight) return fault(row, "pools", "no weight: " + text, "write it like \"name 3\"");
            backend.weight = *weight;
        }
        // Each pool has the classes of all routes that go there.
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

    routes::Match match_of(const Row& row) {
        routes::Match out;
        std::string path = row.get(keys::path).value_or("/");
        if (path.starts_with("= ") || path.starts_with("~ ")) {
            out.path.kind = path.front() == '=' ? routes::PathKind::exact : routes::PathKind::regex;
            path = trimmed(path.substr(2));
        }
        if (out.path.kind == routes::PathKind::regex) {
            check_expression(row, "path", path);
        } else if (path.empty() || path.front() != '/' || !routes::split_target(path).why.empty() ||
                   path.find_first_of("?# ") != std::string::npos) {
            fault(row, "path", "no path: " + path, "begin it with '/', without '?', '#' and blanks");
        }
        out.path.value = path;
        out.method = row.get(keys::method).value_or("");
        out.headers = fields_of(row, "headers", row.get(keys::headers), ':');
        out.queries = fields_of(row, "queries", row.get(keys::queries), '=');
        return out;
    }

    std::vector<routes::FieldMatch> fields_of(const Row& row, const char* key,
                                              const std::vector<std::string>& texts, char mark) {
        std::vector<routes::FieldMatch> out;
        for (const std::string& text : texts) {
            routes::FieldMatch match;
            match.regex = text.find('~') < text.find(mark);
            if (!split(text, match.regex ? '~' : mark, match.name, match.value)) {
                fault(row, key, "neither a value nor an expression: " + text,
                      std::string("write it like \"name") + mark + " value\" or \"name ~ expression\"");
                continue;
            }
            if (match.regex) check_expression(row, key, match.value);
            out.push_back(std::move(match));
        }
        return out;
    }

    void check_expression(const Row& row, const char* key, const std::string& text) {
        if (const std::string wrong = routes::regex_fault(text); !wrong.empty())
            fault(row, key, "no regular expression: " + text + " (" + wrong + ")", "use RE2's syntax");
    }

    void set_filters(const Row& row, routes::Rule& rule) {
        for (const std::string& text : row.get(keys::set_headers)) {
            std::string name, value;
            if (split(text, ':', name, value)) {
                rule.request.set.emplace_back(name, value);
            } else {
                fault(row, "set_headers", "no header: " + text, "write it like \"Name: value\"");
            }
        }
        const bool prefix = rule.matches.front().path.kind == routes::PathKind::prefix;
        if (const auto path = row.get(keys::rewrite)) {
            if (path->empty() || path->front() != '/')
                fault(row, "rewrite", "no path: " + *path, "begin it with '/'");
            rule.rewrite.emplace().path = routes::PathEdit{prefix, *path};
        }
        if (const auto text = row.get(keys::redirect)) {
            const auto status = number_of(text->substr(0, text->find(' ')), 399);
            const std::string to = trimmed(text->substr(std::min(text->find(' '), text->size())));
            const auto scheme = to.find("://");
            static constexpr std::array<std::uint32_t, 5> known = {301, 302, 303, 307, 308};
            if (!status || std::find(known.begin(), known.end(), *status) == known.end() ||
                scheme == std::string::npos)
                return fault(row, "redirect", "no redirect: " + *text,
                             "write it like \"302 https://host/path\"");
            routes::Redirect& redirect = rule.redirect.emplace();
            redirect.status = static_cast<int>(*status);
            redirect.scheme = to.substr(0, scheme);
            const auto slash = to.find('/', scheme + 3);
            const std::string host = to.substr(scheme + 3, slash - scheme - 3);
            if (host.find(':') != std::string::npos) {
                const auto port = number_of(host.substr(host.find(':') + 1), 65535);
                if (!port || *port == 0) return fault(row, "redirect", "no port: " + host, "1 to 65535");
                redirect.port = static_cast<std::uint16_t>(*port);
            }
            if (!host.empty()) redirect.host = host.substr(0, host.find(':'));
            if (slash != std::string::npos) redirect.path = routes::PathEdit{false, to.substr(slash)};
        }
    }

    // ---------------------------------------------------------------------------------------- the cluster's

    void make_cluster() {
        ingress::ClusterOptions& its = options_.cluster.emplace();
        options_.runtime.address = main_.get(keys::bind_address);
        try {
            (void)loop::parse_endpoint(options_.runtime.address + ":1");
        } catch (const std::invalid_argument&) {
            fault(main_, "bind_address", "not an IPv4 address: " + options_.runtime.address,
                  "give one, or 0.0.0.0");
        }
        for (const std::string& text : main_.get(keys::ports)) {
            const auto equals = std::min(text.find('='), text.size());
            const auto from = number_of(text.substr(0, equals), 65535);
            const auto to = number_of(text.substr(std::min(equals + 1, text.size())), 65535);
            if (!from || !to || *from == 0) {
                fault(main_, "ports", "no two ports: " + text, "write them like 80=8080");
                continue;
            }
            options_.runtime.moved[static_cast<std::uint16_t>(*from)] = static_cast<std::uint16_t>(*to);
        }
        read_server(its);
        its.seed = seed_;
        its.apply_every = main_.get(keys::apply_every);
        its.guard.hold = main_.get(keys::guard_hold);
        its.guard.most = main_.get(keys::guard_share);
        its.plan.controller = main_.get(keys::controller_name);
        its.plan.aim = main_.get(keys::aim);
        its.plan.deadline = main_.get(keys::deadline);
        its.plan.addresses = main_.get(keys::public_addresses);
        its.plan.certificate_fault = tls::Context::fault_of;
        its.write_status = main_.get(keys::write_status);
        its.writer.per_s = static_cast<double>(main_.get(keys::status_writes));
        its.writer.burst = 2 * count_of(main_, keys::status_writes);
        its.lease.space = main_.get(keys::lease_namespace).value_or(its.server.space);
        its.lease.name = main_.get(keys::lease_name);
        its.lease.identity = main_.get(keys::identity).value_or(drawn_identity());
    }

    void read_server(ingress::ClusterOptions& its) {
        const bool inside = main_.get(keys::cluster) == keys::Cluster::in_cluster;
        try {
            if (!inside) {
                its.server = kube::from_kubeconfig(main_.get(keys::kubeconfig)->text);
            } else {
                const char* const host = std::getenv("KUBERNETES_SERVICE_HOST");
                const char* const port = std::getenv("KUBERNETES_SERVICE_PORT");
                its.server = kube::in_cluster(host ? host : "", port ? port : "");
            }
            if (its.server.tls)
                (void)tls::Context::for_servers(
                    {its.server.authorities, its.server.certificate, its.server.key});
        } catch (const std::runtime_error& error) {
            fault(main_, inside ? "cluster" : "kubeconfig", error.what(),
                  inside ? "run it in a pod with a service account, or use a kubeconfig"
                         : "mend the file, or name another");
        }
    }

    static std::string drawn_identity() {
        std::array<char, 256> name{};
        if (::gethostname(name.data(), name.size() - 1) != 0) name[0] = '\0';
        std::random_device device;
        return std::string(name.data()) + "_" + std::to_string(device());
    }

    const settings::Values& values_;
    const Row& main_;
    const std::uint64_t seed_;
    GatewayOptions options_;
    settings::Faults faults_;
};

class Gateway final : public engine::Side {
public:
    explicit Gateway(const engine::SideWorld& world) : log_(world.log), seed_(world.seed) {
        auto made = gateway_options(world.operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&made))
            throw std::invalid_argument(faults->text("operator's file"));
        auto& options = std::get<GatewayOptions>(made);
        runtime_.emplace(world.executor, world.core, world.clock, log_, options.runtime,
                         [this](std::map<std::uint16_t, std::string> ports) {
                             if (cluster_) cluster_->set_ports(std::move(ports));
                         });
        if (!options.cluster) {
            remember(options.routes);
            runtime_->apply(std::move(options.routes));
            return;
        }
        cluster_.emplace(world.executor, log_, world.clock, std::move(*options.cluster),
                         [this](ingress::Change change) { runtime_->apply(std::move(change)); });
    }

    bool change(const settings::Values& operators) override {
        auto made = gateway_options(operators, seed_);
        if (const auto* faults = std::get_if<settings::Faults>(&made)) {
            const auto& first = faults->first().front();
            log_.tell(log::events::gateway_kept, settings::line_of("operator's file", first));
            return false;
        }
        auto& options = std::get<GatewayOptions>(made);
        runtime_->set_options(options.runtime);
        if (cluster_ || options.cluster) return true;
        for (const std::string& key : pools_) {
            const bool stays = std::any_of(options.routes.pools.begin(), options.routes.pools.end(),
                                           [&](const auto& pool) { return pool.key == key; });
            if (!stays) options.routes.gone.push_back(key);
        }
        remember(options.routes);
        runtime_->apply(std::move(options.routes));
        return true;
    }

    void begin_drain() override { runtime_->begin_drain(); }
    bool wind_down() override { return runtime_->wind_down(); }
    void stop() override {
        cluster_.reset();
        const auto figures = runtime_->figures();
        runtime_->stop();
        log_.tell(log::events::gateway_ended, figures.routed, figures.told);
    }
    Micros longest_deadline() const override { return runtime_->longest_deadline(); }

private:
    void remember(const ingress::Change& routes) {
        pools_.clear();
        for (const auto& pool : routes.pools) pools_.push_back(pool.key);
    }

    core::Log& log_;
    const std::uint64_t seed_;
    std::vector<std::string> pools_;  // of the file
    std::optional<ingress::Runtime> runtime_;
    std::optional<ingress::Cluster> cluster_;
};

}  // namespace

std::variant<GatewayOptions, settings::Faults> gateway_options(const settings::Values& values,
                                                               std::uint64_t seed) {
    return Making(values, seed).make();
}

engine::SideMaker gateway() {
    return {"gateway", [](const engine::SideWorld& world) { return std::make_unique<Gateway>(world); }};
}

}  // namespace flaxdoor::sides
