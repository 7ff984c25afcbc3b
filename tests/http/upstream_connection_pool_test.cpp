// Tests of the HTTP upstream connection pool over real connections, with a core and without a listener: which idle
// connection it reuses, and how it treats surplus bytes. Time-outs that must not fire are set to an hour, so that
// the tests do not depend on the machine's speed.
#include "http/upstream_connection_pool.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "../policy_rig.h"
#include "http/payload.h"
#include "http/wait_allowance.h"
#include "loop/sockets.h"
#include "on_core.h"
#include "standins/backlog.h"
#include "standins/peers.h"

namespace flaxdoor::http::test {
namespace {

using standins::peers::Listener;
using standins::peers::ok;
using standins::peers::Wire;
using WirePtr = std::shared_ptr<Wire>;

struct Answers final : core::Downstream {
    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::FinalAnswer answer) override {
        verdicts[token] = answer.verdict;
        if (answer.answer) bodies[token] = static_cast<ResponsePayload&>(*answer.answer).message.body;
    }
    std::map<std::uint64_t, core::Verdict> verdicts;
    std::map<std::uint64_t, std::string> bodies;
};

// One upstream, and a pool with the given reuse delay and waiting time (ConnectionPoolOptions).
class BackTest : public OnCore {
protected:
    void start(Micros rest, Micros wait = std::chrono::hours(24)) {
        ConnectionPoolOptions options;
        options.reuse_delay = rest;
        options.reuse_wait_burst = wait;
        back = std::make_unique<UpstreamConnectionPool>(loop.get_executor(), core, clock, budget, options);
        Settings settings = flaxdoor::test::plain_settings();
        for (auto& class_settings : settings.classes)
            class_settings.aim = class_settings.deadline = std::chrono::hours(1);
        pool = core.add_pool({"api", settings, 1}, *back, nullptr);
        core::MemberList list;
        list.members.emplace_back();
        list.members[0].entry.id = 1;
        list.members[0].address = standins::peers::text_of(upstream.address());
        core.on_list(pool, std::move(list));
    }
    void TearDown() override { core.remove_pool(pool); }

    // Sends a request and returns the connection on which the upstream receives it.
    WirePtr ask() {
        begin_call();
        return next_request();
    }
    void begin_call() {
        Request message;
        message.method = "GET";
        message.target = "/api";
        core::Call call;
        call.pool = pool;
        call.budget = std::chrono::hours(1);
        call.payload = std::make_shared<RequestPayload>(std::move(message));
        EXPECT_EQ(core.accept_call(std::move(call), answers, ++calls_sent, &last_call),
                  core::AcceptResult::accepted);
    }
    // Returns the connection on which the upstream receives a request.
    WirePtr next_request() {
        WirePtr connection;
        EXPECT_TRUE(wait_until([&] {
            for (const WirePtr& wire : upstream.wires) {
                if (!wire->take().empty()) connection = wire;
            }
            return connection != nullptr;
        }));
        return connection;
    }
    void serve(const WirePtr& connection, std::uint64_t token, std::string_view extra = "") {
        connection->send(ok("a" + std::to_string(token)) + std::string(extra));
        EXPECT_TRUE(wait_until([&] { return answers.verdicts.contains(token); }));
        EXPECT_EQ(answers.bodies[token], "a" + std::to_string(token));
    }

