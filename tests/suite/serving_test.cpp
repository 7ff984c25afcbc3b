// Requests and answers as they pass through, and the connections that are kept to upstreams.
#include "peers.h"

namespace flaxdoor::test {
using namespace std::string_view_literals;

namespace {

TEST(Serving, PassesRequestAndAnswerOnUnchanged) {
    Stage s;
    const auto client = s.start_with_client();
    client->say(
        "POST /api?a=1&b=%20 HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: 9b1f\r\nX-Call-Class: book it\r\n"
        "X-Budget-Ms: 5000\r\nIdempotency-Key: k7\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: "
        "5\r\n\r\na\0b\r\n"sv);
    const auto [wire, request] = s.request();
    EXPECT_TRUE(has(request, "POST /api?a=1&b=%20 HTTP/1.1\r\n"));
    EXPECT_EQ(header(request, "X-Call-Id"), "9b1f");
    EXPECT_EQ(header(request, "Idempotency-Key"), "k7");
    EXPECT_FALSE(header(request, "X-Budget-Ms").empty());
    EXPECT_FALSE(has(request, "X-Hop"));
    EXPECT_EQ(body(request), std::string("a\0b\r\n", 5));
    wire->say(ok("x\r\ny", "X-Load-Report: active=1,avg_ms=2\r\n"));
    const auto answer = s.answer(*client);
    EXPECT_EQ(status(answer), 200);
    EXPECT_EQ(body(answer), "x\r\ny");
    EXPECT_FALSE(has(answer, "X-Load-Report"));
    s.settle();
    EXPECT_FALSE(client->ended);
}

TEST(Serving, ReadyAnswersAtOnce) {
    Stage s;
    const auto client = s.start_with_client();
    EXPECT_EQ(status(s.ask(*client, ready)), 200);
}

// The answer leaves before the client gives up, and the attempt that stays silent is given up with it: what
// the upstream is told of the time left is less than the client has.
TEST(Serving, AnswersBeforeTheClientGivesUp) {
    Stage s;
    const auto client = s.start_with_client();
    client->say(s.once(150));
    const auto [wire, request] = s.request();
    const int told = std::stoi(header(request, "X-Budget-Ms"));
    EXPECT_GT(told, 0);
    EXPECT_LT(told, 150);
    EXPECT_TRUE(failed(s.answer(*client)));
    s.until([&w = wire] { return w->ended; });
}

// Its deadline is beyond any patience here: nothing but the client's end can end it.
TEST(Serving, ClientThatLeavesEndsItsAttempt) {
    Stage s;
    s.set_deadline(60000);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.look(60000));
    client->close();
    s.until([&] { return wire->ended; });
    s.settle();
    EXPECT_EQ(s.connections(), 1U);
}

// Requests written together are answered one after the other.
TEST(Serving, PipelinedRequestsAreTakenInTurn) {
    Stage s;
    const auto client = s.start_with_client();
    const auto ids = {"one", "two", "three", "four", "five"};
    std::string all;
    for (const char* id : ids) all += s.once(5000, "body", id);
    client->say(all);
    for (const char* id : ids) {
        const auto [wire, request] = s.request();
        EXPECT_EQ(header(request, "X-Call-Id"), id);
        EXPECT_TRUE(s.nothing_sent());
        s.pass(*wire, *client, id);
    }
}

// A body of the largest size goes through whole, both ways.
TEST(Serving, TheLargestBodyPasses) {
    Stage s;
    const auto client = s.start_with_client();
    const std::string large(64 * 1024, 'x');
    client->say(s.once(5000, large));
    const auto [wire, request] = s.request();
    EXPECT_TRUE(body(request) == large);
    s.pass(*wire, *client, large);
}

TEST(Kept, ReusesAConnection) {
    Stage s(1);
    const auto client = s.start_with_client();
    for (int i = 0; i < 3; ++i) s.serve(*client);
    EXPECT_EQ(s.connections(), 1U);
}

TEST(Kept, HonoursConnectionClose) {
    Stage s(1);
    const auto client = s.start_with_client();
    for (std::size_t i = 0; i < 2; ++i) {
        const auto wire = s.send(*client, s.look());
        s.pass(*wire, *client, "served", "Connection: close\r\n");
        s.until([&] { return wire->ended; });
        EXPECT_EQ(s.connections(), i + 1);
    }
}

// An end that has come in while a connection was kept is seen before it is used: an unsafe request that were
// written to it would be lost.
TEST(Kept, NoticesAnEndBeforeReuse) {
    Stage s(1);
    const auto client = s.start_with_client();
    const auto wire = s.serve(*client, s.once());
    s.form->hold();
    client->say(s.once());
    wire->close();
    s.form->go_on();  // both are there before it looks at either
    s.pass(*s.request().first, *client);
    EXPECT_EQ(s.connections(), 2U);
}

// Bytes that nobody asked for belong to no later request.
TEST(Kept, DropsAConnectionThatSpeaksUnasked) {
    Stage s(1);
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.look());
    wire->say(ok("mine") + ok("nobody's"));
    EXPECT_EQ(body(s.answer(*client)), "mine");
    s.serve(*client, s.look(), "also mine");
    EXPECT_EQ(s.connections(), 2U);
}

TEST(Kept, ClosesBeforeTheToldIdleLimit) {
    Stage s(1);
    s.config["settings"]["limits"]["idle_close"] = 50.0;
    const auto client = s.start_with_client();
    const auto wire = s.serve(*client);
    s.until([&] { return wire->ended; });
}

}  // namespace
}  // namespace flaxdoor::test
