// A balancer that does nothing for a while: what came meanwhile was told, and taken, all the same.
#include "peers.h"

namespace flaxdoor::test {
namespace {

using std::chrono::milliseconds;

// A request that is here whole is taken, however long the balancer did not look and however many there are:
// not one of them is cut off for having been late.
TEST(Stall, RequestsThatCameMeanwhileAreAnswered) {
    for (const bool half : {false, true}) {
        Stage s(1);
        s.operators = "[http]\nrequest_timeout = \"1s\"\n";
        s.start();
        std::vector<std::shared_ptr<Wire>> clients;
        for (int i = 0; i < 300; ++i)
            clients.push_back(s.client());  // more than one look at the kernel tells
        const std::size_t first = half ? 20 : 0;
        std::vector<std::string> requests;
        for (const auto& client : clients) {
            requests.push_back(s.look());
            client->say(requests.back().substr(0, first));
        }
        s.settle();
        s.stall(milliseconds(1100), [&] {
            for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->say(requests[i].substr(first));
        });
        std::size_t answered = 0;
        s.until([&] {
            for (auto [wire, request] = s.request_here(); wire; std::tie(wire, request) = s.request_here())
                wire->say(ok());
            answered = 0;
            for (const auto& client : clients) answered += has(client->in, "\r\n\r\n");
            return std::all_of(clients.begin(), clients.end(),
                               [](const auto& c) { return c->ended || has(c->in, "\r\n\r\n"); });
        });
        EXPECT_EQ(answered, clients.size()) << (half ? "half a request" : "no request") << " came before";
    }
}

// What discovery told meanwhile comes first, whoever had spoken first and however much it is: a request that
// waited as well is not sent to an upstream that leaves.
TEST(Stall, AnUpstreamThatLeftMeanwhileGetsNothingNew) {
    for (const bool discovery_first : {false, true}) {
        Stage s(1);
        s.start();
        const auto watch = s.watch();
        watch->say(watch_head + chunk("\n"));
        std::vector<std::shared_ptr<Wire>> clients;
        for (int i = 0; i < 20; ++i) clients.push_back(s.client());
        s.serve(*clients[0], s.once());
        s.settle();
        json hosts = json::array();
        for (int i = 0; i < 500; ++i) {  // more than is read at once
            hosts.push_back(Stage::entry("o-" + std::to_string(i), s.upstreams[0]->address(), "left"));
        }
        hosts.push_back(s.upstream(0, "leaving"));
        const auto tell = [&] { watch->say(Stage::news(9, false, hosts)); };
        s.stall(std::chrono::milliseconds(100), [&] {
            if (discovery_first) tell();
            for (const auto& client : clients) client->say(s.once(200));
            if (!discovery_first) tell();
        });
        for (const auto& client : clients) EXPECT_TRUE(refused(s.answer(*client)));
        EXPECT_TRUE(s.nothing_sent());
        EXPECT_EQ(s.logged("discovery: "), 0U);
    }
}

}  // namespace
}  // namespace flaxdoor::test
