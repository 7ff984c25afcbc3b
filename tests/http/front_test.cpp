// The HTTP front over real connections, whose loop runs only when the test says: what has come and is not read yet when
// something is closed.
#include "http/front.h"

#include <gtest/gtest.h>

#include <chrono>

#include "on_core.h"
#include "standins/peers.h"

namespace flaxdoor::http::test {
namespace {

using standins::peers::Client;

// Answers each request with its target.
struct Echo final : Handler {
    std::variant<Answer, Ask> on_request(Request message, const From&) override {
        Answer told;
        told.message.status = 200;
        told.message.reason = "OK";
        told.message.body = message.target;
        return told;
    }
    Response on_final(core::Final, Asked*) override { return {}; }
    Answer on_not_taken(core::Taken, Asked*) override { return {}; }
};

class FrontTest : public OnCore {
protected:
    void start(FrontLimits limits = {}) {
        front = std::make_unique<Front>(loop.get_executor(), core, echo, clock, limits);
        front->listen(standins::peers::loopback());
    }
    std::shared_ptr<Client> client() { return std::make_shared<Client>(loop, front->address()); }
    static std::string get(const std::string& target) {
        return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }
    void serve(Client& from, const std::string& target) {
        const std::size_t n = from.answers.size();
        from.send(get(target));
        ASSERT_TRUE(until([&] { return from.answers.size() > n; }));
        EXPECT_EQ(from.body(n), target);
    }

    Echo echo;
    std::unique_ptr<Front> front;
};

// The loop has not looked since: a request, whole or half, lies unread on a connection at rest, another one on a connection
// that waits to be accepted. Whoever has nothing there is closed, the others are served first.
TEST_F(FrontTest, WhatLiesUnreadWhenItWindsDownIsServed) {
    FrontLimits limits;
    limits.request = std::chrono::milliseconds(800);  // looked at each tenth of a second
    limits.linger = std::chrono::milliseconds(1);
    start(limits);
    const auto address = front->address();
    const auto whole = client(), half = client(), idle = client();
    for (const auto& each : {whole, half, idle}) serve(*each, "/first");
    whole->send(get("/whole"));
    half->send(get("/half").substr(0, 9));
    const auto waits = client();
    waits->send(get("/waits"));
    front->begin_drain();
    EXPECT_TRUE(front->wind_down());
    half->send(get("/half").substr(9));
    ASSERT_TRUE(until([&] { return whole->ended && half->ended && idle->ended && waits->ended; }));
    EXPECT_EQ(whole->body(1), "/whole");
    EXPECT_EQ(half->body(1), "/half");
    EXPECT_EQ(waits->body(0), "/waits");
    EXPECT_EQ(idle->answers.size(), 1U);
    ASSERT_TRUE(until([&] { return !front->wind_down(); }));
    EXPECT_TRUE(std::make_shared<Client>(loop, address)->refused);
}

// At the cap the one idle longest gives way to a new client: not one whose next request lies unread, or came just before.
TEST_F(FrontTest, AConnectionInUseGivesWayToNobody) {
    FrontLimits limits;
    limits.most = 2;
    start(limits);
    const auto older = client(), newer = client();
    serve(*older, "/first");
    serve(*newer, "/first");
    older->send(get("/second"));
    const auto third = client();
    serve(*third, "/third");
    ASSERT_TRUE(until([&] { return older->answers.size() == 2 && newer->ended; }));
    EXPECT_FALSE(older->ended);
}

}  // namespace
}  // namespace flaxdoor::http::test
