// Statuses as the specification requires them, and the routes that are served.
#include "gateway/plan.h"

#include <gtest/gtest.h>

#include <map>

#include "routes/table.h"
#include "standins/kube_api.h"
#include "words.h"

namespace flaxdoor::gateway {
namespace {

using namespace test;

struct World {
    explicit World(const std::string& yaml) { add(yaml); }
    void add(const std::string& yaml) {
        for (const Json& object : standins::documents_of(yaml)) {
            const Touched touched = resources.put(*kind_named(object["kind"].get<std::string>()), object);
            EXPECT_EQ(touched.refused, "");
        }
    }
    void make() {
        current_plan = plan(resources, options);
        statuses.clear();
        for (const auto& each : current_plan.statuses) statuses[{each.kind, each.key}] = each.status;
    }
    // Returns conditions as text. A type alone is True with the reason of the same name; any other reason
    // follows in parentheses. Conflicted=False is omitted.
    static std::string conditions_text(const Json& conditions) {
        std::string out;
        for (const Json& each : conditions) {
            const std::string type = each["type"], status = each["status"], reason = each["reason"];
            if (reason == "NoConflicts" && status == "False") continue;
            out += (out.empty() ? "" : ", ") + (status == "True" ? "" : status + " ") + type +
                   (reason == type ? "" : " (" + reason + ")");
        }
        return out;
    }
    const Json& parents(const std::string& route) {
        return statuses.at({KindOf::http_route, route})["parents"];
    }
    std::string route(const std::string& key = "booking/r", std::size_t parent = 0) {
        make();
        return parents(key).size() > parent ? conditions_text(parents(key)[parent]["conditions"])
                                            : "no parent";
    }
    std::string message(const std::string& type) {
        make();
        for (const Json& each : parents("booking/r")[0]["conditions"]) {
            if (each["type"] == type) return each["message"];
        }
        return "";
    }
    const Json& gateway_status(const std::string& key = "booking/front") {
        make();
        return statuses.at({KindOf::gateway, key});
    }
    std::string gateway() { return conditions_text(gateway_status()["conditions"]); }
    // Returns the conditions of a listener, its number of attached routes, and its supported kinds.
    std::string listener(std::size_t number, const std::string& key = "booking/front") {
        const Json& listener_status = gateway_status(key)["listeners"][number];
        std::string kinds;
        for (const Json& each : listener_status["supportedKinds"])
            kinds += " " + each["kind"].get<std::string>();
        return conditions_text(listener_status["conditions"]) + "; " +
               listener_status["attachedRoutes"].dump() + kinds;
    }
    std::string gateway_class() {
        make();
        return conditions_text(statuses.at({KindOf::gateway_class, "flaxdoor"})["conditions"]);
    }
    const routes::Rule& rule() { return *current_plan.ports.at(80).table.listeners[0].routes[0].rules[0]; }
    // Returns the destination of a request: a pool, "500", "404", "redirect" or "closed".
    std::string to(const std::string& host, const std::string& path, std::uint16_t port = 80) {
        make();
        if (!current_plan.ports.contains(port)) return "closed";
        const auto built = routes::Table::build(current_plan.ports.at(port).table);
        const auto& table = *std::get<std::shared_ptr<const routes::Table>>(built);
        const http::Fields none;
        const auto target = routes::split_target(path);
        const auto hit = table.match({"GET", host, target.path, target.query, &none});
        if (!hit.rule) return "404";
        if (hit.rule->status) return std::to_string(*hit.rule->status);
        if (hit.rule->redirect) return "redirect";
        const auto* backend = routes::choose(*hit.rule, 0);
        if (!backend) return "500";
        return backend->pool.empty() ? std::to_string(backend->status) : backend->pool;
    }

