// A backend is removed in various ways while it handles a request. The request must end normally, no new
// request may reach the backend, and an unsafe request that may have executed must not be retried.
#include <gtest/gtest.h>

#include "rig.h"

namespace flaxdoor::gateway::test {
namespace {

const std::string listeners =
    "    - {name: http, port: 80, protocol: HTTP, allowedRoutes: {namespaces: {from: Selector, selector: "
    "{matchLabels: {team: booking}}}}}\n    - {name: other, port: 81, protocol: HTTP}\n";

struct Removal {
    const char* name;
    std::function<void(Rig&, std::uint16_t a)> apply;
    const char* response_after;  // response to a new request; "": the port is closed
};

const Removal removals[] = {
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

TEST_P(Gone, TheRequestInFlightEndsAndNothingIsSentOrExecutedAgain) {
    const Removal& removal = removals[std::get<0>(GetParam())];
    const bool breaks = std::get<1>(GetParam());  // the backend fails during the request
    Rig rig;
    Backend &a = rig.add_backend("a"), &b = rig.add_backend("b"), &c = rig.add_backend("c");
    const bool other_namespace = std::string(removal.name) == "grant withdrawn";
    const std::string namespace_name = other_namespace ? "far" : "booking";
    rig.api.play(class_and_gateway(listeners));
    rig.api.play(service("a", namespace_name) + service("c"));
    // Only a is ready until it has received the request.
    rig.api.play(slice("a", {{a.port(), "pod-a"}}, "1", namespace_name) + slice("c", {{c.port(), "pod-c"}}));
    if (other_namespace) {
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
    rig.api.play(slice("a", {{b.port(), "pod-b"}}, "2", namespace_name));
    ASSERT_TRUE(rig.until([&] {
        return std::any_of(rig.listed.begin(), rig.listed.end(),
                           [&](const auto& pool) { return pool.second.contains(b.address()); });
    }));

    const std::size_t applied = rig.applied;
    removal.apply(rig, a.port());
    // With weight 0, or because of the listener on the other port, the pool stays listed. The next change
    // replaces the table.
    const bool stays_listed = std::string(removal.name) == "weight 0" ||
                              std::string(removal.name) == "namespace relabelled" ||
                              std::string(removal.response_after).empty();
    ASSERT_TRUE(rig.until([&] {
        return stays_listed ? rig.applied > applied : rig.closed.contains(a.address());
    })) << removal.name;
    if (std::string(removal.response_after).empty()) {
        ASSERT_TRUE(rig.until([&] { return !rig.runtime->address(80); })) << removal.name;
    } else if (std::string(removal.response_after) == "404" || std::string(removal.response_after) == "500") {
        // The table with this response was applied together with the removal of the pool.
        ASSERT_TRUE(rig.until([&] { return rig.ask(get("h", "/")).substr(0, 3) == removal.response_after; }))
            << removal.name;
    }
    if (!std::string(removal.response_after).empty()) {
        // Sends several requests at once, so that the remaining backends are busier than the removed one
        // would be.
        std::vector<std::shared_ptr<Client>> others;
        b.hold = c.hold = true;
        for (int i = 0; i < 8; ++i) {
            others.push_back(rig.send(get("h", "/donate", "POST", "", "y")));
        }
        ASSERT_TRUE(rig.until([&] {
            const auto answered = std::count_if(others.begin(), others.end(),
                                                [](const auto& other) { return !other->answers.empty(); });
            return b.held() + c.held() + static_cast<std::size_t>(answered) == others.size();
        })) << removal.name;
        b.release();
        c.release();
        for (const auto& other : others) {
            ASSERT_TRUE(rig.until([&] { return !other->answers.empty(); })) << removal.name;
            const std::string response = other->status() + " " + other->body();
            EXPECT_EQ(response.substr(0, std::string(removal.response_after).size()), removal.response_after)
                << removal.name;
        }
    }
    EXPECT_TRUE(in_flight->answers.empty()) << "cut off or answered too early: " << removal.name;
    if (breaks) {
        a.break_held();
    } else {
        a.release();
    }
    ASSERT_TRUE(rig.until([&] { return in_flight->answers.size() == 1 || in_flight->ended; }))
        << removal.name;
    EXPECT_EQ(in_flight->status(), breaks ? "502" : "200") << removal.name;
    EXPECT_EQ(in_flight->answers.size(), 1U);
    const auto count_original = [](const Backend& backend) {
        return std::count_if(backend.requests.begin(), backend.requests.end(),
                             [](const auto& r) { return r.ends_with("\r\n\r\nx"); });
    };
    EXPECT_EQ(count_original(a) + count_original(b) + count_original(c), 1)
        << "executed twice: " << removal.name;
    EXPECT_EQ(a.requests.size(), 1U) << removal.name;
    EXPECT_TRUE(rig.violations.empty()) << removal.name << ": " << rig.violations.front();
    ASSERT_TRUE(rig.until([&] { return rig.runtime->figures().retired == 0; })) << removal.name;
    EXPECT_EQ(rig.core.figures().faults, 0U);
    EXPECT_EQ(rig.core.figures().open, 0U);
}

INSTANTIATE_TEST_SUITE_P(EveryWay, Gone,
                         testing::Combine(testing::Range(std::size_t{0}, std::size(removals)),
                                          testing::Bool()),
                         [](const auto& info) {
                             std::string name = removals[std::get<0>(info.param)].name;
                             std::erase(name, ' ');
                             return name + (std::get<1>(info.param) ? "AndDies" : "");
                         });

}  // namespace
}  // namespace flaxdoor::gateway::test
