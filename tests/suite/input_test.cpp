// Tests of invalid and incomplete client input.
#include "peers.h"

namespace flaxdoor::test {
namespace {

using Cases = std::vector<std::pair<std::string, int>>;

const char* const head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\n";
std::string good() { return std::string(head) + "X-Call-Class: once\r\nX-Budget-Ms: 100\r\n"; }
std::string get() {
    return "GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: c\r\nX-Call-Class: look\r\nX-Budget-Ms: 100\r\n";
}
std::string length_of(const std::string& text) {
    return "Content-Length: " + std::to_string(text.size()) + "\r\n";
}

// Sends each input on a new connection, and expects that the connection is closed and that nothing reaches an
// upstream. With `check_status`, also expects the status of the response; otherwise only that it is not 200.
void expect_each_is_closed(BalancerFixture& fixture, const Cases& cases, bool check_status) {
    fixture.start();
    for (const auto& [text, expected_status] : cases) {
        SCOPED_TRACE(text.substr(0, 300));
        const auto client = fixture.client();
        const auto answer = fixture.ask(*client, text);
        if (check_status) {
            EXPECT_EQ(status(answer), expected_status);
        } else {
            EXPECT_NE(status(answer), 200);
        }
        fixture.until([&connection = client] { return connection->ended; });
        EXPECT_TRUE(client->in.empty());
        fixture.settle();
        EXPECT_EQ(fixture.connections(), 0U);
    }
    const auto client = fixture.client();  // the balancer still serves
    fixture.serve(*client);
}

// Requests that are valid HTTP, but not valid for the platform.
TEST(BadInput, AnInvalidRequestIsAnsweredAndClosed) {
    BalancerFixture fixture(1);
    const std::string post = head;
    const std::string none = "Content-Length: 0\r\n\r\n";
    const std::string hidden = fixture.look();
    expect_each_is_closed(
        fixture,
        {
            {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
            {post + "X-Call-Class: unheard\r\nX-Budget-Ms: 100\r\n" + none, 400},
            {post + "X-Call-Class: book it\r\nX-Budget-Ms: 100\r\n" + none, 400},
            // the budget and the id are missing; tests/http/platform_test.cpp covers all other errors
            {post + "X-Call-Class: once\r\n" + none, 400},
            {"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Class: look\r\nX-Budget-Ms: 100\r\n\r\n", 400},
            // bodies of GET requests, and a body that is too large
            {get() + length_of(hidden) + "\r\n" + hidden, 400},
            {get() + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + hidden, 400},
            {good() + "Content-Length: 65537\r\n\r\n" + std::string(65537, 'x'), 413},
        },
        true);
}

// Malformed requests, most of them followed by a valid request, which must not reach an upstream either.
Cases malformed_requests(const std::string& hidden) {
    const std::string length = length_of(hidden);
    return {
        {"nonsense\r\n\r\n", 400},
        {"GET /api HTTP/1.1\r\nX-Long: " + std::string(20000, 'x'), 400},
        {good() + "Content-Length: 1x\r\n\r\n", 400},
        {good() + "Content-Length: -1\r\n\r\n", 400},
        {good() + "Content-Length: 99999999999999999999999\r\n\r\n", 400},
        {good() + "Content-Length: 265537\r\n\r\n", 413},
        {good() + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + hidden, 400},
        {good() + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + hidden, 400},
        {good() + length + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: chunked\r\n" + length + "\r\n0\r\n\r\n" + hidden, 400},
        {good() + length + "Transfer-Encoding: identity\r\n\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: identity\r\n" + length + "\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: xchunked\r\n" + length + "\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: chunked, identity\r\n" + length + "\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden, 400},
        {good() + "Content-Length : 0\r\n\r\n" + hidden, 400},
        {good() + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, 400},
    };
}

TEST(BadInput, WhatIsNoRequestIsAnsweredAndClosed) {
    BalancerFixture fixture(1);
    expect_each_is_closed(fixture, malformed_requests(fixture.look()), true);
}

TEST(BadInput, NoHiddenRequestIsForwarded) {
    BalancerFixture fixture(1);
    expect_each_is_closed(fixture, malformed_requests(fixture.look()), false);
}

// A second request with an id that is in use would be confused with the first one at the upstreams.
TEST(BadInput, AnIdInUseIsRejected) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    const auto wire = fixture.send(*client, fixture.once(5000, "mine", "x7"));
    const auto other = fixture.client();
    EXPECT_EQ(status(fixture.ask(*other, fixture.once(5000, "theirs", "x7"))), 409);
    fixture.until([&] { return other->ended; });
    EXPECT_TRUE(fixture.no_request_forwarded());
    fixture.pass(*wire, *client, "for mine");
    fixture.serve(*client, fixture.once(5000, "again", "x7"));
}

// The deadline of the class bounds the client's budget.
TEST(BadInput, ABudgetAboveTheClassDeadlineIsCapped) {
    BalancerFixture fixture;
    const auto client = fixture.start_with_client();
    client->send(fixture.once(4000000));
    const auto [wire, request] = fixture.request();
    EXPECT_LE(std::stoi(header(request, "X-Budget-Ms")), 5000);
    fixture.pass(*wire, *client);
}

// Connections that send nothing, or stop in the middle of a request, are closed. An idle connection that was served
// is kept.
TEST(BadInput, SilenceAndHalvesAreClosed) {
    BalancerFixture fixture;
    fixture.operators = "[http]\nrequest_timeout = \"80ms\"\n";
    fixture.start();
    const auto served = fixture.client();
    fixture.serve(*served);
    const auto silent = fixture.client();
    const auto half = fixture.client();
    half->send(fixture.once().substr(0, 60));
    const auto body = fixture.client();
    body->send("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nbod");
    fixture.until([&] { return silent->ended && half->ended && body->ended; });
    EXPECT_FALSE(served->ended);
    fixture.serve(*served);
}

// A client that keeps sending after the last response is read only up to the limits on bytes and time.
TEST(BadInput, LingeringIsBounded) {
    for (const bool sends : {true, false}) {
        BalancerFixture fixture;
        fixture.operators =
            sends ? "[http]\nrequest_timeout = \"80ms\"\nlinger_timeout = \"60s\"\nlinger_bytes = \"4KiB\"\n"
                  : "[http]\nrequest_timeout = \"80ms\"\nsend_timeout = \"60s\"\nlinger_timeout = \"40ms\"\n";
        const auto client = fixture.start_with_client();
        EXPECT_EQ(status(fixture.ask(*client, "nonsense\r\n\r\n")), 400);
        fixture.until([&] { return !client->try_say(std::string(sends ? 1024 : 1, 'x')); });
    }
}

}  // namespace
}  // namespace flaxdoor::test
