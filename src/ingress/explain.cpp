#include "ingress/explain.h"

#include <map>

#include "ingress/router.h"

namespace flaxdoor::ingress {

namespace {

using routes::PathKind;

std::string text_of(const routes::Match& match) {
    std::string out = match.path.kind == PathKind::exact   ? "= "
                      : match.path.kind == PathKind::regex ? "~ "
                                                           : "";
    out += match.path.value;
    if (match.path.kind == PathKind::prefix && out.back() != '/') out += "[/...]";
    if (match.path.kind == PathKind::prefix && out.back() == '/') out += "...";
    if (!match.method.empty()) out = match.method + " " + out;
    for (const auto& each : match.headers) out += ", " + each.name + (each.regex ? " ~ " : ": ") + each.value;
    for (const auto& each : match.queries) out += ", ?" + each.name + (each.regex ? "~" : "=") + each.value;
    return out;
}

std::string kind_of(const routes::CallClass& call) {
    using Kind = routes::CallClass::Kind;
    switch (call.kind) {
        case Kind::safe: return "safe";
        case Kind::keyed: return "keyed";
        case Kind::by_method: return "by method";
        case Kind::unsafe: break;
    }
    return "unsafe";
}

std::string target_of(const routes::Rule& rule) {
    if (rule.status) return "answered " + std::to_string(*rule.status) + " (" + rule.why + ")";
    if (rule.redirect) return "redirect " + std::to_string(rule.redirect->status);
    std::uint64_t all = 0;
    for (const auto& each : rule.backends) all += each.weight;
    if (all == 0) return "answered 500 (no backend)";
    std::string out;
    for (const auto& each : rule.backends) {
        out += out.empty() ? "" : ", ";
        out += each.pool.empty() ? "answered " + std::to_string(each.status) : each.pool;
        if (rule.backends.size() > 1) out += " " + std::to_string(each.weight) + "/" + std::to_string(all);
    }
    return out + " [" + kind_of(rule.call) + "]";
}

// Returns one line per match: a name by which two tables can be compared, and the target.
std::map<std::string, std::string> lines_of(const gateway::Plan& plan) {
    std::map<std::string, std::string> out;
    for (const auto& [number, port] : plan.ports) {
        for (const auto& listener : port.table.listeners) {
            for (const auto& route : listener.routes) {
                for (std::size_t rule_number = 0; rule_number < route.rules.size(); ++rule_number) {
                    const routes::Rule& rule = *route.rules[rule_number];
                    std::vector<routes::Match> matches = rule.matches;
                    if (matches.empty()) matches.emplace_back();
                    for (const auto& host : route.hosts) {
                        for (const auto& match : matches) {
                            const std::string name =
                                std::to_string(number) + (port.tls ? " https " : " http ") +
                                (host.empty() ? "*" : host) + " " + text_of(match) + "  " + route.name +
                                " rule " + std::to_string(rule_number);
                            out[name] = target_of(rule);
                        }
                    }
                }
            }
        }
    }
    return out;
}

std::map<std::string, std::string> pools_of(const gateway::Resources& resources, const gateway::Plan& plan) {
    std::map<std::string, std::string> out;
    for (const auto& [key, pool] : plan.pools) {
        std::string all;
        for (const auto& each : gateway::endpoints_of(resources, pool)) {
            all += (all.empty() ? "" : ", ") + each.address + " " + each.name;
            if (!each.zone.empty()) all += " in " + each.zone;
            if (each.draining) all += " (draining)";
        }
        out[key] = all.empty() ? "no endpoint: answered 503" : all;
    }
    return out;
}

std::string difference_of(const std::map<std::string, std::string>& a,
                          const std::map<std::string, std::string>& b) {
    std::string out;
    for (const auto& [name, value] : a) {
        const auto found = b.find(name);
        if (found == b.end()) {
            out += "- " + name + "  " + value + "\n";
        } else if (found->second != value) {
            out += "- " + name + "  " + value + "\n+ " + name + "  " + found->second + "\n";
        }
    }
    for (const auto& [name, value] : b) {
        if (!a.contains(name)) out += "+ " + name + "  " + value + "\n";
    }
    return out;
}

}  // namespace

std::string table_text(const gateway::Resources& resources, const gateway::Plan& plan) {
    std::string out = "routes\n";
    for (const auto& [name, target] : lines_of(plan)) out += "  " + name + "  -> " + target + "\n";
    out += "pools\n";
    for (const auto& [name, servers] : pools_of(resources, plan)) out += "  " + name + "  " + servers + "\n";
    return out;
}

std::string status_text(const gateway::Plan& plan) {
    std::string out = "status\n";
    const auto add = [&](const std::string& of, const gateway::Json& conditions) {
        for (const auto& each : conditions) {
            out += "  " + of + ": " + each["type"].get<std::string>() + " " +
                   each["status"].get<std::string>() + " " + each["reason"].get<std::string>();
            const auto message = each["message"].get<std::string>();
            out += message.empty() ? "\n" : ": " + message + "\n";
        }
    };
    for (const auto& desired : plan.statuses) {
        const std::string name = std::string(gateway::name_of(desired.kind)) + " " + desired.key;
        if (desired.status.contains("conditions")) add(name, desired.status["conditions"]);
        if (desired.status.contains("listeners")) {
            for (const auto& each : desired.status["listeners"]) {
                const std::string listener = name + " listener " + each["name"].get<std::string>();
                out += "  " + listener + ": " + std::to_string(each["attachedRoutes"].get<std::size_t>()) +
                       " routes attached\n";
                add(listener, each["conditions"]);
            }
        }
        if (desired.status.contains("parents")) {
            for (const auto& each : desired.status["parents"])
                add(name + " at " + each["parentRef"].value("name", std::string("?")), each["conditions"]);
        }
    }
    return out;
}

std::string explain(const gateway::Plan& plan, std::uint16_t port, const http::Request& request) {
    const auto found = plan.ports.find(port);
    if (found == plan.ports.end()) return "no listener on port " + std::to_string(port) + "\n";
    const auto built = routes::Table::build(found->second.table);
    if (const auto* fault = std::get_if<std::string>(&built)) return *fault + "\n";
    const auto& table = *std::get<std::shared_ptr<const routes::Table>>(built);
    const std::string host = routes::host_of(request.fields["Host"]);
    const routes::Target target = routes::split_target(request.target);
    if (!target.why.empty()) return "answered 400: " + target.why + "\n";
    const auto hit = table.match({request.method, host, target.path, target.query, &request.fields});
    if (!hit.listener) return "answered 404: no listener has host " + host + "\n";
    std::string out = "listener " + hit.listener->name + ": its host " +
                      (hit.listener->host.empty() ? "*" : hit.listener->host) +
                      " is the most specific match\n";
    if (!hit.rule) return out + "answered 404: none of its routes matches\n";
    std::string fitting;
    for (const auto& each : hit.route->hosts) {
        if (routes::host_matches(each, host) && each.size() >= fitting.size()) fitting = each;
    }
    out += "route " + hit.route->name + " rule " + std::to_string(hit.rule_number) + " match " +
           std::to_string(hit.match_number) + ": host " + (fitting.empty() ? "*" : fitting) + ", " +
           text_of(*hit.match) + "\n";
    return out + "-> " + target_of(*hit.rule) + "\n";
}

std::string difference(const gateway::Resources& a, const gateway::Plan& plan_a, const gateway::Resources& b,
                       const gateway::Plan& plan_b) {
    std::string out;
    if (const std::string routes = difference_of(lines_of(plan_a), lines_of(plan_b)); !routes.empty())
        out += "routes\n" + routes;
    if (const std::string pools = difference_of(pools_of(a, plan_a), pools_of(b, plan_b)); !pools.empty())
        out += "pools\n" + pools;
    return out;
}

}  // namespace flaxdoor::ingress
