#include "gateway/plan.h"

#include <algorithm>
#include <array>

#include "routes/table.h"

namespace flaxdoor::gateway {

namespace {

constexpr std::string_view group = "gateway.networking.k8s.io";
constexpr std::string_view bundle_version = "gateway.networking.k8s.io/bundle-version";
constexpr std::string_view definition_name = "gatewayclasses.gateway.networking.k8s.io";
constexpr std::array<std::string_view, 5> versions = {"v1.0.", "v1.1.", "v1.2.", "v1.3.", "v1.4."};
constexpr std::size_t max_message_bytes = 1024;  // bytes; the schemas allow 32768

Json condition(const Meta& meta, std::string_view type, std::string_view status, std::string_view reason,
               std::string message) {
    if (message.size() > max_message_bytes) {
        // Doesn't cut inside a UTF-8 character: the server would store a different text, so that the status
        // would differ and be written again and again.
        std::size_t end = max_message_bytes - 3;
        while (end > 0 && (static_cast<unsigned char>(message[end]) & 0xc0) == 0x80) --end;
        message = message.substr(0, end) + "...";
    }
    return {{"type", type},
            {"status", status},
            {"reason", reason},
            {"message", std::move(message)},
            {"observedGeneration", meta.generation}};
}
Json true_condition(const Meta& meta, std::string_view type, std::string_view reason,
                    std::string message = {}) {
    return condition(meta, type, "True", reason, std::move(message));
}
Json false_condition(const Meta& meta, std::string_view type, std::string_view reason, std::string message) {
    return condition(meta, type, "False", reason, std::move(message));
}

std::string problem_texts(const std::vector<Problem>& problems) {
    std::string all;
    for (const Problem& each : problems) all += (all.empty() ? "" : "; ") + each.text();
    return all;
}

// Checks references between namespaces: they need a ReferenceGrant in the target namespace.
struct Grants {
    const Resources& all;

    bool allow(std::string_view from_kind, const std::string& from_namespace, const Reference& to,
               const std::string& to_namespace) const {
        if (from_namespace == to_namespace) return true;
        for (const auto& [key, grant] : all.grants) {
            if (grant->meta.namespace_name != to_namespace) continue;
            const bool from = std::any_of(grant->from.begin(), grant->from.end(), [&](const Reference& f) {
                return f.group == group && f.kind == from_kind && f.namespace_name == from_namespace;
            });
            const bool names_target =
                std::any_of(grant->to.begin(), grant->to.end(), [&](const Reference& t) {
                    return t.group == to.group && t.kind == to.kind && (t.name.empty() || t.name == to.name);
                });
            if (from && names_target) return true;
        }
        return false;
    }
};

// Result of checking one listener of a Gateway.
struct ListenerState {
    const Gateway* gateway = nullptr;
    const ListenerSpec* spec = nullptr;
    std::string refused, refused_message;    // reason and message of Accepted=False; empty: accepted
    std::string conflict, conflict_message;  // reason and message of Conflicted=True
    std::string unresolved, unresolved_message;
    // Why the port can't be opened now. Opening is retried, so that the table includes the listener.
    std::string port_fault;
    Certificate certificate;
    bool takes_routes = true;  // HTTPRoute is one of the allowed kinds
    Json kinds = Json::array();
    std::size_t attached = 0;
    std::vector<routes::Route> routes;

    bool accepted() const { return refused.empty() && conflict.empty(); }
    bool tls() const { return spec->protocol == "HTTPS"; }
    // Returns whether the certificate is available. An unsupported route kind doesn't prevent serving.
    bool has_certificate_if_needed() const { return !tls() || !certificate.certificate.empty(); }
    void refuse(std::string reason, std::string message) {
        if (!refused.empty()) return;
        refused = std::move(reason);
        refused_message = std::move(message);
    }
    void unresolve(std::string reason, std::string message) {
        if (!unresolved.empty()) return;
        unresolved = std::move(reason);
        unresolved_message = std::move(message);
    }
};

// The rules of one route as they are served, and the result of resolving its references.
struct RouteRules {
    std::vector<std::shared_ptr<const routes::Rule>> rules;
    std::string unresolved, unresolved_message;
    std::map<std::string, PoolPlan> pools;  // pools that the rules refer to
    std::size_t dropped = 0;
    bool incompatible = false;
    std::string dropped_message;
};

class Planner {
public:
    Planner(const Resources& resources, const PlanOptions& options)
        : all_(resources), options_(options), grants_{resources} {}

