// The daemon with [budget] and no coordinator to be reached: its reserve is all that it uses, and what is beyond that is
// refused at once.
#include <chrono>
#include <map>

#include "peers.h"

namespace flaxdoor::test {
namespace {

TEST(BudgetDaemon, WithoutACoordinatorTheReserveAndNoMore) {
    constexpr int wanted = 8;
    constexpr auto a_permit = std::chrono::milliseconds(50);  // at 20 a second
    Stage s(2);
    // Nobody can listen on port 1 there: a connection is refused.
    s.operators =
        "[budget]\ncoordinator = \"127.0.0.1:1\"\nbalancers = 5\nterm = \"200ms\"\n"
        "[[budget_limit]]\nname = \"all\"\ncounts = \"requests\"\nrate = 100\nburst = 5\n"
        "reserve_rate = 20\nreserve_burst = 1\n";
    s.config["settings"]["limits"]["retry_after"] = true;
    s.config["settings"]["limits"]["max_retry_after"] = 500.0;
    s.config["name"] = "n1";
    const auto began = std::chrono::steady_clock::now();
    s.start();
    std::vector<std::shared_ptr<Wire>> clients;
    for (int i = 0; i < 3; ++i) clients.push_back(s.client());
    for (auto& client : clients) client->say(s.once(4000));
    std::map<std::string, int> at_server;
    int served = 0, refused = 0, other = 0;
    s.until([&] {
        for (;;) {
            auto [wire, message] = s.request_here();
            if (!wire) break;
            const auto at = message.find("X-Call-Id: ") + 11;
            ++at_server[message.substr(at, message.find("\r\n", at) - at)];
            wire->say(ok("served", ""));
        }
        for (auto& client : clients) {
            const std::string told = client->take();
            if (told.empty() || status(told) < 200) continue;
            const bool no = status(told) == 503;
            ++(status(told) == 200 ? served : no ? refused : other);
            if (no) {
                EXPECT_NE(told.find("Retry-After: "), std::string::npos) << told;
            }
            if (served < wanted) client->say(s.once(4000));
        }
        return served >= wanted;
    });
    // The bucket begins empty, so this holds on a machine of any speed.
    EXPECT_GE(std::chrono::steady_clock::now() - began, wanted * a_permit);
    EXPECT_GT(refused, 0);
    EXPECT_EQ(other, 0);
    for (const auto& [id, times] : at_server) EXPECT_EQ(times, 1) << id;
    std::cout << "served " << served << ", refused " << refused << "\n";
    s.form->end();
    for (auto& client : clients) client->close();
    s.until_ended();
}

}  // namespace
}  // namespace flaxdoor::test
