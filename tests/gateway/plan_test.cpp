// Statuses as the specification has them, written by hand; what is served beside them.
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
        made = plan(resources, options);
        statuses.clear();
        for (const auto& each : made.statuses) statuses[{each.kind, each.key}] = each.status;
    }
    // "True Accepted: message" without the message where it is empty.
    static std::string in(const Json& conditions, const std::string& type) {
        for (const Json& each : conditions) {
            if (each["type"] != type) continue;
            return each["status"].get<std::string>() + " " + each["reason"].get<std::string>();
        }
        return "";
    }
    static std::string message_in(const Json& conditions, const std::string& type) {
        for (const Json& each : conditions) {
            if (each["type"] == type) return each["message"];
        }
        return "";
    }
    const Json& parents(const std::string& route) {
        return statuses.at({KindOf::http_route, route})["parents"];
    }
    std::string route(const std::string& key, const std::string& type, std::size_t parent = 0) {
        make();
        if (!statuses.contains({KindOf::http_route, key})) return "no status";
        return parents(key).size() > parent ? in(parents(key)[parent]["conditions"], type) : "no parent";
    }
    std::string message(const std::string& key, const std::string& type) {
        make();
        return message_in(parents(key)[0]["conditions"], type);
    }
    std::string gateway(const std::string& key, const std::string& type) {
        make();
        return in(statuses.at({KindOf::gateway, key})["conditions"], type);
    }
    Json listener(const std::string& key, std::size_t number) {
        make();
        return statuses.at({KindOf::gateway, key})["listeners"][number];
    }
    std::string listener(const std::string& key, std::size_t number, const std::string& type) {
        return in(listener(key, number)["conditions"], type);
    }
    std::string gateway_class(const std::string& type) {
        make();
        return in(statuses.at({KindOf::gateway_class, "flaxdoor"})["conditions"], type);
    }
    // Where a request goes: "pool", "500", "404", "redirect".
    std::string to(const std::string& host, const std::string& path, std::uint16_t port = 80,
                   const std::string& method = "GET") {
        make();
        if (!made.ports.contains(port)) return "closed";
        const auto built = routes::Table::build(made.ports.at(port).table);
        const auto& table = *std::get<std::shared_ptr<const routes::Table>>(built);
        const http::Fields none;
        const auto target = routes::split_target(path);
        const auto hit = table.match({method, host, target.path, target.query, &none});
        if (!hit.rule) return "404";
        if (hit.rule->status) return std::to_string(*hit.rule->status);
        if (hit.rule->redirect) return "redirect";
        const auto* backend = routes::choose(*hit.rule, 0);
        if (!backend) return "500";
        return backend->pool.empty() ? std::to_string(backend->status) : backend->pool;
    }

    Resources resources;
    PlanOptions options = [] {
        PlanOptions its;
        its.ports_known = false;
        return its;
    }();
    Plan made;
    std::map<std::pair<KindOf, std::string>, Json> statuses;
};

std::string plain() { return class_and_gateway() + service("a") + http_route("r", to_service("a")); }

std::string crd(const std::string& version) {
    return "apiVersion: apiextensions.k8s.io/v1\nkind: CustomResourceDefinition\nmetadata: {name: "
           "gatewayclasses.gateway.networking.k8s.io, annotations: "
           "{gateway.networking.k8s.io/bundle-version: " +
           version + "}}\n---\n";
}

// ------------------------------------------------------------------------------------------- GatewayClass

TEST(PlanClass, AcceptedAndItsVersion) {
    World world(plain());
    EXPECT_EQ(world.gateway_class("Accepted"), "True Accepted");
    EXPECT_EQ(world.gateway_class("SupportedVersion"), "Unknown Pending");
    world.add(crd("v1.2.1"));
    EXPECT_EQ(world.gateway_class("SupportedVersion"), "True SupportedVersion");
    world.add(crd("v2.0.0"));
    EXPECT_EQ(world.gateway_class("SupportedVersion"), "False UnsupportedVersion");
    EXPECT_EQ(world.to("h", "/"), "booking/a:80") << "best effort";
}