    Resources resources;
    PlanOptions options = [] {
        PlanOptions plan_options;
        plan_options.ports_known = false;
        return plan_options;
    }();
    Plan current_plan;
    std::map<std::pair<KindOf, std::string>, Json> statuses;
};

std::string plain() { return class_and_gateway() + service("a") + http_route("r", to_service("a")); }

std::string grant(const std::string& from, const std::string& to) {
    return "kind: ReferenceGrant\nmetadata: {name: g, namespace: far}\nspec: {from: [{group: "
           "gateway.networking.k8s.io, " +
           from + "}], to: [{group: \"\", " + to + "}]}\n";
}

std::string crd(const std::string& version) {
    return "apiVersion: apiextensions.k8s.io/v1\nkind: CustomResourceDefinition\nmetadata: {name: "
           "gatewayclasses.gateway.networking.k8s.io, annotations: "
           "{gateway.networking.k8s.io/bundle-version: " +
           version + "}}\n---\n";
}

// ------------------------------------------------------------------------------------------- GatewayClass

TEST(PlanClass, AcceptedAndSupportedVersion) {
    World world(plain());
    EXPECT_EQ(world.gateway_class(), "Accepted, Unknown SupportedVersion (Pending)");
    world.add(crd("v1.2.1"));
    EXPECT_EQ(world.gateway_class(), "Accepted, SupportedVersion");
    world.add(crd("v2.0.0"));
    EXPECT_EQ(world.gateway_class(), "Accepted, False SupportedVersion (UnsupportedVersion)");
    EXPECT_EQ(world.to("h", "/"), "booking/a:80") << "best effort";
    world.add(
        "kind: GatewayClass\nmetadata: {name: flaxdoor}\nspec: {controllerName: flaxdoor.dev/gateway, "
        "parametersRef: {group: x, kind: Y, name: z}}\n");
    EXPECT_EQ(world.gateway_class(),
              "False Accepted (InvalidParameters), False SupportedVersion (UnsupportedVersion)");
    EXPECT_EQ(world.to("h", "/"), "closed");
}

TEST(PlanClass, IgnoresClassesOfOtherControllers) {
    World world(
        "kind: GatewayClass\nmetadata: {name: flaxdoor}\nspec: {controllerName: other.example/x}\n---\n" +
        plain().substr(plain().find("---\n") + 4));
    world.make();
    EXPECT_TRUE(world.current_plan.statuses.empty());
    EXPECT_TRUE(world.current_plan.ports.empty());
}

// ------------------------------------------------------------------------------------------------ Gateway

// Conditions of a valid listener, an invalid one, one without certificate, and one with a hostname conflict.
const std::string valid = "Accepted, Programmed, ResolvedRefs; ";
const std::string invalid = ", False Programmed (Invalid), ResolvedRefs; ";
const std::string no_certificate =
    "Accepted, False Programmed (Invalid), False ResolvedRefs (InvalidCertificateRef); 0 HTTPRoute";
const std::string same_host =
    "False Accepted (HostnameConflict), False Programmed (Invalid), ResolvedRefs, Conflicted "
    "(HostnameConflict); ";

TEST(PlanGateway, Valid) {
    World world(plain());
    EXPECT_EQ(world.gateway(), "Accepted, Programmed");
    EXPECT_EQ(world.listener(0), valid + "1 HTTPRoute");
    const Json& listener = world.gateway_status()["listeners"][0];
    EXPECT_EQ(listener["supportedKinds"],
              Json::parse(R"([{"group":"gateway.networking.k8s.io","kind":"HTTPRoute"}])"));
    EXPECT_EQ(listener["conditions"][0]["observedGeneration"], 0);
}

TEST(PlanGateway, APortThatIsNotOpenYetAndOneThatCantBeOpened) {
    World world(plain());
    world.options.ports_known = true;
    EXPECT_EQ(world.listener(0), "Accepted, False Programmed (Pending), ResolvedRefs; 1 HTTPRoute");
    EXPECT_EQ(world.gateway(), "Accepted, False Programmed (Pending)");
    world.options.ports = {{80, "address in use"}};
    EXPECT_EQ(world.listener(0), "False Accepted (PortUnavailable)" + invalid + "1 HTTPRoute");
    EXPECT_EQ(world.gateway(), "False Accepted (ListenersNotValid), False Programmed (Invalid)");
    EXPECT_EQ(world.to("h", "/"), "booking/a:80") << "opening the port is retried";
    world.options.ports = {{80, ""}};
    EXPECT_EQ(world.listener(0), valid + "1 HTTPRoute");
}

TEST(PlanGateway, UnsupportedProtocols) {
    for (const char* protocol : {"TCP", "UDP", "TLS", "example.com/x"}) {
        World world(class_and_gateway("    - {name: x, port: 80, protocol: " + std::string(protocol) +
                                      "}\n    - {name: http, port: 81, protocol: HTTP}\n"));
        EXPECT_EQ(world.listener(0), "False Accepted (UnsupportedProtocol)" + invalid + "0") << protocol;
        EXPECT_EQ(world.gateway(), "Accepted (ListenersNotValid), Programmed") << "the other is valid";
    }
}

TEST(PlanGateway, UnsupportedKinds) {
    World world(
        class_and_gateway("    - {name: a, port: 80, protocol: HTTP, allowedRoutes: {kinds: [{kind: "
                          "GRPCRoute}, {kind: HTTPRoute}]}}\n    - {name: b, port: 81, protocol: HTTP, "
                          "allowedRoutes: {kinds: [{kind: TCPRoute}]}}\n") +
        service("a") + http_route("r", to_service("a")));
    const std::string some = "Accepted, Programmed, False ResolvedRefs (InvalidRouteKinds); ";
    EXPECT_EQ(world.listener(0), some + "1 HTTPRoute");
    EXPECT_EQ(world.listener(1), some + "0");
}

TEST(PlanGateway, ConflictsRejectAllListenersOfOneGatewayButFavorTheOlderGateway) {
    World world(class_and_gateway(
        "    - {name: a, port: 80, protocol: HTTP, hostname: x.example}\n"
        "    - {name: b, port: 80, protocol: HTTP, hostname: x.example}\n"
        "    - {name: c, port: 80, protocol: HTTP}\n"
        "    - {name: d, port: 81, protocol: HTTP}\n"
        "    - {name: e, port: 81, protocol: HTTPS, tls: {certificateRefs: [{name: s}]}}\n"));
    for (const std::size_t i : {0U, 1U}) EXPECT_EQ(world.listener(i), same_host + "0 HTTPRoute");
    EXPECT_EQ(world.listener(2), valid + "0 HTTPRoute");
    for (const std::size_t i : {3U, 4U})
        EXPECT_NE(world.listener(i).find(", Conflicted (ProtocolConflict)"), std::string::npos);
    world.add(
        "kind: Gateway\nmetadata: {name: second, namespace: booking, creationTimestamp: "
        "\"2026-02-01T00:00:00Z\"}\nspec: {gatewayClassName: flaxdoor, listeners: [{name: h, port: 80, "
        "protocol: HTTP}, {name: i, port: 80, protocol: HTTP, hostname: y.example}]}\n");
    EXPECT_EQ(world.listener(0, "booking/second"), same_host + "0 HTTPRoute");
    EXPECT_EQ(world.listener(1, "booking/second"), valid + "0 HTTPRoute");
}

TEST(PlanGateway, SupportsOnlyItsOwnAddresses) {
    World world(class_and_gateway());
    world.options.addresses = {"192.0.2.1"};
    EXPECT_EQ(world.gateway_status()["addresses"],
              Json::parse(R"([{"type":"IPAddress","value":"192.0.2.1"}])"));
    const auto with = [&](const std::string& addresses) {
        world.add(
            "kind: Gateway\nmetadata: {name: front, namespace: booking}\nspec: {gatewayClassName: flaxdoor, "
            "addresses: [" +
            addresses + "], listeners: [{name: http, port: 80, protocol: HTTP}]}\n");
    };
    with("{type: IPAddress, value: 192.0.2.9}");
    EXPECT_EQ(world.gateway(), "Accepted, False Programmed (AddressNotUsable)");
    with("{type: Hostname, value: x.example}");
    EXPECT_EQ(world.gateway(), "False Accepted (UnsupportedAddress), Programmed");
    with("{type: IPAddress, value: 192.0.2.1}");
    EXPECT_EQ(world.gateway(), "Accepted, Programmed");
}

TEST(PlanGateway, CertificatesOfListeners) {
    const std::string https =
        "    - {name: s, port: 443, protocol: HTTPS, hostname: a.example, tls: "
        "{certificateRefs: [{name: cert}]}}\n";
    World world(class_and_gateway(https));
    world.options.certificate_fault = [](const std::string& certificate, const std::string&) {
        return certificate == "bad" ? "no certificate can be read" : "";
    };
    const auto secret = [](const std::string& space, const std::string& certificate) {
        return "kind: Secret\nmetadata: {name: cert, namespace: " + space +
               "}\ntype: kubernetes.io/tls\ndata: {tls.crt: " + certificate + ", tls.key: a2V5}\n";
    };
    EXPECT_EQ(world.listener(0), no_certificate);
    EXPECT_EQ(world.to("a.example", "/", 443), "closed");
    world.add(secret("booking", "YmFk"));
    EXPECT_EQ(world.listener(0), no_certificate);
    world.add(secret("booking", "Z29vZA=="));
    EXPECT_EQ(world.listener(0), valid + "0 HTTPRoute");
    ASSERT_EQ(world.current_plan.ports.at(443).certificates.size(), 1U);
    EXPECT_EQ(world.current_plan.ports.at(443).certificates[0].certificate, "good");
    // A Secret in another namespace needs a ReferenceGrant there.
    World far(
        class_and_gateway("    - {name: s, port: 443, protocol: HTTPS, tls: {certificateRefs: [{name: cert, "
                          "namespace: far}]}}\n"));
    far.add(secret("far", "Z29vZA=="));
    EXPECT_EQ(far.listener(0),
              "Accepted, False Programmed (Invalid), False ResolvedRefs (RefNotPermitted); 0 HTTPRoute");
    far.add(grant("kind: Gateway, namespace: booking", "kind: Secret"));
    EXPECT_EQ(far.listener(0), valid + "0 HTTPRoute");
}

TEST(PlanGateway, UnsupportedTlsSettings) {
    World world(
        class_and_gateway("    - {name: a, port: 443, protocol: HTTPS, tls: {mode: Passthrough}}\n"
                          "    - {name: b, port: 444, protocol: HTTPS}\n"
                          "    - {name: c, port: 445, protocol: HTTP, tls: {certificateRefs: [{name: x}]}}\n"
                          "    - {name: d, port: 446, protocol: HTTPS, tls: {certificateRefs: [{kind: "
                          "ConfigMap, name: x}]}}\n"));
    for (const std::size_t i : {0U, 2U})
        EXPECT_EQ(world.listener(i), "False Accepted (UnsupportedValue)" + invalid + "0 HTTPRoute");
    for (const std::size_t i : {1U, 3U}) EXPECT_EQ(world.listener(i), no_certificate);
}

// ---------------------------------------------------------------------------------------------- HTTPRoute

TEST(PlanRoute, Valid) {
    World world(plain());
    EXPECT_EQ(world.route(), "Accepted, ResolvedRefs");
    EXPECT_EQ(world.parents("booking/r")[0]["controllerName"], "flaxdoor.dev/gateway");
    EXPECT_EQ(world.parents("booking/r")[0]["parentRef"],
              Json::parse(R"({"name":"front","namespace":"booking"})"));
}

TEST(PlanRoute, ForeignAndNonMatchingParents) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r", to_service("a"), "", "booking",
                   "[{name: front, sectionName: none}, {name: front, port: 81}, {name: other}, {kind: "
                   "Service, group: \"\", name: a}, {name: front, sectionName: http, port: 80}]"));
    EXPECT_EQ(world.route("booking/r", 0), "False Accepted (NoMatchingParent), ResolvedRefs");
    EXPECT_EQ(world.route("booking/r", 1), "False Accepted (NoMatchingParent), ResolvedRefs");
    EXPECT_EQ(world.route("booking/r", 2), "Accepted, ResolvedRefs");
    EXPECT_EQ(world.route("booking/r", 3), "no parent");
    EXPECT_EQ(world.listener(0), valid + "1 HTTPRoute");
}