    ConnectionLimit budget;
    Answers answers;
    Listener upstream{loop};
    std::unique_ptr<UpstreamConnectionPool> back;
    core::PoolId pool = 0;
    std::uint64_t calls_sent = 0;
    core::CallId last_call{};
};

// Of two idle connections that have passed the reuse delay, the most recently used one is reused.
TEST_F(BackTest, AConnectionIsReusedAfterTheReuseDelay) {
    start(Micros{0});
    const WirePtr first = ask(), second = ask();
    ASSERT_NE(first, second);
    serve(first, 1);
    serve(second, 2);
    EXPECT_EQ(ask(), second);
}

// A request waits for a connection that has not passed the reuse delay, rather than open another one.
TEST_F(BackTest, ARequestWaitsForTheReuseDelay) {
    start(std::chrono::milliseconds(1));
    const WirePtr first = ask();
    for (std::uint64_t call = 1; call <= 20; ++call) {
        serve(first, call);
        ASSERT_EQ(ask(), first);
    }
    EXPECT_EQ(upstream.wires.size(), 1U);
}

// Guards against a foreign response: a late second copy of a response became the response to the next request where the
// upstream had no other connection, as in a pool that has just started, and each later request got the one before.
TEST_F(BackTest, ALateSecondResponseIsNotServedToTheNextRequest) {
    start(std::chrono::hours(1));
    const WirePtr first = ask();
    serve(first, 1);
    begin_call();
    first->send(ok("a1"));
    const WirePtr second = next_request();
    EXPECT_NE(second, first);
    serve(second, 2);
    EXPECT_TRUE(first->take().empty());
    EXPECT_TRUE(wait_until([&] { return first->ended; }));
}

// The same when the upstream ends the connection that the request waits for: it is sent on another one.
TEST_F(BackTest, ARequestWhoseConnectionEndsWhileItWaitsIsSentOnAnother) {
    start(std::chrono::hours(1));
    const WirePtr first = ask();
    serve(first, 1);
    begin_call();
    first->close();
    serve(next_request(), 2);
}

// A connection that one request waits for is not offered to another, which gets a new connection.
TEST_F(BackTest, OnlyOneRequestWaitsForAConnection) {
    start(std::chrono::hours(1));
    const WirePtr first = ask();
    serve(first, 1);
    begin_call();
    const WirePtr second = ask();
    EXPECT_NE(second, first);
    first->send(ok("a1"));
    serve(next_request(), 2);
    serve(second, 3);
}

// A request that may not wait gets a new connection, so that an upstream that is used often does not make each one wait.
TEST_F(BackTest, ARequestThatMayNotWaitGetsANewConnection) {
    start(std::chrono::hours(1), Micros{0});
    const WirePtr first = ask();
    serve(first, 1);
    EXPECT_NE(ask(), first);
}

// Waits use the allowance up, and a tenth of the time that passes is given back, up to the burst.
TEST(WaitAllowance, GainsATenthOfTheTime) {
    using std::chrono::milliseconds;
    const Micros burst = milliseconds(100);
    WaitAllowance waits;
    Time now = std::chrono::hours(1);
    EXPECT_FALSE(waits.take(now, milliseconds(101), burst));
    EXPECT_TRUE(waits.take(now, milliseconds(60), burst));
    EXPECT_FALSE(waits.take(now, milliseconds(60), burst));
    EXPECT_TRUE(waits.take(now, milliseconds(40), burst));
    EXPECT_FALSE(waits.take(now, milliseconds(1), burst));
    now += milliseconds(100);
    EXPECT_TRUE(waits.take(now, milliseconds(10), burst));
    EXPECT_FALSE(waits.take(now, milliseconds(1), burst));
    now += std::chrono::hours(1);
    EXPECT_TRUE(waits.take(now, milliseconds(100), burst));
    EXPECT_FALSE(waits.take(now, milliseconds(1), burst));
}

// A call that is cancelled while it waits sends nothing, and its connection stays in the pool.
TEST_F(BackTest, ACancelledCallThatWaitsSendsNothing) {
    start(std::chrono::hours(1));
    const WirePtr first = ask();
    serve(first, 1);
    begin_call();
    EXPECT_EQ(back->idle(), 0U);
    core.abandon_call(last_call);
    ASSERT_TRUE(wait_until([&] { return back->idle() == 1; }));
    first->send(ok("a1"));
    ASSERT_TRUE(wait_until([&] { return first->ended; }));
    EXPECT_TRUE(first->take().empty());
    EXPECT_EQ(upstream.wires.size(), 1U);
}

// Nothing is sent to an upstream that was told to drain while a request waited for its connection.
TEST_F(BackTest, ARequestThatWaitsIsNotSentToADrainingUpstream) {
    start(std::chrono::milliseconds(500));  // longer than the process may stand still before the call
    const WirePtr first = ask();
    serve(first, 1);
    begin_call();
    back->set_upstream(1, standins::peers::text_of(upstream.address()), false);
    ASSERT_TRUE(wait_until([&] { return back->idle() == 1; }));
    EXPECT_TRUE(first->take().empty());
    EXPECT_EQ(upstream.wires.size(), 1U);
}

// Surplus bytes on an idle connection close it.
TEST_F(BackTest, SurplusBytesCloseAnIdleConnection) {
    start(Micros{0});
    const WirePtr first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    second->send(ok("a2"));
    ASSERT_TRUE(wait_until([&] { return second->ended; }));
    EXPECT_EQ(ask(), first);
    serve(first, 3);
}

// The same when the bytes have arrived but are unread: they are noticed before the connection is reused.
TEST_F(BackTest, UnreadSurplusBytesCloseAnIdleConnection) {
    start(Micros{0});
    const WirePtr first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    second->send(ok("a2"));  // in the socket's buffer; the event loop has not read it
    const WirePtr third = ask();
    EXPECT_EQ(third, first);
    ASSERT_TRUE(wait_until([&] { return second->ended; }));
    serve(third, 3);
}

// After stop_accepting(), connections in the backlog can still be accepted, and no further connection is established.
TEST(Sockets, AListenerThatTakesNoMoreKeepsItsBacklog) {
    boost::asio::io_context loop{1};
    loop::tcp::acceptor acceptor(loop, standins::peers::loopback());
    acceptor.non_blocking(true);
    loop::tcp::socket before(loop), after(loop), accepted(loop);
    before.connect(acceptor.local_endpoint());
    loop::stop_accepting(acceptor);
    after.async_connect(acceptor.local_endpoint(), [](const loop::error_code&) {});
    EXPECT_TRUE(
        standins::run_until(loop, [&] { return standins::connecting_to(acceptor.local_endpoint()); }));
    loop::error_code error;
    loop::accept(acceptor, accepted, error);
    EXPECT_FALSE(error);
    EXPECT_EQ(accepted.remote_endpoint(), before.local_endpoint());
    loop::tcp::socket none(loop);
    loop::accept(acceptor, none, error);
    EXPECT_EQ(error, boost::asio::error::would_block);
    after.close();
}

}  // namespace
}  // namespace flaxdoor::http::test
