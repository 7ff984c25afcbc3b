// The host cancels a call, at every stage and with every type of cancellation. The stand-ins count
// executions, and the result must report a call that may have been executed.
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

class Cancel : public LibraryTest {
protected:
    struct CancellableCall {
        std::unique_ptr<asio::cancellation_signal> signal = std::make_unique<asio::cancellation_signal>();
        CompletionPointer completion = std::make_shared<Completion>();
    };
    CancellableCall start_cancellable_call(Balancer& balancer, CallRequest request) {
        CancellableCall cancellable;
        balancer.async_call(
            std::move(request),
            asio::bind_cancellation_slot(cancellable.signal->slot(), record_into(cancellable.completion)));
        return cancellable;
    }
    // Emits the signal and returns whether the call has completed. Runs the loop once more than the posted
    // cancellation and the handler that it posts need.
    bool cancel(CancellableCall& cancellable, cancellation_type type) {
        cancellable.signal->emit(type);
        for (int i = 0; i < 3; ++i) run_ready();
        return cancellable.completion->completed();
    }
    // Before a byte of the call has been sent, every type cancels it, and nothing reaches the upstream.
    void expect_never_sent(CancellableCall& cancellable, cancellation_type type) {
        ASSERT_TRUE(cancel(cancellable, type)) << name_of(type);
        expect_cancelled(*cancellable.completion, false, name_of(type));
    }
    // After a byte of the call has been sent, `total` has no effect, since it promises no side effects.
    void expect_sent(CancellableCall& cancellable, cancellation_type type, const std::string& where) {
        const bool total = type == cancellation_type::total;
        EXPECT_EQ(cancel(cancellable, type), !total) << where;
        if (total) {
            EXPECT_TRUE(cancel(cancellable, cancellation_type::terminal)) << where;
        }
        expect_cancelled(*cancellable.completion, true, where);
    }
};

TEST_F(Cancel, BeforeTheExecutorRuns) {
    Balancer& balancer = make_balancer();
    for (const auto type : types) {
        auto cancellable = start_cancellable_call(balancer, check_in());
        expect_never_sent(cancellable, type);
    }
    expect_served(balancer, check_in());
    EXPECT_EQ(nodes[0]->counts().begun, 1U);
    EXPECT_EQ(balancer.figures().library_calls, 4U);
}

TEST_F(Cancel, WhileWaitingForAnUpstream) {
    add_node();
    BalancerOptions balancer_options = options();
    const ServerList listed = std::exchange(balancer_options.servers, {});
    for (const auto type : types) {
        Balancer balancer(loop.get_executor(), balancer_options);
        auto cancellable = start_cancellable_call(balancer, check_in());
        run_ready();  // no server is listed, so the call waits
        ASSERT_FALSE(cancellable.completion->completed());
        expect_never_sent(cancellable, type);
        balancer.set_servers(listed);
        expect_served(balancer, check_in());
    }
    EXPECT_EQ(nodes[0]->counts().begun, 3U);  // those of the three served calls
}

TEST_F(Cancel, WhileConnecting) {
    for (const auto type : types) {
        BookingNode& node = add_node();
        node.vanish();
        BalancerOptions balancer_options = options_for({text_of(node.address())});
        Balancer balancer(loop.get_executor(), balancer_options);
        auto cancellable = start_cancellable_call(balancer, check_in());
        run_ready();
        ASSERT_FALSE(cancellable.completion->completed());
        expect_never_sent(cancellable, type);
        node.reappear(false);
        expect_served(balancer, check_in());
        EXPECT_EQ(node.counts().begun, 1U) << name_of(type);
    }
}

// The upstream reads nothing, and the body does not fit into the socket buffers.
TEST_F(Cancel, PartlyWritten) {
    for (const auto type : types) {
        DeafPeer peer(loop);
        Balancer balancer(loop.get_executor(), options_for({peer.address()}));
        CallRequest request = check_in();
        request.body.assign(64 * 1024, 'x');
        auto cancellable = start_cancellable_call(balancer, request);
        ASSERT_TRUE(wait_until([&] { return peer.something_came(); }));
        run_ready();
        expect_sent(cancellable, type, name_of(type));
        // Neither the rest of the request nor the whole request again is sent.
        peer.read_all();
        ASSERT_TRUE(wait_until([&] { return peer.ended(); }));
        EXPECT_GT(peer.bytes().size(), 0U);
        EXPECT_LT(peer.bytes().size(), request.body.size());
        EXPECT_EQ(peer.accepted(), 1U);
    }
}

// Once the whole request has been sent, it may have been executed: it is sent to no other upstream.
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
            auto cancellable = start_cancellable_call(balancer, check_in());
            const auto triggered = [&](const auto& node) { return node->count_of(Kind::fault) > 0; };
            ASSERT_TRUE(wait_until([&] { return triggered(nodes[0]) || triggered(nodes[1]); })) << spec;
            run_ready();
            const std::string where = std::string(spec) + ", " + name_of(type);
            expect_sent(cancellable, type, where);
            const std::string id = cancellable.completion->result.id;
            for (auto& node : nodes) node->clear_faults();
            // The connection is not reused: a late answer on it must not be taken for another call's.
            expect_served(balancer, check_in());
            expect_served(balancer, look());
            EXPECT_EQ(attempts_of(id), 1U) << where;
            EXPECT_LE(runs_of(id), 1U) << where;
        }
    }
}