TEST(PlanClass, ParametersAreNotSupported) {
    World world(plain());
    world.add(
        "kind: GatewayClass\nmetadata: {name: flaxdoor}\nspec: {controllerName: flaxdoor.dev/gateway, "
        "parametersRef: {group: x, kind: Y, name: z}}\n");
    EXPECT_EQ(world.gateway_class("Accepted"), "False InvalidParameters");
    EXPECT_EQ(world.to("h", "/"), "closed");
}

TEST(PlanClass, AnotherControllersIsNotTouched) {
    World world(
        "kind: GatewayClass\nmetadata: {name: flaxdoor}\nspec: {controllerName: other.example/x}\n---\n" +
        plain().substr(plain().find("---\n") + 4));
    world.make();
    EXPECT_TRUE(world.made.statuses.empty());
    EXPECT_TRUE(world.made.ports.empty());
}

// ------------------------------------------------------------------------------------------------ Gateway

TEST(PlanGateway, InOrder) {
    World world(plain());
    EXPECT_EQ(world.gateway("booking/front", "Accepted"), "True Accepted");
    EXPECT_EQ(world.gateway("booking/front", "Programmed"), "True Programmed");
    EXPECT_EQ(world.listener("booking/front", 0, "Accepted"), "True Accepted");
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "True Programmed");
    EXPECT_EQ(world.listener("booking/front", 0, "ResolvedRefs"), "True ResolvedRefs");
    EXPECT_EQ(world.listener("booking/front", 0, "Conflicted"), "False NoConflicts");
    EXPECT_EQ(world.listener("booking/front", 0)["attachedRoutes"], 1);
    EXPECT_EQ(world.listener("booking/front", 0)["supportedKinds"],
              Json::parse(R"([{"group":"gateway.networking.k8s.io","kind":"HTTPRoute"}])"));
    EXPECT_EQ(world.listener("booking/front", 0)["conditions"][0]["observedGeneration"], 0);
}

TEST(PlanGateway, APortThatIsNotOpenYetAndOneThatCantBe) {
    World world(plain());
    world.options.ports_known = true;
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "False Pending");
    EXPECT_EQ(world.gateway("booking/front", "Programmed"), "False Pending");
    world.options.ports = {{80, "address in use"}};
    EXPECT_EQ(world.listener("booking/front", 0, "Accepted"), "False PortUnavailable");
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "False Invalid");
    EXPECT_EQ(world.gateway("booking/front", "Accepted"), "False ListenersNotValid");
    EXPECT_EQ(world.to("h", "/"), "booking/a:80") << "it is tried again";
    world.options.ports = {{80, ""}};
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "True Programmed");
}

TEST(PlanGateway, ProtocolsThatAreNotSupported) {
    for (const char* protocol : {"TCP", "UDP", "TLS", "example.com/x"}) {
        World world(class_and_gateway("    - {name: x, port: 80, protocol: " + std::string(protocol) +
                                      "}\n    - {name: http, port: 81, protocol: HTTP}\n"));
        EXPECT_EQ(world.listener("booking/front", 0, "Accepted"), "False UnsupportedProtocol") << protocol;
        EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "False Invalid");
        EXPECT_EQ(world.listener("booking/front", 0)["supportedKinds"], Json::array());
        EXPECT_EQ(world.gateway("booking/front", "Accepted"), "True ListenersNotValid")
            << "the other is valid";
        EXPECT_EQ(world.gateway("booking/front", "Programmed"), "True Programmed");
    }
}