    Plan make_plan() {
        plan_classes();
        plan_listeners();
        for (const auto& [key, route] : all_.http_routes) plan_route(key, *route);
        finish_listeners();
        return std::move(plan_);
    }

private:
    // ---------------------------------------------------------------------------------------------- Classes

    void plan_classes() {
        for (const auto& [key, gateway_class] : all_.classes) {
            if (gateway_class->controller != options_.controller) continue;
            Json conditions = Json::array();
            if (gateway_class->has_parameters) {
                conditions.push_back(false_condition(gateway_class->meta, "Accepted", "InvalidParameters",
                                                     "spec.parametersRef is not supported; leave it out"));
            } else {
                own_classes_.insert(key);
                conditions.push_back(true_condition(gateway_class->meta, "Accepted", "Accepted"));
            }
            conditions.push_back(supported_version(gateway_class->meta));
            plan_.statuses.push_back({KindOf::gateway_class, key, {{"conditions", conditions}}});
        }
    }

    Json supported_version(const Meta& meta) const {
        const Meta* const definition =
            all_.meta(KindOf::custom_resource_definition, std::string(definition_name));
        if (!definition) {
            return condition(meta, "SupportedVersion", "Unknown", "Pending",
                             "the CustomResourceDefinition of GatewayClass has not been seen");
        }
        const auto found = definition->annotations.find(std::string(bundle_version));
        const std::string version =
            found == definition->annotations.end() ? std::string("none") : found->second;
        const bool known = std::any_of(versions.begin(), versions.end(),
                                       [&](std::string_view v) { return version.starts_with(v); });
        if (known) return true_condition(meta, "SupportedVersion", "SupportedVersion");
        return false_condition(meta, "SupportedVersion", "UnsupportedVersion",
                               "the resources are of version " + version +
                                   "; v1.0 to v1.4 are supported, the rest is " + "done as well as can be");
    }

    // -------------------------------------------------------------------------------------------- Listeners

    void plan_listeners() {
        std::vector<const Gateway*> gateways;
        for (const auto& [key, gateway] : all_.gateways) {
            if (own_classes_.contains(gateway->class_name)) gateways.push_back(gateway.get());
        }
        // Conflicts are resolved in favor of the older Gateway.
        std::sort(gateways.begin(), gateways.end(), [](const Gateway* a, const Gateway* b) {
            return std::pair(a->meta.created, a->meta.key()) < std::pair(b->meta.created, b->meta.key());
        });
        for (const Gateway* const gateway : gateways) {
            auto& listeners = listeners_[gateway->meta.key()];
            order_.push_back(gateway->meta.key());
            std::set<std::string> names;
            for (const ListenerSpec& spec : gateway->listeners) {
                if (!names.insert(spec.name).second) continue;
                ListenerState state;
                state.gateway = gateway;
                state.spec = &spec;
                check(state);
                listeners.push_back(std::move(state));
            }
            find_conflicts(listeners);
        }
    }

    void check(ListenerState& state) const {
        const ListenerSpec& spec = *state.spec;
        if (!state.gateway->problems.empty())
            state.refuse("UnsupportedValue", problem_texts(state.gateway->problems));
        if (!spec.problems.empty()) state.refuse("UnsupportedValue", problem_texts(spec.problems));
        if (spec.protocol != "HTTP" && spec.protocol != "HTTPS") {
            state.refuse("UnsupportedProtocol",
                         "protocol is " + spec.protocol + "; HTTP and HTTPS are supported");
            state.takes_routes = false;
        }
        if (spec.protocol == "HTTP" && spec.has_tls)
            state.refuse("UnsupportedValue", "tls is set beside protocol HTTP; leave it out, or use HTTPS");
        if (spec.protocol == "HTTPS") check_tls(state);
        check_kinds(state);
        const auto port = options_.ports.find(spec.port);
        if (port != options_.ports.end() && !port->second.empty())
            state.port_fault = "port " + std::to_string(spec.port) + ": " + port->second;
    }

