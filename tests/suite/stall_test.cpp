// Tests of a balancer process that is suspended for a while: events that arrived meanwhile are handled correctly.
#include "peers.h"

namespace flaxdoor::test {
namespace {

using std::chrono::milliseconds;

// A complete request that has arrived is served, however long the balancer was suspended and however many there are. No
// connection may be closed by the request time-out because the balancer read it late.
TEST(Stall, RequestsThatArrivedMeanwhileAreAnswered) {
    for (const bool partial : {false, true}) {
        BalancerFixture fixture(1);
        fixture.operators = "[http]\nrequest_timeout = \"1s\"\n";
        fixture.start();
        std::vector<std::shared_ptr<Wire>> clients;
        for (int i = 0; i < 300; ++i)
            clients.push_back(fixture.client());  // more than one epoll_wait call reports
        const std::size_t first = partial ? 20 : 0;
        std::vector<std::string> requests;
        for (const auto& client : clients) {
            requests.push_back(fixture.look());
            client->send(requests.back().substr(0, first));
        }
        fixture.settle();
        fixture.stall(milliseconds(1100), [&] {
            for (std::size_t i = 0; i < clients.size(); ++i) clients[i]->send(requests[i].substr(first));
        });
        std::size_t answered = 0;
        fixture.until([&] {
            for (auto [wire, request] = fixture.received_request(); wire;
                 std::tie(wire, request) = fixture.received_request())
                wire->send(ok());
            answered = 0;
            for (const auto& client : clients) answered += has(client->in, "\r\n\r\n");
            return std::all_of(clients.begin(), clients.end(), [](const auto& client) {
                return client->ended || has(client->in, "\r\n\r\n");
            });
        });
        EXPECT_EQ(answered, clients.size())
            << (partial ? "part of a request" : "no request") << " arrived before";
    }
}

// Discovery changes that arrived during the stall are applied before requests, whichever arrived first and however
// large the changes are: a waiting request is not sent to an upstream that is leaving.
TEST(Stall, AnUpstreamThatLeftMeanwhileGetsNoNewRequest) {
    for (const bool discovery_first : {false, true}) {
        BalancerFixture fixture(1);
        fixture.start();
        const auto watch = fixture.watch();
        watch->send(watch_head + chunk("\n"));
        std::vector<std::shared_ptr<Wire>> clients;
        for (int i = 0; i < 20; ++i) clients.push_back(fixture.client());
        fixture.serve(*clients[0], fixture.once());
        fixture.settle();
        json hosts = json::array();
        for (int i = 0; i < 500; ++i) {  // more than one read returns
            hosts.push_back(
                BalancerFixture::entry("o-" + std::to_string(i), fixture.upstreams[0]->address(), "left"));
        }
        hosts.push_back(fixture.upstream(0, "leaving"));
        const auto send_changes = [&] { watch->send(BalancerFixture::watch_update(9, false, hosts)); };
        fixture.stall(std::chrono::milliseconds(100), [&] {
            if (discovery_first) send_changes();
            for (const auto& client : clients) client->send(fixture.once(200));
            if (!discovery_first) send_changes();
        });
        for (const auto& client : clients) EXPECT_TRUE(refused(fixture.answer(*client)));
        EXPECT_TRUE(fixture.no_request_forwarded());
        EXPECT_EQ(fixture.logged("discovery: "), 0U);
    }
}

}  // namespace
}  // namespace flaxdoor::test