TEST(PlanGateway, KindsThatAreNotSupported) {
    World world(
        class_and_gateway("    - {name: a, port: 80, protocol: HTTP, allowedRoutes: {kinds: [{kind: "
                          "GRPCRoute}, {kind: HTTPRoute}]}}\n    - {name: b, port: 81, protocol: HTTP, "
                          "allowedRoutes: {kinds: [{kind: TCPRoute}]}}\n") +
        service("a") + http_route("r", to_service("a")));
    EXPECT_EQ(world.listener("booking/front", 0, "ResolvedRefs"), "False InvalidRouteKinds");
    EXPECT_EQ(world.listener("booking/front", 0)["supportedKinds"].size(), 1U);
    EXPECT_EQ(world.listener("booking/front", 0)["attachedRoutes"], 1);
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "True Programmed");
    EXPECT_EQ(world.listener("booking/front", 1)["supportedKinds"], Json::array());
    EXPECT_EQ(world.listener("booking/front", 1)["attachedRoutes"], 0);
}

TEST(PlanGateway, ConflictsWithinOneHaveNoWinnerAmongTwoTheOlderWins) {
    World world(class_and_gateway(
        "    - {name: a, port: 80, protocol: HTTP, hostname: x.example}\n"
        "    - {name: b, port: 80, protocol: HTTP, hostname: x.example}\n"
        "    - {name: c, port: 80, protocol: HTTP}\n"
        "    - {name: d, port: 81, protocol: HTTP}\n"
        "    - {name: e, port: 81, protocol: HTTPS, tls: {certificateRefs: [{name: s}]}}\n"));
    for (const std::size_t i : {0U, 1U}) {
        EXPECT_EQ(world.listener("booking/front", i, "Conflicted"), "True HostnameConflict");
        EXPECT_EQ(world.listener("booking/front", i, "Accepted"), "False HostnameConflict");
        EXPECT_EQ(world.listener("booking/front", i, "Programmed"), "False Invalid");
    }
    EXPECT_EQ(world.listener("booking/front", 2, "Conflicted"), "False NoConflicts");
    for (const std::size_t i : {3U, 4U})
        EXPECT_EQ(world.listener("booking/front", i, "Conflicted"), "True ProtocolConflict");
    world.add(
        "kind: Gateway\nmetadata: {name: second, namespace: booking, creationTimestamp: "
        "\"2026-02-01T00:00:00Z\"}\nspec: {gatewayClassName: flaxdoor, listeners: [{name: h, port: 80, "
        "protocol: HTTP}, {name: i, port: 80, protocol: HTTP, hostname: y.example}]}\n");
    EXPECT_EQ(world.listener("booking/second", 0, "Conflicted"), "True HostnameConflict");
    EXPECT_EQ(world.listener("booking/second", 1, "Conflicted"), "False NoConflicts");
}

TEST(PlanGateway, AddressesAreThoseThatItHas) {
    World world(class_and_gateway());
    world.options.addresses = {"192.0.2.1"};
    world.make();
    const auto& status = world.statuses.at({KindOf::gateway, "booking/front"});
    EXPECT_EQ(status["addresses"], Json::parse(R"([{"type":"IPAddress","value":"192.0.2.1"}])"));
    const auto with = [&](const std::string& addresses) {
        world.add(
            "kind: Gateway\nmetadata: {name: front, namespace: booking}\nspec: {gatewayClassName: flaxdoor, "
            "addresses: [" +
            addresses + "], listeners: [{name: http, port: 80, protocol: HTTP}]}\n");
    };
    with("{type: IPAddress, value: 192.0.2.9}");
    EXPECT_EQ(world.gateway("booking/front", "Programmed"), "False AddressNotUsable");
    with("{type: Hostname, value: x.example}");
    EXPECT_EQ(world.gateway("booking/front", "Accepted"), "False UnsupportedAddress");
    with("{type: IPAddress, value: 192.0.2.1}");
    EXPECT_EQ(world.gateway("booking/front", "Programmed"), "True Programmed");
}