    void check_kinds(ListenerState& state) const {
        const Json http_route_kind = {{"group", group}, {"kind", "HTTPRoute"}};
        if (!state.takes_routes) return;
        if (state.spec->kinds.empty()) {
            state.kinds.push_back(http_route_kind);
            return;
        }
        state.takes_routes = false;
        for (const Reference& kind : state.spec->kinds) {
            if (kind.group == group && kind.kind == "HTTPRoute") {
                if (!state.takes_routes) state.kinds.push_back(http_route_kind);
                state.takes_routes = true;
            } else {
                state.unresolve("InvalidRouteKinds", "allowedRoutes.kinds holds " + kind.kind +
                                                         ", which is not supported here; use HTTPRoute");
            }
        }
    }

    void check_tls(ListenerState& state) const {
        const ListenerSpec& spec = *state.spec;
        if (!spec.has_tls)
            return state.unresolve("InvalidCertificateRef", "tls is missing; give tls.certificateRefs");
        if (!spec.terminates)
            return state.refuse("UnsupportedValue", "tls.mode is Passthrough; only Terminate is supported");
        if (spec.certificates.empty()) {
            return state.unresolve("InvalidCertificateRef", "tls.certificateRefs is empty; name a Secret");
        }
        const Reference& ref = spec.certificates.front();
        const std::string namespace_name =
            ref.namespace_name.empty() ? state.gateway->meta.namespace_name : ref.namespace_name;
        const std::string prefix = "tls.certificateRefs[0]: ";
        const std::string key = namespace_name + "/" + ref.name;
        if (!ref.group.empty() || ref.kind != "Secret") {
            return state.unresolve("InvalidCertificateRef",
                                   prefix + "kind is " + ref.kind + "; only Secret is supported");
        }
        if (!grants_.allow("Gateway", state.gateway->meta.namespace_name, ref, namespace_name)) {
            return state.unresolve(
                "RefNotPermitted",
                prefix + "Secret " + key + " is in another namespace; add a ReferenceGrant there");
        }
        const auto found = all_.secrets.find(key);
        if (found == all_.secrets.end())
            return state.unresolve("InvalidCertificateRef", prefix + "there is no Secret " + key);
        const Secret& secret = *found->second;
        if (secret.certificate.empty() || secret.key.empty()) {
            return state.unresolve("InvalidCertificateRef",
                                   prefix + "Secret " + key + " has no tls.crt or no tls.key");
        }
        const std::string fault =
            options_.certificate_fault ? options_.certificate_fault(secret.certificate, secret.key) : "";
        if (!fault.empty())
            return state.unresolve("InvalidCertificateRef", prefix + "Secret " + key + ": " + fault);
        state.certificate = {spec.host, secret.certificate, secret.key};
    }

