// Tests of the HTTP upstream connection pool over real connections, with a core and without a listener: which idle
// connection it reuses, and how it treats unsolicited bytes. Time-outs that must not fire are set to an hour, so that
// the tests do not depend on the machine's speed.
#include "http/upstream_connection_pool.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "../policy_rig.h"
#include "http/payload.h"
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

// One upstream, and a pool with the given reuse delay (ConnectionPoolOptions::reuse_delay).
class BackTest : public OnCore {
protected:
    void start(Micros rest) {
        ConnectionPoolOptions options;
        options.reuse_delay = rest;
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
        Request message;
        message.method = "GET";
        message.target = "/api";
        core::Call call;
        call.pool = pool;
        call.budget = std::chrono::hours(1);
        call.payload = std::make_shared<RequestPayload>(std::move(message));
        EXPECT_EQ(core.accept_call(std::move(call), answers, ++calls_sent), core::AcceptResult::accepted);
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
};

// Of two idle connections, the most recently used one is reused when both have passed the reuse delay. When neither
// has, the other one is reused: a duplicate response in transit is more likely on the most recently used connection.
TEST_F(BackTest, AConnectionIsReusedAfterTheReuseDelay) {
    for (const bool delay_passed : {true, false}) {
        SCOPED_TRACE(delay_passed);
        start(delay_passed ? Micros{0} : std::chrono::hours(1));
        const WirePtr first = ask(), second = ask();
        ASSERT_NE(first, second);
        serve(first, calls_sent - 1);
        serve(second, calls_sent);
        EXPECT_EQ(ask(), delay_passed ? second : first);
        core.remove_pool(pool);
        upstream.wires.clear();
    }
}

// Unsolicited bytes on an idle connection close it and put the upstream in doubt: connections that have not passed the
// reuse delay are no longer reused, so the next request gets a new connection. Bytes on the old ones do not become its
// response.
TEST_F(BackTest, UnsolicitedBytesPutTheUpstreamInDoubt) {
    start(std::chrono::hours(1));
    const WirePtr first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    first->send(ok("a1"));
    ASSERT_TRUE(wait_until([&] { return first->ended; }));
    const WirePtr third = ask();
    EXPECT_NE(third, second);
    second->send(ok("a2"));
    ASSERT_TRUE(wait_until([&] { return second->ended; }));
    serve(third, 3);
}

// The same when the bytes have arrived but are unread: they are noticed before the connection is reused.
TEST_F(BackTest, UnreadUnsolicitedBytesPutTheUpstreamInDoubt) {
    start(std::chrono::hours(1));
    const WirePtr first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    first->send(ok("a1"));  // in the socket's buffer; the event loop has not read it
    const WirePtr third = ask();
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
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
