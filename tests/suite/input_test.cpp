// What clients send that can't be used, or never comes to an end.
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

// Each ends its connection, and nothing of it reaches an upstream. What it was told, if that is `told`.
void each_is_closed(Stage& s, const Cases& cases, bool told) {
    s.start();
    for (const auto& [text, its_status] : cases) {
        SCOPED_TRACE(text.substr(0, 300));
        const auto client = s.client();
        const auto answer = s.ask(*client, text);
        if (told) {
            EXPECT_EQ(status(answer), its_status);
        } else {
            EXPECT_NE(status(answer), 200);
        }
        s.until([&c = client] { return c->ended; });
        EXPECT_TRUE(client->in.empty());
        s.settle();
        EXPECT_EQ(s.connections(), 0U);
    }
    const auto client = s.client();  // and it serves on
    s.serve(*client);
}

// Requests that can be read, but not understood.
TEST(BadInput, IsAnsweredAndClosed) {
    Stage s(1);
    const std::string post = head;
    const std::string none = "Content-Length: 0\r\n\r\n";
    const std::string hidden = s.look();
    each_is_closed(
        s,
        {
            {"GET /other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
            {post + "X-Call-Class: unheard\r\nX-Budget-Ms: 100\r\n" + none, 400},
            {post + "X-Call-Class: book it\r\nX-Budget-Ms: 100\r\n" + none, 400},
            // the time left, and the id; every way that they can be wrong is in http/platform_test.cpp
            {post + "X-Call-Class: once\r\n" + none, 400},
            {"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Class: look\r\nX-Budget-Ms: 100\r\n\r\n", 400},
            // bodies where none may be, and too large a one
            {get() + length_of(hidden) + "\r\n" + hidden, 400},
            {get() + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + hidden, 400},
            {good() + "Content-Length: 65537\r\n\r\n" + std::string(65537, 'x'), 413},
        },
        true);
}

// What is no request: not even one that is hidden behind it gets through.
Cases no_requests(const std::string& hidden) {
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
    Stage s(1);
    each_is_closed(s, no_requests(s.look()), true);
}

TEST(BadInput, NothingHiddenGetsThrough) {
    Stage s(1);
    each_is_closed(s, no_requests(s.look()), false);
}

// An id that is open already, the same client's or another's, would mix up two requests at the upstreams.
TEST(BadInput, AnOpenIdIsNotTakenTwice) {
    Stage s;
    const auto client = s.start_with_client();
    const auto wire = s.send(*client, s.once(5000, "mine", "x7"));
    const auto other = s.client();
    EXPECT_EQ(status(s.ask(*other, s.once(5000, "theirs", "x7"))), 409);
    s.until([&] { return other->ended; });
    EXPECT_TRUE(s.nothing_sent());
    s.pass(*wire, *client, "for mine");
    s.serve(*client, s.once(5000, "again", "x7"));
}

// The class tells how long its clients wait at most.
TEST(BadInput, ABudgetBeyondTheClassIsCut) {
    Stage s;
    const auto client = s.start_with_client();
    client->say(s.once(4000000));
    const auto [wire, request] = s.request();
    EXPECT_LE(std::stoi(header(request, "X-Budget-Ms")), 5000);
    s.pass(*wire, *client);
}

// Neither one that never speaks nor one that stops halfway is kept; one that has been served is.
TEST(BadInput, SilenceAndHalvesAreClosed) {
    Stage s;
    s.operators = "[http]\nrequest_timeout = \"80ms\"\n";
    s.start();
    const auto served = s.client();
    s.serve(*served);
    const auto silent = s.client();
    const auto half = s.client();
    half->say(s.once().substr(0, 60));
    const auto body = s.client();
    body->say("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nbod");
    s.until([&] { return silent->ended && half->ended && body->ended; });
    EXPECT_FALSE(served->ended);
    s.serve(*served);
}

// A client that goes on sending after its answer is not listened to for long.
TEST(BadInput, LingeringIsBounded) {
    for (const bool sends : {true, false}) {
        Stage s;
        s.operators =
            sends ? "[http]\nrequest_timeout = \"80ms\"\nlinger_timeout = \"60s\"\nlinger_bytes = \"4KiB\"\n"
                  : "[http]\nrequest_timeout = \"80ms\"\nsend_timeout = \"60s\"\nlinger_timeout = \"40ms\"\n";
        const auto client = s.start_with_client();
        EXPECT_EQ(status(s.ask(*client, "nonsense\r\n\r\n")), 400);
        s.until([&] { return !client->try_say(std::string(sends ? 1024 : 1, 'x')); });
    }
}

}  // namespace
}  // namespace flaxdoor::test