    // Within one Gateway all conflicting listeners are rejected; between Gateways the older one wins.
    void find_conflicts(std::vector<ListenerState>& listeners) {
        for (ListenerState& a : listeners) {
            for (const ListenerState& b : listeners) {
                if (&a == &b || a.spec->port != b.spec->port) continue;
                if (!a.refused.empty() || !b.refused.empty()) continue;
                if (a.spec->protocol != b.spec->protocol) {
                    a.conflict = "ProtocolConflict";
                    a.conflict_message = "listener " + b.spec->name + " has the port with protocol " +
                                         b.spec->protocol + "; use another port";
                } else if (a.spec->host == b.spec->host && a.conflict.empty()) {
                    a.conflict = "HostnameConflict";
                    a.conflict_message = "listener " + b.spec->name +
                                         " has the same port and hostname; use another hostname or port";
                }
            }
        }
        for (ListenerState& a : listeners) {
            if (!a.accepted()) continue;
            const auto port = port_owners_.find(a.spec->port);
            if (port == port_owners_.end()) continue;
            if (port->second.protocol != a.spec->protocol) {
                a.conflict = "ProtocolConflict";
                a.conflict_message = "an older Gateway has the port with protocol " + port->second.protocol;
            } else if (const auto host = port->second.hosts.find(a.spec->host);
                       host != port->second.hosts.end()) {
                a.conflict = "HostnameConflict";
                a.conflict_message =
                    "Gateway " + host->second + ", which is older, has the port and hostname";
            }
        }
        for (const ListenerState& a : listeners) {
            if (!a.accepted()) continue;
            PortOwner& owner = port_owners_[a.spec->port];
            owner.protocol = a.spec->protocol;
            owner.hosts.emplace(a.spec->host, a.gateway->meta.key());
        }
    }

    void finish_listeners() {
        for (const std::string& key : order_) {
            const Gateway& gateway = *all_.gateways.at(key);
            Json listeners = Json::array();
            std::size_t accepted_count = 0, programmed = 0;
            for (ListenerState& state : listeners_.at(key)) {
                accepted_count += state.accepted() && state.port_fault.empty() ? 1 : 0;
                const Json status = listener_status(state);
                programmed += status["conditions"][1]["status"] == "True" ? 1 : 0;
                listeners.push_back(status);
                if (state.accepted() && state.has_certificate_if_needed()) add_to_port(state);
            }
            plan_.statuses.push_back(
                {KindOf::gateway, key,
                 gateway_status(gateway, std::move(listeners), accepted_count, programmed)});
        }
    }

    static Json all_conditions(Json a, Json b, Json c, Json d) { return Json::array({a, b, c, d}); }

    Json listener_status(const ListenerState& state) const {
        const Meta& meta = state.gateway->meta;
        Json accepted = true_condition(meta, "Accepted", "Accepted");
        if (!state.conflict.empty()) {
            accepted = false_condition(meta, "Accepted", state.conflict, state.conflict_message);
        } else if (!state.refused.empty()) {
            accepted = false_condition(meta, "Accepted", state.refused, state.refused_message);
        } else if (!state.port_fault.empty()) {
            accepted = false_condition(meta, "Accepted", "PortUnavailable", state.port_fault);
        }
        Json programmed = true_condition(meta, "Programmed", "Programmed");
        const auto port = options_.ports.find(state.spec->port);
        if (!state.accepted() || !state.has_certificate_if_needed() || !state.port_fault.empty()) {
            programmed = false_condition(meta, "Programmed", "Invalid",
                                         "the listener can't be served; see its other conditions");
        } else if (options_.ports_known && port == options_.ports.end()) {
            programmed = false_condition(meta, "Programmed", "Pending", "the port is not open yet");
        }
        Json resolved = true_condition(meta, "ResolvedRefs", "ResolvedRefs");
        if (!state.unresolved.empty())
            resolved = false_condition(meta, "ResolvedRefs", state.unresolved, state.unresolved_message);
        Json conflicted = state.conflict.empty()
                              ? false_condition(meta, "Conflicted", "NoConflicts", "")
                              : true_condition(meta, "Conflicted", state.conflict, state.conflict_message);
        return {{"name", state.spec->name},
                {"supportedKinds", state.kinds},
                {"attachedRoutes", state.attached},
                {"conditions", all_conditions(std::move(accepted), std::move(programmed), std::move(resolved),
                                              std::move(conflicted))}};
    }

