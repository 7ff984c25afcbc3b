// Tests of the limits on client connections, and of which connections are evicted at a limit.
#include "peers.h"

namespace flaxdoor::test {
namespace {

// At the connection limit, a connection that has sent nothing is evicted first, then an idle one; one that waits for
// its response is never evicted.
TEST(Limits, IdleClientsMakeRoom) {
    BalancerFixture fixture(1);
    fixture.config["limits"]["sockets"] = 38;  // leaves three for clients
    // Time-outs must not close the idle connections, so that only the limit can.
    fixture.operators = "[http]\nrequest_timeout = \"60s\"\nidle_timeout_crowded = \"60s\"\n";
    fixture.start();
    const auto busy = fixture.client();
    const auto wire = fixture.send(*busy, fixture.look());
    const auto idle = fixture.client();
    EXPECT_EQ(status(fixture.ask(*idle, ready)), 200);
    const auto silent = fixture.client();
    const auto third = fixture.client();
    EXPECT_EQ(status(fixture.ask(*third, ready)), 200);
    fixture.until([&] { return silent->ended || idle->ended; });
    const auto fourth = fixture.client();
    EXPECT_EQ(status(fixture.ask(*fourth, ready)), 200);
    fixture.until([&] { return idle->ended; });
    fixture.pass(*wire, *busy);
}

// While all connections wait for their responses, another client waits in the backlog; it is accepted once the next
// response is sent.
TEST(Limits, AResponseAdmitsTheNextClient) {
    // Two upstreams have capacity for three requests, as a form without a connection limit forwards the third at once.
    BalancerFixture fixture(2);
    fixture.config["limits"]["sockets"] = 36;  // leaves two for clients
    // Time-outs must not close a connection, so that only the response can admit the client.
    fixture.operators = "[http]\nrequest_timeout = \"60s\"\n";
    fixture.start();
    const auto first = fixture.client();
    const auto wire = fixture.send(*first, fixture.look(5000, "one"));
    const auto second = fixture.client();
    const auto other = fixture.send(*second, fixture.look(5000, "two"));
    const auto third = fixture.client();
    third->send(fixture.look(5000, "three"));
    fixture.pass(*wire, *first);
    const auto [last, request] = fixture.request();
    EXPECT_EQ(header(request, "X-Call-Id"), "three");
    fixture.pass(*last, *third);
    fixture.pass(*other, *second);
}

// Clients that send one request and keep their connection must not occupy all connections that a load balancer in front
// allows. They may hold a quarter of the descriptors; beyond that, each request evicts the connection idle longest.
TEST(Limits, ClientsThatAskedOnceGiveWay) {
    BalancerFixture fixture(1);
    fixture.config["limits"]["sockets"] =
        32 + 16;  // eight for clients, four of them for clients that have sent a request
    fixture.start();
    std::vector<std::shared_ptr<Wire>> clients;
    for (int i = 0; i < 7; ++i) {
        clients.push_back(fixture.client());
        fixture.serve(*clients.back());
    }
    const auto open_connections = [&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](const auto& client) { return !client->ended; });
    };
    fixture.until([&] { return open_connections() == 4; });
    // The remaining connections are still served. A connection is not closed while a request may be in transit on it;
    // its close is announced with a response.
    for (const auto& client : clients) {
        if (client->ended) continue;
        fixture.serve(*client);
    }
    EXPECT_EQ(open_connections(), 4);
}

}  // namespace
}  // namespace flaxdoor::test