TEST(PlanGateway, CertificatesOfListeners) {
    const std::string https =
        "    - {name: s, port: 443, protocol: HTTPS, hostname: a.example, tls: "
        "{certificateRefs: [{name: cert}]}}\n";
    World world(class_and_gateway(https));
    world.options.certificate_fault = [](const std::string& certificate, const std::string&) {
        return certificate == "bad" ? "no certificate can be read" : "";
    };
    EXPECT_EQ(world.listener("booking/front", 0, "ResolvedRefs"), "False InvalidCertificateRef");
    EXPECT_EQ(world.listener("booking/front", 0, "Accepted"), "True Accepted");
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "False Invalid");
    EXPECT_EQ(world.to("a.example", "/", 443), "closed");
    world.add(
        "kind: Secret\nmetadata: {name: cert, namespace: booking}\ntype: kubernetes.io/tls\ndata: {tls.crt: "
        "YmFk, tls.key: a2V5}\n");
    EXPECT_EQ(world.listener("booking/front", 0, "ResolvedRefs"), "False InvalidCertificateRef");
    world.add(
        "kind: Secret\nmetadata: {name: cert, namespace: booking}\ntype: kubernetes.io/tls\ndata: {tls.crt: "
        "Z29vZA==, tls.key: a2V5}\n");
    EXPECT_EQ(world.listener("booking/front", 0, "ResolvedRefs"), "True ResolvedRefs");
    EXPECT_EQ(world.listener("booking/front", 0, "Programmed"), "True Programmed");
    world.make();
    ASSERT_EQ(world.made.ports.at(443).certificates.size(), 1U);
    EXPECT_EQ(world.made.ports.at(443).certificates[0].certificate, "good");
    // Of another namespace, it takes a grant there.
    World far(
        class_and_gateway("    - {name: s, port: 443, protocol: HTTPS, tls: {certificateRefs: [{name: cert, "
                          "namespace: far}]}}\n"));
    far.add(
        "kind: Secret\nmetadata: {name: cert, namespace: far}\ntype: kubernetes.io/tls\ndata: {tls.crt: "
        "Z29vZA==, tls.key: a2V5}\n");
    EXPECT_EQ(far.listener("booking/front", 0, "ResolvedRefs"), "False RefNotPermitted");
    far.add(
        "kind: ReferenceGrant\nmetadata: {name: g, namespace: far}\nspec: {from: [{group: "
        "gateway.networking.k8s.io, kind: Gateway, namespace: booking}], to: [{group: \"\", kind: "
        "Secret}]}\n");
    EXPECT_EQ(far.listener("booking/front", 0, "ResolvedRefs"), "True ResolvedRefs");
}

TEST(PlanGateway, TlsThatIsNotServed) {
    World world(
        class_and_gateway("    - {name: a, port: 443, protocol: HTTPS, tls: {mode: Passthrough}}\n"
                          "    - {name: b, port: 444, protocol: HTTPS}\n"
                          "    - {name: c, port: 445, protocol: HTTP, tls: {certificateRefs: [{name: x}]}}\n"
                          "    - {name: d, port: 446, protocol: HTTPS, tls: {certificateRefs: [{kind: "
                          "ConfigMap, name: x}]}}\n"));
    EXPECT_EQ(world.listener("booking/front", 0, "Accepted"), "False UnsupportedValue");
    EXPECT_EQ(world.listener("booking/front", 1, "ResolvedRefs"), "False InvalidCertificateRef");
    EXPECT_EQ(world.listener("booking/front", 2, "Accepted"), "False UnsupportedValue");
    EXPECT_EQ(world.listener("booking/front", 3, "ResolvedRefs"), "False InvalidCertificateRef");
}

// ---------------------------------------------------------------------------------------------- HTTPRoute

TEST(PlanRoute, InOrder) {
    World world(plain());
    EXPECT_EQ(world.route("booking/r", "Accepted"), "True Accepted");
    EXPECT_EQ(world.route("booking/r", "ResolvedRefs"), "True ResolvedRefs");
    EXPECT_EQ(world.route("booking/r", "PartiallyInvalid"), "");
    EXPECT_EQ(world.parents("booking/r")[0]["controllerName"], "flaxdoor.dev/gateway");
    EXPECT_EQ(world.parents("booking/r")[0]["parentRef"],
              Json::parse(R"({"name":"front","namespace":"booking"})"));
}