    Json gateway_status(const Gateway& gateway, Json listeners, std::size_t accepted_count,
                        std::size_t programmed) const {
        const Meta& meta = gateway.meta;
        const std::size_t count = listeners.size();
        Json conditions = Json::array();
        std::string foreign, unusable;
        for (const auto& [type, value] : gateway.addresses) {
            if (type != "IPAddress") foreign = "spec.addresses: type " + type + " is not supported";
            if (type == "IPAddress" && !value.empty() &&
                std::find(options_.addresses.begin(), options_.addresses.end(), value) ==
                    options_.addresses.end())
                unusable = "spec.addresses: " + value + " is none of this gateway's";
        }
        if (!foreign.empty()) {
            conditions.push_back(false_condition(meta, "Accepted", "UnsupportedAddress", foreign));
        } else if (accepted_count == count && count > 0) {
            conditions.push_back(true_condition(meta, "Accepted", "Accepted"));
        } else {
            conditions.push_back(
                condition(meta, "Accepted", accepted_count > 0 ? "True" : "False", "ListenersNotValid",
                          std::to_string(count - accepted_count) + " of " + std::to_string(count) +
                              " listeners can't be accepted; see their conditions"));
        }
        if (!unusable.empty()) {
            conditions.push_back(false_condition(meta, "Programmed", "AddressNotUsable", unusable));
        } else if (programmed > 0) {
            conditions.push_back(true_condition(meta, "Programmed", "Programmed"));
        } else {
            conditions.push_back(false_condition(meta, "Programmed",
                                                 accepted_count > 0 ? "Pending" : "Invalid",
                                                 "no listener is in service; see their conditions"));
        }
        if (!options_.held.empty())
            conditions.push_back(
                true_condition(meta, "flaxdoor.dev/ListHeld", "ImplausibleList", options_.held));
        Json addresses = Json::array();
        for (const std::string& each : options_.addresses)
            addresses.push_back({{"type", "IPAddress"}, {"value", each}});
        Json status = {{"conditions", std::move(conditions)}, {"listeners", std::move(listeners)}};
        if (!addresses.empty()) status["addresses"] = std::move(addresses);
        return status;
    }

    void add_to_port(ListenerState& state) {
        PortPlan& port = plan_.ports[state.spec->port];
        port.tls = state.tls();
        if (port.tls) port.certificates.push_back(state.certificate);
        routes::Listener listener;
        listener.name = state.gateway->meta.key() + "/" + state.spec->name;
        listener.host = state.spec->host;
        listener.routes = std::move(state.routes);
        port.table.listeners.push_back(std::move(listener));
    }

    // ----------------------------------------------------------------------------------------------- Routes

    void plan_route(const std::string& key, const HttpRoute& route) {
        Json parents = Json::array();
        std::optional<RouteRules> rules;
        // Listeners to which another parentRef has attached the route.
        std::set<std::pair<std::string, std::string>> counted;
        for (const ParentRef& parent : route.parents) {
            if (parent.to.group != group || parent.to.kind != "Gateway") continue;
            const std::string namespace_name =
                parent.to.namespace_name.empty() ? route.meta.namespace_name : parent.to.namespace_name;
            const auto found = listeners_.find(namespace_name + "/" + parent.to.name);
            if (found == listeners_.end()) continue;
            if (!rules) rules = rules_of(route);
            parents.push_back({{"parentRef", parent.as_written},
                               {"controllerName", options_.controller},
                               {"conditions", attach(route, parent, found->second, *rules, counted)}});
        }
        if (!parents.empty() || has_own_status_entry(route))
            plan_.statuses.push_back({KindOf::http_route, key, {{"parents", std::move(parents)}}});
    }

    bool has_own_status_entry(const HttpRoute& route) const {
        const auto parents = route.status.find("parents");
        if (parents == route.status.end() || !parents->is_array()) return false;
        return std::any_of(parents->begin(), parents->end(), [&](const Json& each) {
            return each.is_object() && each.value("controllerName", Json()) == options_.controller;
        });
    }

    bool allows(const ListenerState& listener, const HttpRoute& route) const {
        if (!listener.takes_routes) return false;
        switch (listener.spec->from) {
            case ListenerSpec::From::all: return true;
            case ListenerSpec::From::same:
                return listener.gateway->meta.namespace_name == route.meta.namespace_name;
            case ListenerSpec::From::none: return false;
            case ListenerSpec::From::selector: break;
        }
        const auto found = all_.namespaces.find(route.meta.namespace_name);
        return found != all_.namespaces.end() && listener.spec->selector.fits(found->second->meta.labels);
    }