TEST(PlanRoute, NamespacesThatAListenerAllows) {
    const auto gateway = [](const std::string& from) {
        return class_and_gateway("    - {name: http, port: 80, protocol: HTTP, allowedRoutes: {namespaces: " +
                                 from + "}}\n") +
               service("a", "far") +
               "kind: Namespace\nmetadata: {name: far, labels: {team: x, env: prod}}\n---\n" +
               http_route("r", to_service("a"), "", "far");
    };
    const std::pair<const char*, bool> lines[] = {
        {"{from: Same}", false},
        {"{from: All}", true},
        {"{from: None}", false},
        {"{from: Selector, selector: {matchLabels: {team: x}}}", true},
        {"{from: Selector, selector: {matchLabels: {team: y}}}", false},
        {"{from: Selector, selector: {matchExpressions: [{key: env, operator: In, values: [prod, test]}, "
         "{key: "
         "team, operator: Exists}, {key: old, operator: DoesNotExist}, {key: env, operator: NotIn, values: "
         "[dev]}]}}",
         true}};
    for (const auto& [from, allowed] : lines) {
        EXPECT_EQ(World(gateway(from)).route("far/r"),
                  allowed ? "Accepted, ResolvedRefs" : "False Accepted (NotAllowedByListeners), ResolvedRefs")
            << from;
    }
}