TEST(PlanRoute, ParentsThatAreNotOursAndThoseThatDontMatch) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r", to_service("a"), "", "booking",
                   "[{name: front, sectionName: none}, {name: front, port: 81}, {name: other}, {kind: "
                   "Service, group: \"\", name: a}, {name: front, sectionName: http, port: 80}]"));
    world.make();
    ASSERT_EQ(world.parents("booking/r").size(), 3U);
    EXPECT_EQ(world.route("booking/r", "Accepted", 0), "False NoMatchingParent");
    EXPECT_EQ(world.route("booking/r", "Accepted", 1), "False NoMatchingParent");
    EXPECT_EQ(world.route("booking/r", "Accepted", 2), "True Accepted");
    EXPECT_EQ(world.listener("booking/front", 0)["attachedRoutes"], 1);
}

TEST(PlanRoute, NamespacesThatAListenerAllows) {
    const auto gateway = [](const std::string& from) {
        return class_and_gateway("    - {name: http, port: 80, protocol: HTTP, allowedRoutes: {namespaces: " +
                                 from + "}}\n") +
               service("a", "far") +
               "kind: Namespace\nmetadata: {name: far, labels: {team: x, env: prod}}\n---\n" +
               http_route("r", to_service("a"), "", "far");
    };
    const auto accepted = [&](const std::string& from) {
        World world(gateway(from));
        return world.route("far/r", "Accepted");
    };
    EXPECT_EQ(accepted("{from: Same}"), "False NotAllowedByListeners");
    EXPECT_EQ(accepted("{from: All}"), "True Accepted");
    EXPECT_EQ(accepted("{from: None}"), "False NotAllowedByListeners");
    EXPECT_EQ(accepted("{from: Selector, selector: {matchLabels: {team: x}}}"), "True Accepted");
    EXPECT_EQ(accepted("{from: Selector, selector: {matchLabels: {team: y}}}"),
              "False NotAllowedByListeners");
    EXPECT_EQ(
        accepted("{from: Selector, selector: {matchExpressions: [{key: env, operator: In, values: [prod, "
                 "test]}, {key: team, operator: Exists}, {key: old, operator: DoesNotExist}, {key: env, "
                 "operator: NotIn, values: [dev]}]}}"),
        "True Accepted");
}

TEST(PlanRoute, HostnamesIntersect) {
    struct Line {
        const char *listener, *route, *wanted;  // what both stand for; "-": nothing
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
        EXPECT_EQ(intersection(line.listener, line.route).value_or("-"), line.wanted)
            << line.listener << " and " << line.route;
    }
    World world(class_and_gateway("    - {name: http, port: 80, protocol: HTTP, hostname: \"*.example\"}\n") +
                service("a") + http_route("r", to_service("a") + "  hostnames: [other.test]\n"));
    EXPECT_EQ(world.route("booking/r", "Accepted"), "False NoMatchingListenerHostname");
    world.add(http_route("r", to_service("a") + "  hostnames: [other.test, x.example]\n"));
    EXPECT_EQ(world.route("booking/r", "Accepted"), "True Accepted");
    EXPECT_EQ(world.to("x.example", "/"), "booking/a:80");
    EXPECT_EQ(world.to("y.example", "/"), "404");
}