    Json attach(const HttpRoute& route, const ParentRef& parent, std::vector<ListenerState>& listeners,
                const RouteRules& rules, std::set<std::pair<std::string, std::string>>& counted) {
        const Meta& meta = route.meta;
        std::size_t matched = 0, allowed = 0, hostname_matched = 0, serving = 0;
        std::string unaccepted_listener;
        const bool route_usable =
            route.problems.empty() && !(rules.dropped > 0 && rules.dropped == route.rules.size());
        for (ListenerState& listener : listeners) {
            if (parent.section && *parent.section != listener.spec->name) continue;
            if (parent.port && *parent.port != listener.spec->port) continue;
            ++matched;
            if (!allows(listener, route)) continue;
            ++allowed;
            const std::pair<std::string, std::string> listener_key(listener.gateway->meta.key(),
                                                                   listener.spec->name);
            const bool first = counted.insert(listener_key).second;
            // attachedRoutes counts the route even if the route or the listener is not accepted.
            listener.attached += first ? 1 : 0;
            std::vector<std::string> hosts;
            if (route.hosts.empty()) hosts.push_back(listener.spec->host);
            for (const std::string& host : route.hosts) {
                if (auto common = intersection(listener.spec->host, host))
                    hosts.push_back(std::move(*common));
            }
            if (hosts.empty()) continue;
            ++hostname_matched;
            if (!listener.accepted()) {
                unaccepted_listener = listener.spec->name;
                continue;
            }
            ++serving;
            if (!route_usable || !first) continue;
            routes::Route served_route;
            served_route.name = meta.key();
            served_route.created = meta.created;
            served_route.hosts = std::move(hosts);
            served_route.rules = rules.rules;
            listener.routes.push_back(std::move(served_route));
            for (const auto& [key, rule_pool] : rules.pools) {
                PoolPlan& pool = plan_.pools[key];
                pool.service = rule_pool.service;
                pool.port_name = rule_pool.port_name;
                pool.classes.insert(rule_pool.classes.begin(), rule_pool.classes.end());
            }
        }
        Json conditions = Json::array();
        if (matched == 0) {
            conditions.push_back(
                false_condition(meta, "Accepted", "NoMatchingParent",
                                "parentRefs: the Gateway has no listener of that sectionName and port"));
        } else if (allowed == 0) {
            conditions.push_back(false_condition(
                meta, "Accepted", "NotAllowedByListeners",
                "the listeners' allowedRoutes do not allow HTTPRoutes of namespace " + meta.namespace_name));
        } else if (!route.problems.empty()) {
            conditions.push_back(
                false_condition(meta, "Accepted", "UnsupportedValue", problem_texts(route.problems)));
        } else if (hostname_matched == 0) {
            conditions.push_back(false_condition(meta, "Accepted", "NoMatchingListenerHostname",
                                                 "spec.hostnames: none is one of the listeners'"));
        } else if (!route_usable) {
            conditions.push_back(false_condition(
                meta, "Accepted", rules.incompatible ? "IncompatibleFilters" : "UnsupportedValue",
                rules.dropped_message));
        } else if (serving == 0) {
            conditions.push_back(false_condition(meta, "Accepted", "NoMatchingParent",
                                                 "listener " + unaccepted_listener +
                                                     " would take it, but is not accepted; " +
                                                     "see the Gateway's status"));
        } else {
            conditions.push_back(true_condition(meta, "Accepted", "Accepted"));
        }
        if (rules.unresolved.empty()) {
            conditions.push_back(true_condition(meta, "ResolvedRefs", "ResolvedRefs"));
        } else {
            conditions.push_back(
                false_condition(meta, "ResolvedRefs", rules.unresolved, rules.unresolved_message));
        }
        if (route_usable && rules.dropped > 0) {
            conditions.push_back(true_condition(
                meta, "PartiallyInvalid", "UnsupportedValue",
                "Dropped Rule: " + rules.dropped_message + ". What it matches is answered 500"));
        }
        if (route.has_class || !route.class_problems.empty()) {
            conditions.push_back(
                route.class_problems.empty()
                    ? true_condition(meta, "flaxdoor.dev/ClassResolved", "Resolved")
                    : false_condition(meta, "flaxdoor.dev/ClassResolved", "InvalidAnnotation",
                                      problem_texts(route.class_problems) + ". It counts as not there"));
        }
        return conditions;
    }

