// Requests for which the fleet's budget has no permit, through a listener with routes.
#include "fake_admission.h"
#include "rig.h"

namespace flaxdoor::gateway::test {
namespace {

using flaxdoor::test::FakeAdmission;

struct GatewayBudget : testing::Test {
    GatewayBudget() : rig(&quota), backend(rig.add_backend("a")) {
        rig.api.play(class_and_gateway() + service("a") + slice("a", {{backend.port(), "pod-a"}}));
        rig.api.play(http_route("r", "    - backendRefs: [{name: a, port: 80}]\n"));
        rig.begin();
        EXPECT_TRUE(rig.until([&] { return rig.runtime->address(80) && rig.ask(get("h", "/")) == "200 a"; }));
    }
    FakeAdmission quota;
    Rig rig;
    Backend& backend;
};

TEST_F(GatewayBudget, ARequestWithoutAPermitIsNotSentAndGetsARetryAfter) {
    const std::size_t before = backend.requests.size();
    quota.remaining_calls = 0;
    const auto client = rig.send(get("h", "/x") + get("h", "/y"));
    ASSERT_TRUE(rig.until([&] { return client->answers.size() == 2 || client->ended; }));
    for (const std::size_t i : {0U, 1U}) {
        EXPECT_EQ(client->status(i), "503");
        EXPECT_EQ(header(client->answers[i], "Retry-After"), "7");
    }
    EXPECT_EQ(backend.requests.size(), before);
    quota.remaining_calls = FakeAdmission::no_limit;
    client->send(get("h", "/z"));
    ASSERT_TRUE(rig.until([&] { return client->answers.size() == 3 || client->ended; }));
    EXPECT_EQ(client->status(2), "200") << "the connection stays open";
}

// The upstream connection breaks after the complete request was sent, and a retry would be safe. Without a
// permit for the retry the request fails.
TEST(GatewayBudgetRepeat, ARetryWithoutAPermitIsNotSent) {
    for (const bool permitted : {true, false}) {
        FakeAdmission quota;
        Rig rig(&quota);
        Backend &a = rig.add_backend("a"), &b = rig.add_backend("b");
        a.hold = b.hold = true;
        ASSERT_TRUE(rig.serve(
            class_and_gateway() + service("a") + slice("a", {{a.port(), "pod-a"}, {b.port(), "pod-b"}}) +
            http_route("r", to_service("a"), ", annotations: {flaxdoor.dev/effect: safe}")));
        if (!permitted) quota.remaining_retries = 0;
        const auto client = rig.send(get("h", "/"));
        ASSERT_TRUE(rig.until([&] { return a.held() + b.held() == 1; }));
        Backend& first = a.held() ? a : b;
        Backend& second = a.held() ? b : a;
        second.hold = false;
        first.break_held();
        ASSERT_TRUE(rig.until([&] { return !client->answers.empty(); }));
        EXPECT_EQ(client->status(), permitted ? "200" : "502");
        EXPECT_EQ(first.requests.size() + second.requests.size(), permitted ? 2U : 1U);
        EXPECT_EQ(quota.refused, permitted ? 0 : 1);
    }
}

}  // namespace
}  // namespace flaxdoor::gateway::test
