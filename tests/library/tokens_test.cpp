// Completion tokens: each kind gets its one completion, on its own executor, and cancellation as its rules
// have it.
#include <boost/asio/deferred.hpp>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

using asio::cancellation_type;

class Tokens : public Rig {
protected:
    // Cancels a coroutine that waits for a call which is never answered. Whether the coroutine's own filter
    // let the cancellation through is in what comes back.
    template <typename Filter>
    std::optional<CallResult> cancel_coroutine(cancellation_type type, Filter filter, bool and_terminal) {
        nodes.clear();
        add_node();
        fault(*nodes[0], "never");
        Balancer balancer(loop.get_executor(), options());
        asio::cancellation_signal signal;
        std::optional<CallResult> result;
        const auto coroutine = [&]() -> asio::awaitable<void> {
            co_await filter();
            result = co_await balancer.async_call(check_in(), asio::use_awaitable);
        };
        bool over = false;
        asio::co_spawn(loop, coroutine,
                       asio::bind_cancellation_slot(signal.slot(), [&](std::exception_ptr) { over = true; }));
        EXPECT_TRUE(struck());
        signal.emit(type);
        for (int i = 0; i < 3; ++i) settle();
        const auto passed = result;
        if (and_terminal && !over) signal.emit(cancellation_type::terminal);
        EXPECT_TRUE(until([&] { return over; }));
        return passed;
    }
};

TEST_F(Tokens, Future) {
    Balancer& balancer = serving();
    auto future = balancer.async_call(check_in(), asio::use_future);
    ASSERT_TRUE(until([&] { return future.wait_for(seconds(0)) == std::future_status::ready; }));
    EXPECT_EQ(future.get().verdict, CallVerdict::served);
    // What fails is a result too, and no exception.
    auto bad = balancer.async_call(call("none"), asio::use_future);
    ASSERT_TRUE(until([&] { return bad.wait_for(seconds(0)) == std::future_status::ready; }));
    EXPECT_EQ(bad.get().cause, CallCause::bad_request);
    auto drained = balancer.async_drain(asio::use_future);
    ASSERT_TRUE(until([&] { return drained.wait_for(seconds(0)) == std::future_status::ready; }));
}

TEST_F(Tokens, Awaitable) {
    Balancer& balancer = serving();
    std::optional<CallResult> result;
    bool drained = false;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            result = co_await balancer.async_call(check_in(), asio::use_awaitable);
            co_await balancer.async_drain(asio::use_awaitable);
            drained = true;
        },
        asio::detached);
    ASSERT_TRUE(until([&] { return drained; }));
    EXPECT_EQ(result->verdict, CallVerdict::served);
}

TEST_F(Tokens, AwaitableLetsOnlyTerminalThroughByDefault) {
    const auto as_it_is = []() -> asio::awaitable<void> { co_return; };
    EXPECT_FALSE(cancel_coroutine(cancellation_type::total, as_it_is, true));
    EXPECT_FALSE(cancel_coroutine(cancellation_type::partial, as_it_is, true));
    const auto result = cancel_coroutine(cancellation_type::terminal, as_it_is, false);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->cause, CallCause::cancelled);
    EXPECT_TRUE(result->may_have_run);
}

TEST_F(Tokens, AwaitableWithItsStateReset) {
    const auto all = [] {
        return asio::this_coro::reset_cancellation_state(asio::enable_total_cancellation());
    };
    // It comes through, and is not honoured: bytes are out.
    EXPECT_FALSE(cancel_coroutine(cancellation_type::total, all, true));
    const auto partial = cancel_coroutine(cancellation_type::partial, all, false);
    ASSERT_TRUE(partial);
    EXPECT_EQ(partial->cause, CallCause::cancelled);
    ASSERT_TRUE(cancel_coroutine(cancellation_type::terminal, all, false));
}

// A signal before any byte is out: `total` is honoured.
TEST_F(Tokens, AwaitableTotalBeforeAByteIsOut) {
    BalancerOptions its = options();  // nobody listed
    Balancer balancer(loop.get_executor(), its);
    asio::cancellation_signal signal;
    std::optional<CallResult> result;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            co_await asio::this_coro::reset_cancellation_state(asio::enable_total_cancellation());
            result = co_await balancer.async_call(check_in(), asio::use_awaitable);
        },
        asio::bind_cancellation_slot(signal.slot(), asio::detached));
    settle();
    ASSERT_FALSE(result);
    signal.emit(cancellation_type::total);
    ASSERT_TRUE(until([&] { return result.has_value(); }));
    EXPECT_EQ(result->cause, CallCause::cancelled);
    EXPECT_FALSE(result->may_have_run);
}

// Deferred: nothing happens until it is started; it may be started when the instance has gone.
TEST_F(Tokens, Deferred) {
    add_node();
    std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options());
    const auto ending = std::make_shared<Ending>();
    const auto late = std::make_shared<Ending>();
    auto operation = balancer->async_call(check_in(), asio::deferred);
    auto forgotten = balancer->async_call(check_in(), asio::deferred);
    auto started_late = balancer->async_call(check_in(), asio::deferred);
    settle();
    EXPECT_EQ(nodes[0]->counts().begun, 0U);
    std::move(operation)(into(ending));
    ASSERT_TRUE(over(ending));
    EXPECT_EQ(ending->result.verdict, CallVerdict::served);
    balancer.reset();
    settle();
    std::move(started_late)(into(late));
    ASSERT_TRUE(over(late));
    EXPECT_EQ(late->result.cause, CallCause::closed);
    EXPECT_FALSE(late->result.may_have_run);
    EXPECT_EQ(nodes[0]->counts().begun, 1U);
    (void)forgotten;
}

// On a pool's threads, and the pool is kept at work until the handler has run.
TEST_F(Tokens, BoundToAPool) {
    Balancer& balancer = serving();
    asio::thread_pool pool(2);
    std::atomic<int> on_pool = 0, of_mine = 0;
    const auto mine = std::this_thread::get_id();
    constexpr int calls = 20;
    for (int i = 0; i < calls; ++i) {
        balancer.async_call(check_in(), asio::bind_executor(pool, [&](CallResult result) {
                                EXPECT_NE(result.verdict, CallVerdict::failed);
                                if (std::this_thread::get_id() == mine) ++of_mine;
                                ++on_pool;
                            }));
    }
    ASSERT_TRUE(until([&] { return on_pool == calls; }));
    pool.join();
    EXPECT_EQ(of_mine, 0);
}

// A handler that can't be copied, and one that is large.
TEST_F(Tokens, HandlersOfAnyKind) {
    Balancer& balancer = serving();
    auto owned = std::make_unique<int>(7);
    std::array<char, 4096> large{};
    int seen = 0;
    balancer.async_call(look(),
                        [&seen, owned = std::move(owned), large](CallResult) { seen = *owned + large[0]; });
    ASSERT_TRUE(until([&] { return seen != 0; }));
    EXPECT_EQ(seen, 7);
}

}  // namespace
}  // namespace flaxdoor::test