TEST(PlanRoute, BackendsThatCantBeUsedAnswer500ForTheirShare) {
    const auto with = [](const std::string& backend, const std::string& more = "") {
        return class_and_gateway() + service("a") + more +
               http_route("r", "    - backendRefs: [" + backend + "]\n");
    };
    struct Line {
        const char *backend, *reason;
    };
    const Line lines[] = {{"{name: none, port: 80}", "False BackendNotFound"},
                          {"{name: a}", "False BackendNotFound"},
                          {"{name: a, port: 81}", "False BackendNotFound"},
                          {"{name: a, port: 80, kind: Bucket, group: x.example}", "False InvalidKind"},
                          {"{name: a, port: 80, namespace: far}", "False RefNotPermitted"}};
    for (const Line& line : lines) {
        World world(with(line.backend));
        EXPECT_EQ(world.route("booking/r", "ResolvedRefs"), line.reason) << line.backend;
        EXPECT_EQ(world.route("booking/r", "Accepted"), "True Accepted") << line.backend;
        EXPECT_EQ(world.to("h", "/"), "500") << line.backend;
        EXPECT_NE(world.message("booking/r", "ResolvedRefs").find("spec.rules[0].backendRefs[0]"),
                  std::string::npos);
    }
    for (const char* spec :
         {"{type: ExternalName, externalName: x.example, ports: [{port: 80}]}",
          "{ports: [{port: 80, appProtocol: kubernetes.io/h2c}]}", "{ports: [{port: 80, protocol: UDP}]}"}) {
        World world(with("{name: a, port: 80}"));
        world.add("kind: Service\nmetadata: {name: a, namespace: booking}\nspec: " + std::string(spec) +
                  "\n");
        EXPECT_EQ(world.to("h", "/"), "500") << spec;
        EXPECT_EQ(world.route("booking/r", "ResolvedRefs"),
                  std::string(spec).find("External") != std::string::npos ? "False BackendNotFound"
                                                                          : "False UnsupportedProtocol");
    }
    World shares(with("{name: a, port: 80, weight: 9}, {name: none, port: 80, weight: 1}"));
    shares.make();
    const auto& rule = *shares.made.ports.at(80).table.listeners[0].routes[0].rules[0];
    EXPECT_EQ(routes::choose(rule, 0.89)->pool, "booking/a:80");
    EXPECT_EQ(routes::choose(rule, 0.91)->status, 500);
    World none(class_and_gateway() + http_route("r", "    - {}\n"));
    EXPECT_EQ(none.to("h", "/"), "500") << "a rule without backends";
}

TEST(PlanRoute, AGrantIsForItsKindsNamespaceAndName) {
    const auto world_with = [](const std::string& grant) {
        World world(class_and_gateway() + service("a", "far") +
                    http_route("r", "    - backendRefs: [{name: a, namespace: far, port: 80}]\n") +
                    "kind: ReferenceGrant\nmetadata: {name: g, namespace: far}\nspec: " + grant + "\n");
        return world.to("h", "/");
    };
    const std::string from =
        "from: [{group: gateway.networking.k8s.io, kind: HTTPRoute, namespace: booking}], ";
    EXPECT_EQ(world_with("{" + from + "to: [{group: \"\", kind: Service}]}"), "far/a:80");
    EXPECT_EQ(world_with("{" + from + "to: [{group: \"\", kind: Service, name: a}]}"), "far/a:80");
    EXPECT_EQ(world_with("{" + from + "to: [{group: \"\", kind: Service, name: b}]}"), "500");
    EXPECT_EQ(world_with("{" + from + "to: [{group: \"\", kind: Secret}]}"), "500");
    EXPECT_EQ(
        world_with("{from: [{group: gateway.networking.k8s.io, kind: HTTPRoute, namespace: x}], to: [{group: "
                   "\"\", kind: Service}]}"),
        "500");
    EXPECT_EQ(
        world_with("{from: [{group: gateway.networking.k8s.io, kind: Gateway, namespace: booking}], to: "
                   "[{group: \"\", kind: Service}]}"),
        "500");
}