TEST(PlanRoute, HostnamesIntersect) {
    struct Line {
        const char *listener, *route, *expected;  // the intersection; "-": empty
    };
    const Line lines[] = {{"", "", ""},
                          {"", "a.example", "a.example"},
                          {"a.example", "", "a.example"},
                          {"a.example", "a.example", "a.example"},
                          {"a.example", "b.example", "-"},
                          {"*.example", "a.example", "a.example"},
                          {"*.example", "a.b.example", "a.b.example"},
                          {"*.example", "example", "-"},
                          {"a.example", "*.example", "a.example"},
                          {"*.example", "*.a.example", "*.a.example"},
                          {"*.a.example", "*.example", "*.a.example"},
                          {"*.a.example", "*.b.example", "-"}};
    for (const Line& line : lines) {
        EXPECT_EQ(intersection(line.listener, line.route).value_or("-"), line.expected)
            << line.listener << " and " << line.route;
    }
    World world(class_and_gateway("    - {name: http, port: 80, protocol: HTTP, hostname: \"*.example\"}\n") +
                service("a") + http_route("r", to_service("a") + "  hostnames: [other.test]\n"));
    EXPECT_EQ(world.route(), "False Accepted (NoMatchingListenerHostname), ResolvedRefs");
    world.add(http_route("r", to_service("a") + "  hostnames: [other.test, x.example]\n"));
    EXPECT_EQ(world.route(), "Accepted, ResolvedRefs");
    EXPECT_EQ(world.to("x.example", "/"), "booking/a:80");
    EXPECT_EQ(world.to("y.example", "/"), "404");
}

