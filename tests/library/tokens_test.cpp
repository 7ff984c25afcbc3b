// Completion tokens: each kind completes once, on its own executor, and passes cancellation on as Asio's
// rules for it require.
#include <boost/asio/deferred.hpp>
#include <thread>

#include "rig.h"

namespace flaxdoor::test {
namespace {

using asio::cancellation_type;

class Tokens : public LibraryTest {
protected:
    // Cancels a coroutine that waits for a call that is never answered. Returns the call's result if the
    // coroutine's filter let the cancellation through, else nothing.
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
        EXPECT_TRUE(wait_for_fault());
        signal.emit(type);
        for (int i = 0; i < 3; ++i) run_ready();
        const auto result_of_first = result;
        if (and_terminal && !over) signal.emit(cancellation_type::terminal);
        EXPECT_TRUE(wait_until([&] { return over; }));
        return result_of_first;
    }
};

TEST_F(Tokens, Future) {
    Balancer& balancer = make_balancer();
    auto future = balancer.async_call(check_in(), asio::use_future);
    ASSERT_TRUE(wait_until([&] { return future.wait_for(seconds(0)) == std::future_status::ready; }));
    EXPECT_EQ(future.get().verdict, CallVerdict::served);
    // A failed call is reported as a result, not as an exception.
    auto bad = balancer.async_call(call("none"), asio::use_future);
    ASSERT_TRUE(wait_until([&] { return bad.wait_for(seconds(0)) == std::future_status::ready; }));
    EXPECT_EQ(bad.get().cause, CallCause::bad_request);
    auto drained = balancer.async_drain(asio::use_future);
    ASSERT_TRUE(wait_until([&] { return drained.wait_for(seconds(0)) == std::future_status::ready; }));
}

TEST_F(Tokens, Awaitable) {
    Balancer& balancer = make_balancer();
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
    ASSERT_TRUE(wait_until([&] { return drained; }));
    EXPECT_EQ(result->verdict, CallVerdict::served);
}

TEST_F(Tokens, AwaitableLetsOnlyTerminalThroughByDefault) {
    const auto default_filter = []() -> asio::awaitable<void> { co_return; };
    EXPECT_FALSE(cancel_coroutine(cancellation_type::total, default_filter, true));
    EXPECT_FALSE(cancel_coroutine(cancellation_type::partial, default_filter, true));
    const auto result = cancel_coroutine(cancellation_type::terminal, default_filter, false);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->cause, CallCause::cancelled);
    EXPECT_TRUE(result->may_have_run);
}

TEST_F(Tokens, AwaitableWithCancellationStateReset) {
    const auto allow_all = [] {
        return asio::this_coro::reset_cancellation_state(asio::enable_total_cancellation());
    };
    // The call receives `total` but ignores it, because bytes have been sent.
    EXPECT_FALSE(cancel_coroutine(cancellation_type::total, allow_all, true));
    const auto partial = cancel_coroutine(cancellation_type::partial, allow_all, false);
    ASSERT_TRUE(partial);
    EXPECT_EQ(partial->cause, CallCause::cancelled);
    ASSERT_TRUE(cancel_coroutine(cancellation_type::terminal, allow_all, false));
}

// `total` cancels a call of which no byte has been sent.
TEST_F(Tokens, AwaitableTotalBeforeSending) {
    BalancerOptions balancer_options = options();  // no server listed
    Balancer balancer(loop.get_executor(), balancer_options);
    asio::cancellation_signal signal;
    std::optional<CallResult> result;
    asio::co_spawn(
        loop,
        [&]() -> asio::awaitable<void> {
            co_await asio::this_coro::reset_cancellation_state(asio::enable_total_cancellation());
            result = co_await balancer.async_call(check_in(), asio::use_awaitable);
        },
        asio::bind_cancellation_slot(signal.slot(), asio::detached));
    run_ready();
    ASSERT_FALSE(result);
    signal.emit(cancellation_type::total);
    ASSERT_TRUE(wait_until([&] { return result.has_value(); }));
    EXPECT_EQ(result->cause, CallCause::cancelled);
    EXPECT_FALSE(result->may_have_run);
}

// A deferred call does nothing until it is started. It may be started after the instance has been destroyed.
TEST_F(Tokens, Deferred) {
    add_node();
    std::optional<Balancer> balancer(std::in_place, loop.get_executor(), options());
    const auto completion = std::make_shared<Completion>();
    const auto late = std::make_shared<Completion>();
    auto operation = balancer->async_call(check_in(), asio::deferred);
    auto never_started = balancer->async_call(check_in(), asio::deferred);
    auto started_late = balancer->async_call(check_in(), asio::deferred);
    run_ready();
    EXPECT_EQ(nodes[0]->counts().begun, 0U);
    std::move(operation)(record_into(completion));
    ASSERT_TRUE(wait_for_completion(completion));
    EXPECT_EQ(completion->result.verdict, CallVerdict::served);
    balancer.reset();
    run_ready();
    std::move(started_late)(record_into(late));
    ASSERT_TRUE(wait_for_completion(late));
    EXPECT_EQ(late->result.cause, CallCause::closed);
    EXPECT_FALSE(late->result.may_have_run);
    EXPECT_EQ(nodes[0]->counts().begun, 1U);
    (void)never_started;
}

// Handlers run on the pool's threads, and pending calls keep the pool from finishing.
TEST_F(Tokens, BoundToAPool) {
    Balancer& balancer = make_balancer();
    asio::thread_pool pool(2);
    std::atomic<int> on_pool = 0, on_test_thread = 0;
    const auto test_thread = std::this_thread::get_id();
    constexpr int calls = 20;
    for (int i = 0; i < calls; ++i) {
        balancer.async_call(check_in(), asio::bind_executor(pool, [&](CallResult result) {
                                EXPECT_NE(result.verdict, CallVerdict::failed);
                                if (std::this_thread::get_id() == test_thread) ++on_test_thread;
                                ++on_pool;
                            }));
    }
    ASSERT_TRUE(wait_until([&] { return on_pool == calls; }));
    pool.join();
    EXPECT_EQ(on_test_thread, 0);
}

// A handler that is not copyable and is large.
TEST_F(Tokens, HandlersOfAnyKind) {
    Balancer& balancer = make_balancer();
    auto owned = std::make_unique<int>(7);
    std::array<char, 4096> large{};
    int seen = 0;
    balancer.async_call(look(),
                        [&seen, owned = std::move(owned), large](CallResult) { seen = *owned + large[0]; });
    ASSERT_TRUE(wait_until([&] { return seen != 0; }));
    EXPECT_EQ(seen, 7);
}

}  // namespace
}  // namespace flaxdoor::test
