// The HTTP back over real connections, with a core and no front of its own: which of its kept connections it takes, and
// what it tells its upstream. What must not depend on the machine's speed is set so long that it never comes.
#include "http/back.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

#include "../rig.h"
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
using Link = std::shared_ptr<Wire>;

struct Answers final : core::Front {
    void on_started(std::uint64_t, std::unique_ptr<core::Payload>) override {}
    void on_final(std::uint64_t token, core::Final answer) override {
        verdicts[token] = answer.verdict;
        if (answer.answer) bodies[token] = static_cast<ResponsePayload&>(*answer.answer).message.body;
    }
    std::map<std::uint64_t, core::Verdict> verdicts;
    std::map<std::uint64_t, std::string> bodies;
};

// One upstream, and connections that have rested once `rest` has passed.
class BackTest : public OnCore {
protected:
    void start(Micros rest) {
        BackOptions options;
        options.rest = rest;
        back = std::make_unique<Back>(loop.get_executor(), core, clock, budget, options);
        Settings settings = flaxdoor::test::plain_settings();
        for (auto& c : settings.classes) c.aim = c.deadline = std::chrono::hours(1);
        pool = core.add_pool({"api", settings, 1}, *back, nullptr);
        core::MemberList list;
        list.members.emplace_back();
        list.members[0].entry.id = 1;
        list.members[0].address = standins::peers::text_of(upstream.address());
        core.on_list(pool, std::move(list));
    }
    void TearDown() override { core.remove_pool(pool); }

    // A request, and the connection on which it is at the upstream.
    Link ask() {
        Request message;
        message.method = "GET";
        message.target = "/api";
        core::Call call;
        call.pool = pool;
        call.budget = std::chrono::hours(1);
        call.payload = std::make_shared<RequestPayload>(std::move(message));
        EXPECT_EQ(core.take(std::move(call), answers, ++asked), core::Taken::yes);
        Link on;
        EXPECT_TRUE(until([&] {
            for (const Link& wire : upstream.wires) {
                if (!wire->take().empty()) on = wire;
            }
            return on != nullptr;
        }));
        return on;
    }
    void serve(const Link& on, std::uint64_t token, std::string_view further = "") {
        on->say(ok("a" + std::to_string(token)) + std::string(further));
        EXPECT_TRUE(until([&] { return answers.verdicts.contains(token); }));
        EXPECT_EQ(answers.bodies[token], "a" + std::to_string(token));
    }

    ConnectionBudget budget;
    Answers answers;
    Listener upstream{loop};
    std::unique_ptr<Back> back;
    core::PoolId pool = 0;
    std::uint64_t asked = 0;
};

// Of two connections the one that carried an answer last is taken where both have rested, and the other one where
// neither has: a second answer that is still on its way is the likelier on the later.
TEST_F(BackTest, AConnectionRestsBeforeItIsUsedAgain) {
    for (const bool rested : {true, false}) {
        SCOPED_TRACE(rested);
        start(rested ? Micros{0} : std::chrono::hours(1));
        const Link first = ask(), second = ask();
        ASSERT_NE(first, second);
        serve(first, asked - 1);
        serve(second, asked);
        EXPECT_EQ(ask(), rested ? second : first);
        core.remove_pool(pool);
        upstream.wires.clear();
    }
}

// What comes on a connection that carries nothing ends it, and its server is in doubt: from then on none that has not
// rested is used, and the next request has a new one. Its answer is its own, whatever comes on the old ones.
TEST_F(BackTest, AServerThatSpeaksUnaskedIsGivenTime) {
    start(std::chrono::hours(1));
    const Link first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    first->say(ok("a1"));
    ASSERT_TRUE(until([&] { return first->ended; }));
    const Link third = ask();
    EXPECT_NE(third, second);
    second->say(ok("a2"));
    ASSERT_TRUE(until([&] { return second->ended; }));
    serve(third, 3);
}

// The same where both come at once: unread bytes on a resting connection are seen before it is taken.
TEST_F(BackTest, UnreadBytesPutTheirServerInDoubtToo) {
    start(std::chrono::hours(1));
    const Link first = ask(), second = ask();
    serve(first, 1);
    serve(second, 2);
    first->say(ok("a1"));  // it is in this machine's buffers, and the loop has not looked
    const Link third = ask();
    EXPECT_NE(third, first);
    EXPECT_NE(third, second);
    serve(third, 3);
}

// Ahead of a listener's close: who has come can be accepted, and who comes now is not heard.
TEST(Sockets, AListenerThatTakesNoMoreKeepsWhoHasCome) {
    boost::asio::io_context loop{1};
    loop::tcp::acceptor acceptor(loop, standins::peers::loopback());
    acceptor.non_blocking(true);
    loop::tcp::socket before(loop), after(loop), accepted(loop);
    before.connect(acceptor.local_endpoint());
    loop::take_no_more(acceptor);
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
