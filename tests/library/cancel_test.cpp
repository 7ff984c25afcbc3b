// The host cancels a call, at every stage of its way and by every type of cancellation. What may have run is
// counted at the nodes, and told as such.
#include <functional>

#include "rig.h"

namespace flaxdoor::test {
namespace {

using asio::cancellation_type;

constexpr cancellation_type types[] = {cancellation_type::total, cancellation_type::partial,
                                       cancellation_type::terminal};

const char* name_of(cancellation_type type) {
    return type == cancellation_type::total     ? "total"
           : type == cancellation_type::partial ? "partial"
                                                : "terminal";
}

class Cancel : public Rig {
protected:
    struct Running {
        std::unique_ptr<asio::cancellation_signal> signal = std::make_unique<asio::cancellation_signal>();
        EndingPointer ending = std::make_shared<Ending>();
    };
    Running run(Balancer& balancer, CallRequest request) {
        Running running;
        balancer.async_call(std::move(request),
                            asio::bind_cancellation_slot(running.signal->slot(), into(running.ending)));
        return running;
    }
    // One more turn of the loop than a posted cancellation and the handler it posts need.
    bool cancelled(Running& running, cancellation_type type) {
        running.signal->emit(type);
        for (int i = 0; i < 3; ++i) settle();
        return running.ending->over();
    }
    // Before a byte of it is out: every type ends it, and nothing ever reaches the node.
    void expect_never_sent(Running& running, cancellation_type type) {
        ASSERT_TRUE(cancelled(running, type)) << name_of(type);
        expect_cancelled(*running.ending, false, name_of(type));
    }
    // Once a byte of it is out: `total` promises that nothing has happened, so it ends nothing.
    void expect_sent(Running& running, cancellation_type type, const std::string& where) {
        const bool total = type == cancellation_type::total;
        EXPECT_EQ(cancelled(running, type), !total) << where;
        if (total) {
            EXPECT_TRUE(cancelled(running, cancellation_type::terminal)) << where;
        }
        expect_cancelled(*running.ending, true, where);
    }
};

TEST_F(Cancel, BeforeTheInstanceHasHeardOfIt) {
    Balancer& balancer = serving();
    for (const auto type : types) {
        auto running = run(balancer, check_in());
        expect_never_sent(running, type);
    }
    expect_served(balancer, check_in());
    EXPECT_EQ(nodes[0]->counts().begun, 1U);
    EXPECT_EQ(balancer.figures().library_calls, 4U);
}

TEST_F(Cancel, WaitingForItsGapInTheModule) {
    add_node();
    BalancerOptions its = options();
    const ServerList listed = std::exchange(its.servers, {});
    for (const auto type : types) {
        Balancer balancer(loop.get_executor(), its);
        auto running = run(balancer, check_in());
        settle();  // nobody is listed: it waits
        ASSERT_FALSE(running.ending->over());
        expect_never_sent(running, type);
        balancer.set_servers(listed);
        expect_served(balancer, check_in());
    }
    EXPECT_EQ(nodes[0]->counts().begun, 3U);  // of the three calls that were served
}

TEST_F(Cancel, Connecting) {
    for (const auto type : types) {
        BookingNode& node = add_node();
        node.vanish();
        BalancerOptions its = options_for({text_of(node.address())});
        Balancer balancer(loop.get_executor(), its);
        auto running = run(balancer, check_in());
        settle();
        ASSERT_FALSE(running.ending->over());
        expect_never_sent(running, type);
        node.reappear(false);
        expect_served(balancer, check_in());
        EXPECT_EQ(node.counts().begun, 1U) << name_of(type);
    }
}

// The peer reads nothing and the body is large.
TEST_F(Cancel, PartlyWritten) {
    for (const auto type : types) {
        DeafPeer peer(loop);
        Balancer balancer(loop.get_executor(), options_for({peer.address()}));
        CallRequest request = check_in();
        request.body.assign(64 * 1024, 'x');
        auto running = run(balancer, request);
        ASSERT_TRUE(until([&] { return peer.something_came(); }));
        settle();
        expect_sent(running, type, name_of(type));
        // What was out is all that comes: the rest is not sent on, nor the whole again.
        peer.read_all();
        ASSERT_TRUE(until([&] { return peer.ended(); }));
        EXPECT_GT(peer.bytes().size(), 0U);
        EXPECT_LT(peer.bytes().size(), request.body.size());
        EXPECT_EQ(peer.accepted(), 1U);
    }
}

// From the last byte on it has run, or may have: no other node gets it.
TEST_F(Cancel, WhollyWrittenOrPartlyAnswered) {
    for (const char* const spec :
         {"never,times=1", "never,run=0,times=1", "after_head,end=silence,times=1",
          "after_n_body_bytes=20,end=silence,times=1", "slow_bytes=1,every=1000,times=1"}) {
        for (const auto type : types) {
            nodes.clear();
            add_node();
            add_node();
            for (auto& node : nodes) fault(*node, spec);
            Balancer balancer(loop.get_executor(), options());
            auto running = run(balancer, check_in());
            const auto struck = [&](const auto& node) { return node->count_of(Kind::fault) > 0; };
            ASSERT_TRUE(until([&] { return struck(nodes[0]) || struck(nodes[1]); })) << spec;
            settle();
            const std::string where = std::string(spec) + ", " + name_of(type);
            expect_sent(running, type, where);
            const std::string id = running.ending->result.id;
            for (auto& node : nodes) node->clear_faults();
            // Its connection carries no other call: what may still come on it is no other's answer.
            expect_served(balancer, check_in());
            expect_served(balancer, look());
            EXPECT_EQ(attempts_of(id), 1U) << where;
            EXPECT_LE(runs_of(id), 1U) << where;
        }
    }
}

// Where the platform's rules forbid to cancel, the attempt runs on there; the caller is told all the same.
TEST_F(Cancel, WhereAttemptsMayNotBeCancelled) {
    add_node();
    fault(*nodes[0], "never,req=1");
    BalancerOptions its = options();
    its.settings.may_cancel = false;
    Balancer balancer(loop.get_executor(), its);
    auto running = run(balancer, check_in());
    ASSERT_TRUE(struck());
    EXPECT_TRUE(cancelled(running, cancellation_type::terminal));
    expect_cancelled(*running.ending, true, "may_cancel is false");
    expect_served(balancer, check_in());
    EXPECT_EQ(attempts_of(running.ending->result.id), 1U);
}

// Turned away, it has not run although bytes of it were out, and waits for another try.
TEST_F(Cancel, BetweenTwoAttempts) {
    add_node();
    fault(*nodes[0], "turn_away");
    for (const auto type : types) {
        BalancerOptions its = options();
        its.settings.max_attempts = 1000;
        Balancer balancer(loop.get_executor(), its);
        auto running = run(balancer, check_in());
        const auto before = nodes[0]->count_of(Kind::turned_away);
        ASSERT_TRUE(
            until([&] { return running.ending->over() || nodes[0]->count_of(Kind::turned_away) > before; }));
        settle();
        if (running.ending->over()) continue;  // the module had no further use for it
        if (type == cancellation_type::total) {
            EXPECT_FALSE(cancelled(running, type)) << "bytes of it were out";
            running.signal->emit(cancellation_type::terminal);
        } else {
            running.signal->emit(type);
        }
        ASSERT_TRUE(over(running.ending));
        EXPECT_EQ(running.ending->result.cause, CallCause::cancelled);
        EXPECT_EQ(effects->counts().ran, 0U);
    }
}

// The answer is there and the handler waits for its executor: nothing is cancelled any more.
TEST_F(Cancel, AnsweredAndTheHandlerHasNotRun) {
    Balancer& balancer = serving();
    for (const auto type : types) {
        asio::io_context later;
        asio::cancellation_signal signal;
        const auto ending = std::make_shared<Ending>();
        balancer.async_call(check_in(), asio::bind_cancellation_slot(
                                            signal.slot(), asio::bind_executor(later, into(ending))));
        const auto answered = nodes[0]->counts().answered;
        ASSERT_TRUE(until([&] { return nodes[0]->counts().answered > answered; }));
        expect_served(balancer, look());
        EXPECT_EQ(ending->times, 0);
        signal.emit(type);
        settle();
        later.run();
        EXPECT_EQ(ending->times, 1);
        EXPECT_EQ(ending->result.verdict, CallVerdict::served) << name_of(type);
        signal.emit(type);  // and long after
        settle();
        EXPECT_EQ(ending->times, 1);
    }
}

TEST_F(Cancel, TwiceAndAfterTheEnd) {
    Balancer& balancer = serving("never,req=1");
    auto running = run(balancer, check_in());
    ASSERT_TRUE(struck());
    running.signal->emit(cancellation_type::terminal);
    running.signal->emit(cancellation_type::terminal);
    running.signal->emit(cancellation_type::partial);
    ASSERT_TRUE(over(running.ending));
    running.signal->emit(cancellation_type::terminal);
    expect_served(balancer, look());
    expect_cancelled(*running.ending, true, "twice");
    // A signal outlives the instance: it leads nowhere.
    auto later = run(balancer, check_in());
    ASSERT_TRUE(over(later.ending));
    std::optional<Balancer> second(std::in_place, loop.get_executor(), options());
    auto open = run(*second, check_in());
    second.reset();
    open.signal->emit(cancellation_type::terminal);
    settle();
    open.signal->emit(cancellation_type::terminal);
    EXPECT_EQ(open.ending->times, 1);
    EXPECT_EQ(open.ending->result.cause, CallCause::closed);
}

TEST_F(Cancel, WithinAnotherCallsHandler) {
    Balancer& balancer = serving("never,class=check-in,req=1");
    auto running = run(balancer, check_in());
    ASSERT_TRUE(struck());
    bool within = false;
    balancer.async_call(look(), [&](CallResult result) {
        EXPECT_EQ(result.verdict, CallVerdict::served);
        running.signal->emit(cancellation_type::terminal);
        within = running.ending->over();
    });
    ASSERT_TRUE(over(running.ending));
    EXPECT_FALSE(within);  // never from within
    expect_cancelled(*running.ending, true, "within");
}

// A call that cancels itself in its own handler, and one that cancels the call it starts there.
TEST_F(Cancel, WithinItsOwnHandler) {
    Balancer& balancer = serving();
    asio::cancellation_signal signal;
    const auto second = std::make_shared<Ending>();
    int first = 0;
    balancer.async_call(look(), asio::bind_cancellation_slot(signal.slot(), [&](CallResult) {
                            ++first;
                            signal.emit(cancellation_type::terminal);
                            balancer.async_call(look(),
                                                asio::bind_cancellation_slot(signal.slot(), into(second)));
                            signal.emit(cancellation_type::terminal);
                        }));
    ASSERT_TRUE(over(second));
    EXPECT_EQ(first, 1);
    // Its connection was there already: it went out before the cancellation came.
    expect_cancelled(*second, true, "the second");
    EXPECT_LE(attempts_of(second->result.id), 1U);
}

TEST_F(Cancel, ByTheLoopsOwnStop) {
    Balancer& balancer = serving("never");
    auto running = run(balancer, check_in());
    ASSERT_TRUE(struck());
    running.signal->emit(cancellation_type::terminal);
    loop.stop();
    EXPECT_EQ(loop.run(), 0U);
    EXPECT_EQ(running.ending->times, 0);
    ASSERT_TRUE(over(running.ending));  // it is run on
    expect_cancelled(*running.ending, true, "stopped");
}

TEST_F(Cancel, NoneCancelsNothing) {
    Balancer& balancer = serving();
    asio::cancellation_signal signal;
    const auto ending = std::make_shared<Ending>();
    balancer.async_call(look(), asio::bind_cancellation_slot(signal.slot(), into(ending)));
    signal.emit(cancellation_type::none);
    ASSERT_TRUE(over(ending));
    EXPECT_EQ(ending->result.verdict, CallVerdict::served) << text_of(ending->result);
}

// As with Asio's own sockets: a signal that goes before its call is over has only lost its say.
TEST_F(Cancel, TheSignalGoesFirst) {
    Balancer& balancer = serving();
    const auto ending = std::make_shared<Ending>();
    {
        const auto signal = std::make_unique<asio::cancellation_signal>();
        balancer.async_call(look(), asio::bind_cancellation_slot(signal->slot(), into(ending)));
    }
    ASSERT_TRUE(over(ending));
    EXPECT_EQ(ending->result.verdict, CallVerdict::served) << text_of(ending->result);
}

// A slot leads to the last call that was given it, whatever becomes of those before.
TEST_F(Cancel, OneSlotForTwoCalls) {
    Balancer& balancer = serving("never");
    asio::cancellation_signal signal;
    const auto first = std::make_shared<Ending>();
    const auto second = std::make_shared<Ending>();
    balancer.async_call(call("none"), asio::bind_cancellation_slot(signal.slot(), into(first)));
    balancer.async_call(check_in(), asio::bind_cancellation_slot(signal.slot(), into(second)));
    ASSERT_TRUE(until([&] { return first->over() && nodes[0]->count_of(Kind::fault) > 0; }));
    EXPECT_EQ(first->result.cause, CallCause::bad_request);
    signal.emit(cancellation_type::terminal);
    ASSERT_TRUE(over(second));
    expect_cancelled(*second, true, "the second");
}

// Of a request that was served under a framework, whose client has gone.
TEST_F(Cancel, AFrameworksRequest) {
    Balancer& balancer = serving("never,req=1");
    HttpRequest request;
    request.method = "POST";
    request.target = "/api?op=1";
    request.headers = {{"X-Call-Id", "client-1"}, {"X-Call-Class", "check-in"}, {"X-Budget-Ms", "5000"}};
    asio::cancellation_signal signal;
    int times = 0;
    HttpAnswer answer;
    balancer.async_serve(request, asio::bind_cancellation_slot(signal.slot(), [&](HttpAnswer its) {
                             ++times;
                             answer = std::move(its);
                         }));
    ASSERT_TRUE(struck());
    signal.emit(cancellation_type::terminal);
    ASSERT_TRUE(until([&] { return times > 0; }));
    EXPECT_EQ(answer.result.cause, CallCause::cancelled);
    EXPECT_TRUE(answer.result.may_have_run);
    EXPECT_EQ(answer.result.id, "client-1");
    EXPECT_EQ(attempts_of("client-1"), 1U);
}

}  // namespace
}  // namespace flaxdoor::test