    RouteRules rules_of(const HttpRoute& route) {
        RouteRules out;
        bool all_incompatible = true;
        for (std::size_t i = 0; i < route.rules.size(); ++i) {
            const RuleSpec& spec = route.rules[i];
            auto rule = std::make_shared<routes::Rule>(spec.rule);
            if (!spec.problems.empty()) {
                ++out.dropped;
                all_incompatible &= spec.incompatible;
                const std::string problem_text = problem_texts(spec.problems);
                out.dropped_message += (out.dropped_message.empty() ? "" : "; ") + problem_text;
                if (spec.has_matches && spec.readable.empty()) continue;
                routes::Rule dropped;
                dropped.matches = spec.readable;
                dropped.status = 500;
                dropped.why = problem_text;
                out.rules.push_back(std::make_shared<const routes::Rule>(std::move(dropped)));
                continue;
            }
            set_class(route, *rule);
            for (const BackendRef& backend : spec.backends)
                rule->backends.push_back(resolve(route, backend, *rule, out));
            out.rules.push_back(std::move(rule));
        }
        out.incompatible = out.dropped > 0 && all_incompatible;
        return out;
    }

    void set_class(const HttpRoute& route, routes::Rule& rule) const {
        routes::CallClass& call = rule.call;
        call = route.call;
        if (call.deadline == Micros{0}) call.deadline = std::max(options_.deadline, rule.request_timeout);
        if (call.aim == Micros{0}) call.aim = options_.aim;
        call.aim = std::min(call.aim, call.deadline);
        if (call.window == Micros{0}) call.window = options_.key_window;
        const auto attempts = rule.retries.attempts;
        rule.retries = route.retries;
        if (attempts) rule.retries.attempts = std::min(*attempts, rule.retries.attempts.value_or(*attempts));
    }

    routes::Backend resolve(const HttpRoute& route, const BackendRef& ref, const routes::Rule& rule,
                            RouteRules& out) {
        routes::Backend backend;
        backend.weight = ref.weight;
        backend.request = ref.request;
        backend.response = ref.response;
        const auto wrong = [&](const char* reason, const std::string& message) {
            if (out.unresolved.empty()) {
                out.unresolved = reason;
                out.unresolved_message = ref.field + ": " + message;
            }
            backend.status = 500;
            return backend;
        };
        if (!ref.to.group.empty() || ref.to.kind != "Service") {
            return wrong("InvalidKind", "kind is " + ref.to.group + (ref.to.group.empty() ? "" : "/") +
                                            ref.to.kind + "; only Service is supported");
        }
        const std::string namespace_name =
            ref.to.namespace_name.empty() ? route.meta.namespace_name : ref.to.namespace_name;
        const std::string key = namespace_name + "/" + ref.to.name;
        if (!grants_.allow("HTTPRoute", route.meta.namespace_name, ref.to, namespace_name)) {
            return wrong("RefNotPermitted",
                         "Service " + key + " is in another namespace; add a ReferenceGrant there");
        }
        const auto found = all_.services.find(key);
        if (found == all_.services.end()) return wrong("BackendNotFound", "there is no Service " + key);
        const Service& service = *found->second;
        if (!ref.port) return wrong("BackendNotFound", "port is missing; give a port of Service " + key);
        const auto port = std::find_if(service.ports.begin(), service.ports.end(),
                                       [&](const Service::Port& p) { return p.port == *ref.port; });
        if (port == service.ports.end()) {
            return wrong("BackendNotFound", "Service " + key + " has no port " + std::to_string(*ref.port));
        }
        if (service.type == "ExternalName")
            return wrong("BackendNotFound", "Service " + key + " is an ExternalName, which has no endpoints");
        static constexpr std::array<std::string_view, 3> known = {"", "http", "kubernetes.io/http"};
        if (port->protocol != "TCP" ||
            std::find(known.begin(), known.end(), port->app_protocol) == known.end()) {
            return wrong("UnsupportedProtocol", "port " + std::to_string(*ref.port) + " of Service " + key +
                                                    " is not for HTTP/1.1 over TCP (appProtocol " +
                                                    port->app_protocol + ")");
        }
        backend.pool = key + ":" + std::to_string(*ref.port);
        PoolPlan& pool = out.pools[backend.pool];
        pool.service = key;
        pool.port_name = port->name;
        add_classes(rule.call, pool);
        return backend;
    }