TEST(PlanRoute, InvalidBackendsGet500ForTheirWeight) {
    const auto with = [](const std::string& backend, const std::string& service_spec = "") {
        return class_and_gateway() + service("a") +
               (service_spec.empty() ? ""
                                     : "kind: Service\nmetadata: {name: a, namespace: booking}\nspec: {" +
                                           service_spec + "}\n---\n") +
               http_route("r", "    - backendRefs: [" + backend + "]\n");
    };
    struct Line {
        const char *backend, *service, *reason;
    };
    const Line lines[] = {
        {"{name: none, port: 80}", "", "BackendNotFound"},
        {"{name: a}", "", "BackendNotFound"},
        {"{name: a, port: 81}", "", "BackendNotFound"},
        {"{name: a, port: 80, kind: Bucket, group: x.example}", "", "InvalidKind"},
        {"{name: a, port: 80, namespace: far}", "", "RefNotPermitted"},
        {"{name: a, port: 80}", "type: ExternalName, externalName: x.example, ports: [{port: 80}]",
         "BackendNotFound"},
        {"{name: a, port: 80}", "ports: [{port: 80, appProtocol: kubernetes.io/h2c}]", "UnsupportedProtocol"},
        {"{name: a, port: 80}", "ports: [{port: 80, protocol: UDP}]", "UnsupportedProtocol"}};
    for (const Line& line : lines) {
        World world(with(line.backend, line.service));
        EXPECT_EQ(world.route(), "Accepted, False ResolvedRefs (" + std::string(line.reason) + ")")
            << line.backend << line.service;
        EXPECT_EQ(world.to("h", "/"), "500") << line.backend << line.service;
        EXPECT_NE(world.message("ResolvedRefs").find("spec.rules[0].backendRefs[0]"), std::string::npos);
    }
    World shares(with("{name: a, port: 80, weight: 9}, {name: none, port: 80, weight: 1}"));
    shares.make();
    EXPECT_EQ(routes::choose(shares.rule(), 0.89)->pool, "booking/a:80");
    EXPECT_EQ(routes::choose(shares.rule(), 0.91)->status, 500);
    World none(class_and_gateway() + http_route("r", "    - {}\n"));
    EXPECT_EQ(none.to("h", "/"), "500") << "a rule without backends";
}