TEST(PlanRoute, ARuleThatCantBeUsedIsDroppedAndItsMatchesAreAnswered) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r", to_service("a", "{path: {value: /good}}") +
                            "    - matches: [{path: {value: /bad}}]\n      filters: [{type: Unknown}]\n"
                            "      backendRefs: [{name: a, port: 80}]\n") +
        http_route("wide", to_service("a")));
    EXPECT_EQ(world.route("booking/r", "Accepted"), "True Accepted");
    EXPECT_EQ(world.route("booking/r", "PartiallyInvalid"), "True UnsupportedValue");
    EXPECT_EQ(world.message("booking/r", "PartiallyInvalid").substr(0, 12), "Dropped Rule");
    EXPECT_EQ(world.to("h", "/good"), "booking/a:80");
    EXPECT_EQ(world.to("h", "/bad"), "500") << "past a filter that somebody relied on";
    EXPECT_EQ(world.to("h", "/other"), "booking/a:80");
}

TEST(PlanRoute, NoRuleIsLeft) {
    const auto accepted = [](const std::string& rules) {
        World world(class_and_gateway() + service("a") + http_route("r", rules));
        return world.route("booking/r", "Accepted") + " " + world.to("h", "/");
    };
    EXPECT_EQ(accepted("    - matches: [{path: {type: RegularExpression, value: \"(\"}}]\n"),
              "False UnsupportedValue 404");
    EXPECT_EQ(
        accepted(
            "    - filters: [{type: RequestRedirect, requestRedirect: {}}, {type: URLRewrite, urlRewrite: "
            "{hostname: x}}]\n"),
        "False IncompatibleFilters 404");
    EXPECT_EQ(
        accepted(
            "    - filters: [{type: RequestRedirect, requestRedirect: {}}]\n      backendRefs: [{name: a, "
            "port: 80}]\n"),
        "False IncompatibleFilters 404");
}

TEST(PlanRoute, TheListenerThatWouldTakeItIsNotAccepted) {
    World world(
        class_and_gateway("    - {name: a, port: 80, protocol: HTTP}\n    - {name: b, port: 80, protocol: "
                          "HTTP}\n") +
        service("a") + http_route("r", to_service("a")));
    EXPECT_EQ(world.route("booking/r", "Accepted"), "False NoMatchingParent");
    EXPECT_EQ(world.listener("booking/front", 0)["attachedRoutes"], 1) << "counted whatever its own status";
}

TEST(PlanRoute, TheClassIsTheAnnotationsAndASlipLeavesItUnsafe) {
    const auto class_of = [](const std::string& annotations) {
        World world(class_and_gateway() + service("a") +
                    http_route("r", to_service("a"), ", annotations: {" + annotations + "}"));
        const std::string resolved = world.route("booking/r", "flaxdoor.dev/ClassResolved");
        EXPECT_EQ(world.route("booking/r", "Accepted"), "True Accepted");
        return std::pair(world.made.ports.at(80).table.listeners[0].routes[0].rules[0]->call, resolved);
    };
    using Kind = routes::CallClass::Kind;
    EXPECT_EQ(class_of("").first.kind, Kind::unsafe);
    EXPECT_EQ(class_of("").second, "");
    EXPECT_EQ(class_of("flaxdoor.dev/effect: safe").first.kind, Kind::safe);
    EXPECT_EQ(class_of("flaxdoor.dev/effect: safe").second, "True Resolved");
    EXPECT_EQ(class_of("flaxdoor.dev/effect: by-method").first.kind, Kind::by_method);
    EXPECT_EQ(class_of("flaxdoor.dev/effect: keyed, flaxdoor.dev/key-window: 1m").first.window, 60s);
    EXPECT_EQ(class_of("flaxdoor.dev/effect: sfe").first.kind, Kind::unsafe);
    EXPECT_EQ(class_of("flaxdoor.dev/effect: sfe").second, "False InvalidAnnotation");
    EXPECT_EQ(class_of("flaxdoor.dev/efect: safe").second, "False InvalidAnnotation");
    const auto all =
        class_of("flaxdoor.dev/aim: 200ms, flaxdoor.dev/deadline: 3s, flaxdoor.dev/worth: \"2.5\"").first;
    EXPECT_EQ(all.aim, 200ms);
    EXPECT_EQ(all.deadline, 3s);
    EXPECT_EQ(all.worth, 2.5);
}