    static void add_classes(const routes::CallClass& call, PoolPlan& pool) {
        using Kind = routes::CallClass::Kind;
        const auto add = [&](Kind kind) {
            routes::CallClass each = call;
            each.kind = kind;
            if (kind != Kind::keyed) each.window = Micros{0};
            pool.classes.insert(each);
        };
        if (call.kind != Kind::safe) add(Kind::unsafe);
        if (call.kind == Kind::safe || call.kind == Kind::by_method) add(Kind::safe);
        if (call.kind == Kind::keyed) add(Kind::keyed);
    }

    struct PortOwner {
        std::string protocol;
        std::map<std::string, std::string> hosts;  // host to the Gateway that has it
    };

    const Resources& all_;
    const PlanOptions& options_;
    const Grants grants_;
    std::set<std::string> own_classes_;  // accepted GatewayClasses of this controller
    std::map<std::string, std::vector<ListenerState>> listeners_;  // by Gateway
    std::vector<std::string> order_;                               // keys of Gateways, by age
    std::map<std::uint16_t, PortOwner> port_owners_;
    Plan plan_;
};

}  // namespace

Plan plan(const Resources& resources, const PlanOptions& options) {
    return Planner(resources, options).make_plan();
}

std::string pod_of(const EndpointSlice::Endpoint& endpoint) {
    return (endpoint.uid.empty() ? endpoint.pod : endpoint.uid) + "@" + endpoint.address;
}

std::vector<PoolEndpoint> endpoints_of(const Resources& resources, const PoolPlan& pool) {
    std::map<std::string, PoolEndpoint> found;
    const auto slices = resources.slices_of.find(pool.service);
    if (slices == resources.slices_of.end() || !resources.services.contains(pool.service)) return {};
    for (const auto& [key, slice] : slices->second) {
        if (!slice->ipv4) continue;
        for (const EndpointSlice::Port& port : slice->ports) {
            if (port.name != pool.port_name) continue;
            for (const EndpointSlice::Endpoint& each : slice->endpoints) {
                if (!each.ready && !each.terminating) continue;
                PoolEndpoint endpoint;
                endpoint.address = each.address + ":" + std::to_string(port.port);
                endpoint.pod = pod_of(each);
                endpoint.id = endpoint.pod + ":" + std::to_string(port.port);
                endpoint.name = each.pod.empty() ? endpoint.address : each.pod;
                endpoint.zone = each.zone;
                endpoint.draining = each.terminating;
                const auto [place, added] = found.emplace(endpoint.id, endpoint);
                if (!added) place->second.draining |= endpoint.draining;
            }
        }
    }
    std::vector<PoolEndpoint> out;
    out.reserve(found.size());
    for (auto& [id, endpoint] : found) out.push_back(std::move(endpoint));
    return out;
}

std::optional<std::string> intersection(const std::string& listener, const std::string& route) {
    if (listener.empty() || listener == route) return route;
    if (route.empty()) return listener;
    if (routes::host_matches(listener, route)) return route;  // also if `route` is a narrower wildcard
    if (routes::host_matches(route, listener)) return listener;
    return std::nullopt;
}

}  // namespace flaxdoor::gateway