TEST(PlanRoute, AGrantAppliesToItsKindsNamespaceAndName) {
    struct Line {
        const char *from, *to, *expected;
    };
    const Line lines[] = {{"kind: HTTPRoute, namespace: booking", "kind: Service", "far/a:80"},
                          {"kind: HTTPRoute, namespace: booking", "kind: Service, name: a", "far/a:80"},
                          {"kind: HTTPRoute, namespace: booking", "kind: Service, name: b", "500"},
                          {"kind: HTTPRoute, namespace: booking", "kind: Secret", "500"},
                          {"kind: HTTPRoute, namespace: x", "kind: Service", "500"},
                          {"kind: Gateway, namespace: booking", "kind: Service", "500"}};
    for (const Line& line : lines) {
        World world(class_and_gateway() + service("a", "far") +
                    http_route("r", "    - backendRefs: [{name: a, namespace: far, port: 80}]\n") +
                    grant(line.from, line.to));
        EXPECT_EQ(world.to("h", "/"), line.expected) << line.from << " to " << line.to;
    }
}

TEST(PlanRoute, AnInvalidRuleIsDroppedAndItsMatchesGet500) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r", to_service("a", "{path: {value: /good}}") +
                            "    - matches: [{path: {value: /bad}}]\n      filters: [{type: Unknown}]\n"
                            "      backendRefs: [{name: a, port: 80}]\n") +
        http_route("wide", to_service("a")));
    EXPECT_EQ(world.route(), "Accepted, ResolvedRefs, PartiallyInvalid (UnsupportedValue)");
    EXPECT_EQ(world.message("PartiallyInvalid").substr(0, 12), "Dropped Rule");
    EXPECT_EQ(world.to("h", "/good"), "booking/a:80");
    EXPECT_EQ(world.to("h", "/bad"), "500") << "must not bypass the filters of the dropped rule";
    EXPECT_EQ(world.to("h", "/other"), "booking/a:80");
}

TEST(PlanRoute, AllRulesAreInvalid) {
    const std::string backend = "backendRefs: [{name: a, port: 80}]";
    const std::string redirect = "{type: RequestRedirect, requestRedirect: {}}";
    const std::pair<std::string, const char*> lines[] = {
        {"matches: [{path: {type: RegularExpression, value: \"(\"}}]", "UnsupportedValue"},
        {"filters: [" + redirect + ", {type: URLRewrite, urlRewrite: {hostname: x}}]", "IncompatibleFilters"},
        {"filters: [" + redirect + "]\n      " + backend, "IncompatibleFilters"},
        {backend + "\n      timeouts: {request: 1s, backendRequest: 2s}", "UnsupportedValue"},
        {backend + "\n      timeouts: {request: 1 s}", "UnsupportedValue"},
        {backend + "\n      retry: {codes: [500]}", "UnsupportedValue"},
        {backend + "\n      retry: {backoff: 1s}", "UnsupportedValue"},
        {backend + "\n      sessionPersistence: {}", "UnsupportedValue"}};
    for (const auto& [rule, reason] : lines) {
        World world(class_and_gateway() + service("a") + http_route("r", "    - " + rule + "\n"));
        EXPECT_EQ(world.route(), "False Accepted (" + std::string(reason) + "), ResolvedRefs") << rule;
        EXPECT_EQ(world.to("h", "/"), "404") << rule;
    }
}

TEST(PlanRoute, TheMatchingListenerIsNotAccepted) {
    World world(
        class_and_gateway("    - {name: a, port: 80, protocol: HTTP}\n    - {name: b, port: 80, protocol: "
                          "HTTP}\n") +
        service("a") + http_route("r", to_service("a")));
    EXPECT_EQ(world.route(), "False Accepted (NoMatchingParent), ResolvedRefs");
    EXPECT_EQ(world.listener(0), same_host + "1 HTTPRoute")
        << "counted although the listener is not accepted";
}

