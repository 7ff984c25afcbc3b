// Tests of forwarded requests and responses, and of the idle connections kept to upstreams.
#include "peers.h"

namespace flaxdoor::test {
using namespace std::string_view_literals;

namespace {

TEST(Serving, ForwardsRequestAndResponseUnchanged) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    client->send(
        "POST /api?a=1&b=%20 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: 9b1f\r\nX-Call-Class: book it\r\n"
        "X-Budget-Ms: 5000\r\nIdempotency-Key: k7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: "
        "5\r\n\r\na\0b\r\n"sv);
    const auto [wire, request] = fixture.request();
    EXPECT_TRUE(has(request, "POST /api?a=1&b=%20 HTTP/1.1\r\n"));
    EXPECT_EQ(header(request, "X-Call-Id"), "9b1f");
    EXPECT_EQ(header(request, "Idempotency-Key"), "k7");
    EXPECT_FALSE(header(request, "X-Budget-Ms").empty());
    EXPECT_FALSE(has(request, "X-Hop"));
    EXPECT_EQ(body(request), std::string("a\0b\r\n", 5));
    wire->send(ok("x\r\ny", "X-Load-Report: active=1,avg_ms=2\r\n"));
    const auto answer = fixture.answer(*client);
    EXPECT_EQ(status(answer), 200);
    EXPECT_EQ(body(answer), "x\r\ny");
    EXPECT_FALSE(has(answer, "X-Load-Report"));
    fixture.settle();
    EXPECT_FALSE(client->ended);
}

TEST(Serving, ReadyAnswersAtOnce) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    EXPECT_EQ(status(fixture.ask(*client, ready)), 200);
}

// The client gets a response before its deadline, and the unanswered attempt is cancelled with it. The budget sent to
// the upstream is less than the client's.
TEST(Serving, AnswersBeforeTheClientGivesUp) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    client->send(fixture.once(150));
    const auto [wire, request] = fixture.request();
    const int budget_ms = std::stoi(header(request, "X-Budget-Ms"));
    EXPECT_GT(budget_ms, 0);
    EXPECT_LT(budget_ms, 150);
    EXPECT_TRUE(failed(fixture.answer(*client)));
    fixture.until([&connection = wire] { return connection->ended; });
}

// The deadline is longer than the test may take, so only the client's disconnect can end the attempt.
TEST(Serving, AClientsDisconnectCancelsItsAttempt) {
    BalancerFixture fixture;
    fixture.set_deadline(60000);
    const auto client = fixture.start_with_client();
    const auto wire = fixture.send(*client, fixture.look(60000));
    client->close();
    fixture.until([&] { return wire->ended; });
    fixture.settle();
    EXPECT_EQ(fixture.connections(), 1U);
}

// Pipelined requests are forwarded and answered one after the other.
TEST(Serving, PipelinedRequestsAreServedInOrder) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    const auto ids = {"one", "two", "three", "four", "five"};
    std::string all;
    for (const char* id : ids) all += fixture.once(5000, "body", id);
    client->send(all);
    for (const char* id : ids) {
        const auto [wire, request] = fixture.request();
        EXPECT_EQ(header(request, "X-Call-Id"), id);
        EXPECT_TRUE(fixture.no_request_forwarded());
        fixture.pass(*wire, *client, id);
    }
}

// A body of the maximum size is forwarded completely in both directions.
TEST(Serving, TheLargestBodyIsForwarded) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    const std::string large(64 * 1024, 'x');
    client->send(fixture.once(5000, large));
    const auto [wire, request] = fixture.request();
    EXPECT_TRUE(body(request) == large);
    fixture.pass(*wire, *client, large);
}

TEST(Kept, ReusesAConnection) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    for (int i = 0; i < 3; ++i) fixture.serve(*client);
    EXPECT_EQ(fixture.connections(), 1U);
}

TEST(Kept, HonoursConnectionClose) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    for (std::size_t i = 0; i < 2; ++i) {
        const auto wire = fixture.send(*client, fixture.look());
        fixture.pass(*wire, *client, "served", "Connection: close\r\n");
        fixture.until([&] { return wire->ended; });
        EXPECT_EQ(fixture.connections(), i + 1);
    }
}

// The unread end of an idle connection is noticed before the connection is reused; an unsafe request written to it
// would be lost.
TEST(Kept, NoticesAnEndBeforeReuse) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    const auto wire = fixture.serve(*client, fixture.once());
    fixture.form->hold();
    client->send(fixture.once());
    wire->close();
    fixture.form->go_on();  // the request and the end have both arrived before the balancer reads either
    fixture.pass(*fixture.request().first, *client);
    EXPECT_EQ(fixture.connections(), 2U);
}

// Unsolicited bytes do not become the response to a later request.
TEST(Kept, DropsAConnectionWithUnsolicitedBytes) {
    BalancerFixture fixture(1);
    const auto client = fixture.start_with_client();
    const auto wire = fixture.send(*client, fixture.look());
    wire->send(ok("mine") + ok("nobody's"));
    EXPECT_EQ(body(fixture.answer(*client)), "mine");
    fixture.serve(*client, fixture.look(), "also mine");
    EXPECT_EQ(fixture.connections(), 2U);
}

TEST(Kept, ClosesBeforeTheUpstreamsIdleLimit) {
    BalancerFixture fixture(1);
    fixture.config["settings"]["limits"]["idle_close"] = 50.0;
    const auto client = fixture.start_with_client();
    const auto wire = fixture.serve(*client);
    fixture.until([&] { return wire->ended; });
}

}  // namespace
}  // namespace flaxdoor::test
