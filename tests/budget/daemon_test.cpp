// Tests the daemon with a [budget] table and an unreachable coordinator: it uses its reserve only, and
// refuses what exceeds the reserve at once.
#include <chrono>
#include <map>

#include "peers.h"

namespace flaxdoor::test {
namespace {

TEST(BudgetDaemon, WithoutACoordinatorOnlyTheReserve) {
    constexpr int wanted = 8;
    constexpr auto permit_interval = std::chrono::milliseconds(50);  // at 20 a second
    BalancerFixture stage(2);
    // Nothing listens on port 1, so connections are refused.
    stage.operators =
        "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 5\nterm = \"200ms\"\n"
        "[[budget_limit]]\nname = \"all\"\ncounts = \"requests\"\nrate = 100\nburst = 5\n"
        "reserve_rate = 20\nreserve_burst = 1\n";
    stage.config["settings"]["limits"]["retry_after"] = true;
    stage.config["settings"]["limits"]["max_retry_after"] = 500.0;
    stage.config["name"] = "n1";
    const auto began = std::chrono::steady_clock::now();
    stage.start();
    std::vector<std::shared_ptr<Wire>> clients;
    for (int i = 0; i < 3; ++i) clients.push_back(stage.client());
    for (auto& client : clients) client->send(stage.once(4000));
    std::map<std::string, int> requests_by_call;
    int served = 0, refused = 0, other = 0;
    stage.until([&] {
        for (;;) {
            auto [wire, message] = stage.received_request();
            if (!wire) break;
            const auto at = message.find("X-Call-Id: ") + 11;
            ++requests_by_call[message.substr(at, message.find("\r\n", at) - at)];
            wire->send(ok("served", ""));
        }
        for (auto& client : clients) {
            const std::string answer = client->take();
            if (answer.empty() || status(answer) < 200) continue;
            const bool unavailable = status(answer) == 503;
            ++(status(answer) == 200 ? served : unavailable ? refused : other);
            if (unavailable) {
                EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
            }
            if (served < wanted) client->send(stage.once(4000));
        }
        return served >= wanted;
    });
    // The bucket starts empty, so this holds on a machine of any speed.
    EXPECT_GE(std::chrono::steady_clock::now() - began, wanted * permit_interval);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(other, 0);
    for (const auto& [id, times] : requests_by_call) EXPECT_EQ(times, 1) << id;
    std::cout << "served " << served << ", refused " << refused << "\n";
    stage.form->end();
    for (auto& client : clients) client->close();
    stage.until_exited();
}

}  // namespace
}  // namespace flaxdoor::test
