// A backend goes while a request is in flight there, in every way that it can: the request ends as usual,
// nothing new goes there, and an unsafe one that may have run is tried nowhere else.
#include <gtest/gtest.h>

#include "rig.h"

namespace flaxdoor::gateway::test {
namespace {

const std::string all_spaces =
    "    - {name: http, port: 80, protocol: HTTP, allowedRoutes: {namespaces: {from: Selector, selector: "
    "{matchLabels: {team: booking}}}}}\n    - {name: other, port: 81, protocol: HTTP}\n";

struct Way {
    const char* name;
    std::function<void(Rig&, std::uint16_t a)> how;
    const char* then;  // what a new request gets; "": the port is closed
};

const Way ways[] = {
    {"endpoint deleted", [](Rig& rig, std::uint16_t) { rig.api.erase("EndpointSlice", "booking/a-1-1"); },
     "200 b"},
    {"endpoint terminating",
     [](Rig& rig, std::uint16_t a) {
         rig.api.play(slice("a", {{a, "pod-a", "ready: false, serving: true, terminating: true"}}));
     },
     "200 b"},
    {"endpoint not ready",
     [](Rig& rig, std::uint16_t a) {
         rig.api.play(slice("a", {{a, "pod-a", "ready: false"}}));
     },
     "200 b"},
    {"last endpoint gone",
     [](Rig& rig, std::uint16_t) {
         rig.api.erase("EndpointSlice", "booking/a-2-1");
         rig.api.erase("EndpointSlice", "booking/a-1-1");
     },
     "503"},
    {"Service deleted", [](Rig& rig, std::uint16_t) { rig.api.erase("Service", "booking/a"); }, "500"},
    {"weight 0",
     [](Rig& rig, std::uint16_t) {
         rig.api.play(
             http_route("r", "    - backendRefs: [{name: a, port: 80, weight: 0}, {name: c, port: 80}]\n"));
     },
     "200 c"},
    {"route deleted", [](Rig& rig, std::uint16_t) { rig.api.erase("HTTPRoute", "booking/r"); }, "404"},
    {"grant withdrawn", [](Rig& rig, std::uint16_t) { rig.api.erase("ReferenceGrant", "far/grant"); }, "500"},
    {"listener removed",
     [](Rig& rig, std::uint16_t) {
         rig.api.play(class_and_gateway("    - {name: other, port: 81, protocol: HTTP}\n"));
     },
     ""},
    {"namespace relabelled",
     [](Rig& rig, std::uint16_t) {
         rig.api.play("apiVersion: v1\nkind: Namespace\nmetadata: {name: booking, labels: {team: other}}\n");
     },
     "404"},
    {"Gateway deleted", [](Rig& rig, std::uint16_t) { rig.api.erase("Gateway", "booking/front"); }, ""},
    {"GatewayClass deleted", [](Rig& rig, std::uint16_t) { rig.api.erase("GatewayClass", "flaxdoor"); }, ""},
};

class Gone : public testing::TestWithParam<std::tuple<std::size_t, bool>> {};

TEST_P(Gone, InFlightEndsAsUsualNothingNewGoesThereNothingRunsTwice) {
    const Way& way = ways[std::get<0>(GetParam())];
    const bool breaks = std::get<1>(GetParam());  // the backend dies with the request
    Rig rig;
    Backend &a = rig.add_backend("a"), &b = rig.add_backend("b"), &c = rig.add_backend("c");
    const bool far = std::string(way.name) == "grant withdrawn";
    const std::string space = far ? "far" : "booking";
    rig.api.play(class_and_gateway(all_spaces));
    rig.api.play(service("a", space) + service("c"));
    // Until the request is there, only a is ready.
    rig.api.play(slice("a", {{a.port(), "pod-a"}}, "1", space) + slice("c", {{c.port(), "pod-c"}}));
    if (far) {
        rig.api.play(
            "apiVersion: gateway.networking.k8s.io/v1beta1\nkind: ReferenceGrant\n"
            "metadata: {name: grant, namespace: far}\nspec:\n  from: [{group: gateway.networking.k8s.io, "
            "kind: HTTPRoute, namespace: booking}]\n  to: [{group: \"\", kind: Service, name: a}]\n");
        rig.api.play(http_route("r", "    - backendRefs: [{name: a, namespace: far, port: 80}]\n"));
    } else {
        rig.api.play(http_route("r", to_service("a")));
    }
    rig.begin();
    ASSERT_TRUE(rig.until([&] { return rig.runtime->address(80) && rig.listed.size() >= 1; }));
    a.hold = true;
    const auto in_flight = rig.send(get("h", "/donate", "POST", "", "x"));
    ASSERT_TRUE(rig.until([&] { return a.held() == 1; }));
    rig.api.play(slice("a", {{b.port(), "pod-b"}}, "2", space));
    ASSERT_TRUE(rig.until([&] {
        return std::any_of(rig.listed.begin(), rig.listed.end(),
                           [&](const auto& pool) { return pool.second.contains(b.address()); });
    }));

    const std::size_t applied = rig.applied;
    way.how(rig, a.port());
    // With a weight of 0, or by the listener of the other port, the pool stays listed; its table has gone
    // with the next change.
    const bool stays_listed = std::string(way.name) == "weight 0" ||
                              std::string(way.name) == "namespace relabelled" ||
                              std::string(way.then).empty();
    ASSERT_TRUE(rig.until([&] {
        return stays_listed ? rig.applied > applied : rig.closed.contains(a.address());
    })) << way.name;
    if (std::string(way.then).empty()) {
        ASSERT_TRUE(rig.until([&] { return !rig.runtime->address(80); })) << way.name;
    } else if (std::string(way.then) == "404" || std::string(way.then) == "500") {
        // The table that says so has been taken with the pool's end.
        ASSERT_TRUE(rig.until([&] { return rig.ask(get("h", "/")).substr(0, 3) == way.then; })) << way.name;
    }
    if (!std::string(way.then).empty()) {
        // Many at once: whoever takes them is busier than the one that has gone would be.
        std::vector<std::shared_ptr<Client>> others;
        b.hold = c.hold = true;
        for (int i = 0; i < 8; ++i) {
            others.push_back(rig.send(get("h", "/donate", "POST", "", "y")));
        }
        ASSERT_TRUE(rig.until([&] {
            const auto told = std::count_if(others.begin(), others.end(),
                                            [](const auto& other) { return !other->answers.empty(); });
            return b.held() + c.held() + static_cast<std::size_t>(told) == others.size();
        })) << way.name;
        b.release();
        c.release();
        for (const auto& other : others) {
            ASSERT_TRUE(rig.until([&] { return !other->answers.empty(); })) << way.name;
            const std::string got = other->status() + " " + other->body();
            EXPECT_EQ(got.substr(0, std::string(way.then).size()), way.then) << way.name;
        }
    }
    EXPECT_TRUE(in_flight->answers.empty()) << "cut, or answered before it was: " << way.name;
    if (breaks) {
        a.break_held();
    } else {
        a.release();
    }
    ASSERT_TRUE(rig.until([&] { return in_flight->answers.size() == 1 || in_flight->ended; })) << way.name;
    EXPECT_EQ(in_flight->status(), breaks ? "502" : "200") << way.name;
    EXPECT_EQ(in_flight->answers.size(), 1U);
    const auto with_x = [](const Backend& backend) {
        return std::count_if(backend.requests.begin(), backend.requests.end(),
                             [](const auto& r) { return r.ends_with("\r\n\r\nx"); });
    };
    EXPECT_EQ(with_x(a) + with_x(b) + with_x(c), 1) << "an effect twice: " << way.name;
    EXPECT_EQ(a.requests.size(), 1U) << way.name;
    EXPECT_TRUE(rig.violations.empty()) << way.name << ": " << rig.violations.front();
    ASSERT_TRUE(rig.until([&] { return rig.runtime->figures().retired == 0; })) << way.name;
    EXPECT_EQ(rig.core.figures().faults, 0U);
    EXPECT_EQ(rig.core.figures().open, 0U);
}

INSTANTIATE_TEST_SUITE_P(EveryWay, Gone,
                         testing::Combine(testing::Range(std::size_t{0}, std::size(ways)), testing::Bool()),
                         [](const auto& info) {
                             std::string name = ways[std::get<0>(info.param)].name;
                             std::erase(name, ' ');
                             return name + (std::get<1>(info.param) ? "AndDies" : "");
                         });

}  // namespace
}  // namespace flaxdoor::gateway::test