TEST(PlanRoute, TimeoutsAndRepeats) {
    World world(
        class_and_gateway() + service("a") +
        http_route("r",
                   "    - timeouts: {request: 20s, backendRequest: 1s500ms}\n      retry: {attempts: 1}\n"
                   "      backendRefs: [{name: a, port: 80}]\n",
                   ", annotations: {flaxdoor.dev/retries: \"4\", flaxdoor.dev/retry-budget: 20%}"));
    world.make();
    const auto& rule = *world.made.ports.at(80).table.listeners[0].routes[0].rules[0];
    EXPECT_EQ(rule.request_timeout, 20s);
    EXPECT_EQ(rule.call.deadline, 20s);
    EXPECT_EQ(rule.backend_timeout, 1500ms);
    EXPECT_EQ(rule.retries.attempts, 1) << "the narrower of the two";
    EXPECT_EQ(rule.retries.share, 0.2);
    for (const char* bad : {"timeouts: {request: 1s, backendRequest: 2s}", "timeouts: {request: 1 s}",
                            "retry: {codes: [500]}", "retry: {backoff: 1s}", "sessionPersistence: {}"}) {
        World with(
            class_and_gateway() + service("a") +
            http_route("r", "    - backendRefs: [{name: a, port: 80}]\n      " + std::string(bad) + "\n"));
        EXPECT_EQ(with.route("booking/r", "Accepted"), "False UnsupportedValue") << bad;
    }
}

TEST(PlanRoute, ALongMessageIsCutBetweenTwoCharacters) {
    std::string value;
    for (int i = 0; i < 1000; ++i) value += "\u00e9";
    for (const char* shift : {"", "x"}) {
        World world(class_and_gateway() + service("a") +
                    http_route("r", "    - matches: [{path: {type: RegularExpression, value: \"(" +
                                        (shift + value.substr(0, 1000)) + "\"}}]\n"));
        EXPECT_EQ(world.route("booking/r", "Accepted"), "False UnsupportedValue");
        const std::string message = world.message("booking/r", "Accepted");
        EXPECT_LE(message.size(), 1024U);
        EXPECT_NO_THROW((void)Json(message).dump()) << "whole characters only";
    }
}

TEST(PlanRoute, WhatIsHeldBackIsSeen) {
    World world(plain());
    world.options.held = "Service: a whole list lacked 3 of 3";
    EXPECT_EQ(world.gateway("booking/front", "flaxdoor.dev/ListHeld"), "True ImplausibleList");
}

// ---------------------------------------------------------------------------------------------- endpoints

TEST(PlanEndpoints, ConditionsZonesAndSlicesThatDisagree) {
    World world(plain());
    world.add(slice("a", {{8001, "ready", "ready: true", "za"},
                          {8002, "unset", ""},
                          {8003, "notready", "ready: false"},
                          {8004, "ending", "ready: false, serving: true, terminating: true"},
                          {8005, "torn", "ready: true"}}));
    world.add(slice("a", {{8005, "torn", "ready: false, terminating: true"}}, "2"));
    world.make();
    std::map<std::string, std::string> got;
    for (const auto& each : endpoints_of(world.resources, world.made.pools.at("booking/a:80")))
        got[each.name] =
            each.address + (each.draining ? " draining" : "") + (each.zone.empty() ? "" : " " + each.zone);
    EXPECT_EQ(got, (std::map<std::string, std::string>{{"ready", "127.0.0.1:8001 za"},
                                                       {"unset", "127.0.0.1:8002"},
                                                       {"ending", "127.0.0.1:8004 draining"},
                                                       {"torn", "127.0.0.1:8005 draining"}}));
}

}  // namespace
}  // namespace flaxdoor::gateway