TEST(PlanRoute, AnnotationsSetTheClassAndInvalidOnesLeaveItUnsafe) {
    const auto world_of = [](const std::string& annotations) {
        World world(class_and_gateway() + service("a") +
                    http_route("r", to_service("a"), ", annotations: {" + annotations + "}"));
        world.make();
        return world;
    };
    using Kind = routes::CallClass::Kind;
    const std::string resolved = ", flaxdoor.dev/ClassResolved (Resolved)";
    const std::string invalid_annotation = ", False flaxdoor.dev/ClassResolved (InvalidAnnotation)";
    const std::tuple<const char*, Kind, std::string> lines[] = {
        {"", Kind::unsafe, ""},
        {"flaxdoor.dev/effect: safe", Kind::safe, resolved},
        {"flaxdoor.dev/effect: by-method", Kind::by_method, resolved},
        {"flaxdoor.dev/effect: sfe", Kind::unsafe, invalid_annotation},
        {"flaxdoor.dev/efect: safe", Kind::unsafe, invalid_annotation}};
    for (const auto& [annotations, kind, class_condition] : lines) {
        World world = world_of(annotations);
        EXPECT_EQ(world.rule().call.kind, kind) << annotations;
        EXPECT_EQ(world.route(), "Accepted, ResolvedRefs" + class_condition) << annotations;
    }
    World all = world_of(
        "flaxdoor.dev/effect: keyed, flaxdoor.dev/key-window: 1m, flaxdoor.dev/aim: 200ms, "
        "flaxdoor.dev/deadline: 3s, flaxdoor.dev/worth: \"2.5\"");
    EXPECT_EQ(all.rule().call.window, 60s);
    EXPECT_EQ(all.rule().call.aim, 200ms);
    EXPECT_EQ(all.rule().call.deadline, 3s);
    EXPECT_EQ(all.rule().call.worth, 2.5);
}

TEST(PlanRoute, TimeoutsAndRetries) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r",
                   "    - timeouts: {request: 20s, backendRequest: 1s500ms}\n      retry: {attempts: 1}\n"
                   "      backendRefs: [{name: a, port: 80}]\n",
                   ", annotations: {flaxdoor.dev/retries: \"4\", flaxdoor.dev/retry-budget: 20%}"));
    world.make();
    const auto& rule = world.rule();
    EXPECT_EQ(rule.request_timeout, 20s);
    EXPECT_EQ(rule.call.deadline, 20s);
    EXPECT_EQ(rule.backend_timeout, 1500ms);
    EXPECT_EQ(rule.retries.attempts, 1) << "the lower of the two limits";
    EXPECT_EQ(rule.retries.share, 0.2);
}

TEST(PlanRoute, TruncatesALongMessageAtACharacterBoundary) {
    std::string value;
    for (int i = 0; i < 1000; ++i) value += "\u00e9";
    for (const char* shift : {"", "x"}) {
        World world(class_and_gateway() + service("a") +
                    http_route("r", "    - matches: [{path: {type: RegularExpression, value: \"(" +
                                        (shift + value.substr(0, 1000)) + "\"}}]\n"));
        const std::string message = world.message("Accepted");
        EXPECT_GT(message.size(), 1000U);
        EXPECT_LE(message.size(), 1024U);
        EXPECT_NO_THROW((void)Json(message).dump()) << "whole characters only";
    }
}

TEST(PlanGateway, ReportsHeldBackRemovals) {
    World world(plain());
    world.options.held = "Service: a whole list lacked 3 of 3";
    EXPECT_EQ(world.gateway(), "Accepted, Programmed, flaxdoor.dev/ListHeld (ImplausibleList)");
}

// ---------------------------------------------------------------------------------------------- Endpoints

TEST(PlanEndpoints, ConditionsZonesAndContradictingSlices) {
    World world(plain());
    world.add(slice("a", {{8001, "ready", "ready: true", "za"},
                          {8002, "unset", ""},
                          {8003, "notready", "ready: false"},
                          {8004, "ending", "ready: false, serving: true, terminating: true"},
                          {8005, "torn", "ready: true"}}));
    world.add(slice("a", {{8005, "torn", "ready: false, terminating: true"}}, "2"));
    world.make();
    std::map<std::string, std::string> endpoints;
    for (const auto& each : endpoints_of(world.resources, world.current_plan.pools.at("booking/a:80")))
        endpoints[each.name] =
            each.address + (each.draining ? " draining" : "") + (each.zone.empty() ? "" : " " + each.zone);
    EXPECT_EQ(endpoints, (std::map<std::string, std::string>{{"ready", "127.0.0.1:8001 za"},
                                                             {"unset", "127.0.0.1:8002"},
                                                             {"ending", "127.0.0.1:8004 draining"},
                                                             {"torn", "127.0.0.1:8005 draining"}}));
}

}  // namespace
}  // namespace flaxdoor::gateway