// If may_cancel is false, the attempt continues at the upstream, but the caller's call ends all the same.
TEST_F(Cancel, WhenAttemptsMayNotBeCancelled) {
    add_node();
    fault(*nodes[0], "never,req=1");
    BalancerOptions balancer_options = options();
    balancer_options.settings.may_cancel = false;
    Balancer balancer(loop.get_executor(), balancer_options);
    auto cancellable = start_cancellable_call(balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    EXPECT_TRUE(cancel(cancellable, cancellation_type::terminal));
    expect_cancelled(*cancellable.completion, true, "may_cancel is false");
    expect_served(balancer, check_in());
    EXPECT_EQ(attempts_of(cancellable.completion->result.id), 1U);
}

// The upstream rejected the first attempt: although it was sent, the call has not been executed. It waits for
// a retry.
TEST_F(Cancel, BetweenTwoAttempts) {
    add_node();
    fault(*nodes[0], "turn_away");
    for (const auto type : types) {
        BalancerOptions balancer_options = options();
        balancer_options.settings.max_attempts = 1000;
        Balancer balancer(loop.get_executor(), balancer_options);
        auto cancellable = start_cancellable_call(balancer, check_in());
        const auto before = nodes[0]->count_of(Kind::turned_away);
        ASSERT_TRUE(wait_until([&] {
            return cancellable.completion->completed() || nodes[0]->count_of(Kind::turned_away) > before;
        }));
        run_ready();
        if (cancellable.completion->completed()) continue;  // the decision module gave the call up
        if (type == cancellation_type::total) {
            EXPECT_FALSE(cancel(cancellable, type)) << "bytes of it have been sent";
            cancellable.signal->emit(cancellation_type::terminal);
        } else {
            cancellable.signal->emit(type);
        }
        ASSERT_TRUE(wait_for_completion(cancellable.completion));
        EXPECT_EQ(cancellable.completion->result.cause, CallCause::cancelled);
        EXPECT_EQ(effects->counts().ran, 0U);
    }
}

// The answer has arrived and the handler waits for balancer_options executor: cancellation has no effect.
TEST_F(Cancel, AfterTheAnswerBeforeTheHandler) {
    Balancer& balancer = make_balancer();
    for (const auto type : types) {
        asio::io_context handler_loop;
        asio::cancellation_signal signal;
        const auto completion = std::make_shared<Completion>();
        balancer.async_call(check_in(),
                            asio::bind_cancellation_slot(
                                signal.slot(), asio::bind_executor(handler_loop, record_into(completion))));
        const auto answered = nodes[0]->counts().answered;
        ASSERT_TRUE(wait_until([&] { return nodes[0]->counts().answered > answered; }));
        expect_served(balancer, look());
        EXPECT_EQ(completion->times, 0);
        signal.emit(type);
        run_ready();
        handler_loop.run();
        EXPECT_EQ(completion->times, 1);
        EXPECT_EQ(completion->result.verdict, CallVerdict::served) << name_of(type);
        signal.emit(type);  // and after the handler has run
        run_ready();
        EXPECT_EQ(completion->times, 1);
    }
}

TEST_F(Cancel, TwiceAndAfterCompletion) {
    Balancer& balancer = make_balancer("never,req=1");
    auto cancellable = start_cancellable_call(balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    cancellable.signal->emit(cancellation_type::terminal);
    cancellable.signal->emit(cancellation_type::terminal);
    cancellable.signal->emit(cancellation_type::partial);
    ASSERT_TRUE(wait_for_completion(cancellable.completion));
    cancellable.signal->emit(cancellation_type::terminal);
    expect_served(balancer, look());
    expect_cancelled(*cancellable.completion, true, "twice");
    // A signal that outlives the instance has no effect.
    auto later = start_cancellable_call(balancer, check_in());
    ASSERT_TRUE(wait_for_completion(later.completion));
    std::optional<Balancer> second(std::in_place, loop.get_executor(), options());
    auto open = start_cancellable_call(*second, check_in());
    second.reset();
    open.signal->emit(cancellation_type::terminal);
    run_ready();
    open.signal->emit(cancellation_type::terminal);
    EXPECT_EQ(open.completion->times, 1);
    EXPECT_EQ(open.completion->result.cause, CallCause::closed);
}

TEST_F(Cancel, WithinAnotherCallsHandler) {
    Balancer& balancer = make_balancer("never,class=check-in,req=1");
    auto cancellable = start_cancellable_call(balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    bool within = false;
    balancer.async_call(look(), [&](CallResult result) {
        EXPECT_EQ(result.verdict, CallVerdict::served);
        cancellable.signal->emit(cancellation_type::terminal);
        within = cancellable.completion->completed();
    });
    ASSERT_TRUE(wait_for_completion(cancellable.completion));
    EXPECT_FALSE(within);  // a handler never runs from within emit()
    expect_cancelled(*cancellable.completion, true, "within");
}

// A handler emits balancer_options own call's signal, and then starts and cancels a second call with the same
// signal.
TEST_F(Cancel, WithinItsOwnHandler) {
    Balancer& balancer = make_balancer();
    asio::cancellation_signal signal;
    const auto second = std::make_shared<Completion>();
    int first = 0;
    balancer.async_call(look(), asio::bind_cancellation_slot(signal.slot(), [&](CallResult) {
                            ++first;
                            signal.emit(cancellation_type::terminal);
                            balancer.async_call(
                                look(), asio::bind_cancellation_slot(signal.slot(), record_into(second)));
                            signal.emit(cancellation_type::terminal);
                        }));
    ASSERT_TRUE(wait_for_completion(second));
    EXPECT_EQ(first, 1);
    // The second call waits for the first one's connection to rest, unless the process stood still for so long; it is told
    // that it has not run only if it was not sent.
    const bool may_have_run = second->result.may_have_run;
    expect_cancelled(*second, may_have_run, "the second");
    EXPECT_LE(attempts_of(second->result.id), may_have_run ? 1U : 0U);
}

TEST_F(Cancel, WhenTheLoopIsStopped) {
    Balancer& balancer = make_balancer("never");
    auto cancellable = start_cancellable_call(balancer, check_in());
    ASSERT_TRUE(wait_for_fault());
    cancellable.signal->emit(cancellation_type::terminal);
    loop.stop();
    EXPECT_EQ(loop.run(), 0U);
    EXPECT_EQ(cancellable.completion->times, 0);
    ASSERT_TRUE(wait_for_completion(cancellable.completion));  // restarts the loop
    expect_cancelled(*cancellable.completion, true, "stopped");
}

TEST_F(Cancel, TypeNoneHasNoEffect) {
    Balancer& balancer = make_balancer();
    asio::cancellation_signal signal;
    const auto completion = std::make_shared<Completion>();
    balancer.async_call(look(), asio::bind_cancellation_slot(signal.slot(), record_into(completion)));
    signal.emit(cancellation_type::none);
    ASSERT_TRUE(wait_for_completion(completion));
    EXPECT_EQ(completion->result.verdict, CallVerdict::served) << text_of(completion->result);
}

// As with Asio's sockets, destroying the signal before the call completes only makes it uncancellable.
TEST_F(Cancel, SignalDestroyedFirst) {
    Balancer& balancer = make_balancer();
    const auto completion = std::make_shared<Completion>();
    {
        const auto signal = std::make_unique<asio::cancellation_signal>();
        balancer.async_call(look(), asio::bind_cancellation_slot(signal->slot(), record_into(completion)));
    }
    ASSERT_TRUE(wait_for_completion(completion));
    EXPECT_EQ(completion->result.verdict, CallVerdict::served) << text_of(completion->result);
}

// A slot cancels the last call that it was bound to, whatever happens to earlier ones.
TEST_F(Cancel, OneSlotForTwoCalls) {
    Balancer& balancer = make_balancer("never");
    asio::cancellation_signal signal;
    const auto first = std::make_shared<Completion>();
    const auto second = std::make_shared<Completion>();
    balancer.async_call(call("none"), asio::bind_cancellation_slot(signal.slot(), record_into(first)));
    balancer.async_call(check_in(), asio::bind_cancellation_slot(signal.slot(), record_into(second)));
    ASSERT_TRUE(wait_until([&] { return first->completed() && nodes[0]->count_of(Kind::fault) > 0; }));
    EXPECT_EQ(first->result.cause, CallCause::bad_request);
    signal.emit(cancellation_type::terminal);
    ASSERT_TRUE(wait_for_completion(second));
    expect_cancelled(*second, true, "the second");
}

// Middleware cancels a request of async_serve when the client disconnects.
TEST_F(Cancel, RequestOfAFramework) {
    Balancer& balancer = make_balancer("never,req=1");
    HttpRequest request;
    request.method = "POST";
    request.target = "/api?op=1";
    request.headers = {{"X-Call-Id", "client-1"}, {"X-Call-Class", "check-in"}, {"X-Budget-Ms", "5000"}};
    asio::cancellation_signal signal;
    int times = 0;
    HttpAnswer answer;
    balancer.async_serve(request, asio::bind_cancellation_slot(signal.slot(), [&](HttpAnswer received) {
                             ++times;
                             answer = std::move(received);
                         }));
    ASSERT_TRUE(wait_for_fault());
    signal.emit(cancellation_type::terminal);
    ASSERT_TRUE(wait_until([&] { return times > 0; }));
    EXPECT_EQ(answer.result.cause, CallCause::cancelled);
    EXPECT_TRUE(answer.result.may_have_run);
    EXPECT_EQ(answer.result.id, "client-1");
    EXPECT_EQ(attempts_of("client-1"), 1U);
}

}  // namespace
}  // namespace flaxdoor::test
