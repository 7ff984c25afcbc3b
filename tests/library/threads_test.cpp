// Several threads: all of them make calls, handlers run on a pool, one thread destroys an instance while
// others start calls. And the blocking balancer.
#include <atomic>
#include <latch>

#include "flaxdoor/blocking_balancer.h"
#include "fleet.h"

namespace flaxdoor::test {
namespace {

// The instance runs on a strand of a pool, several threads make calls, and the pool runs their handlers.
TEST(Threads, OnAStrandOfAPool) {
    Fleet fleet(3);
    asio::thread_pool pool(3);
    std::atomic<int> completed = 0, served = 0;
    {
        Balancer balancer(asio::make_strand(pool), options_for(fleet.addresses()));
        std::vector<std::thread> hosts;
        for (int t = 0; t < 3; ++t) {
            hosts.emplace_back([&] {
                for (int i = 0; i < 100; ++i) {
                    std::promise<void> done;
                    balancer.async_call(i % 2 ? look() : check_in(),
                                        asio::bind_executor(pool, [&](CallResult result) {
                                            served += result.verdict == CallVerdict::served;
                                            ++completed;
                                            done.set_value();
                                        }));
                    done.get_future().get();
                    (void)balancer.figures();
                }
            });
        }
        for (auto& host : hosts) host.join();
    }
    pool.join();
    EXPECT_EQ(completed, 300);
    EXPECT_GT(served, 250);
    EXPECT_TRUE(fleet.run_on_loop([](Fleet& stand_ins) { return stand_ins.effects().ran_again().empty(); }));
}

// While a handler blocks a thread of a pool, other calls are started and completed.
TEST(Threads, BlockingHandlerDelaysNoOtherCall) {
    Fleet fleet(2);
    LoopThread loop;
    asio::thread_pool pool(2);
    Balancer balancer(loop.get().get_executor(), options_for(fleet.addresses()));
    std::latch blocked(1), release(1);
    std::promise<void> ended;
    balancer.async_call(look(), asio::bind_executor(pool, [&](CallResult) {
                            blocked.count_down();
                            release.wait();
                            ended.set_value();
                        }));
    blocked.wait();
    for (int i = 0; i < 10; ++i) EXPECT_EQ(call_and_wait(balancer, look()).verdict, CallVerdict::served);
    release.count_down();
    ended.get_future().get();
}

// One thread destroys the instance while others start deferred calls, which were created before. Each handler
// runs once, and a call that was reported as not executed is never executed.
TEST(Threads, DestroyedWhileOthersStartCalls) {
    Fleet fleet(3);
    std::vector<std::pair<std::string, bool>> results;  // id, may have run
    std::mutex mutex;
    for (int round = 0; round < 20; ++round) {
        LoopThread loop;
        asio::thread_pool pool(2);
        constexpr int calls_per_host = 20;
        constexpr int hosts = 3;
        std::array<std::array<std::atomic<int>, calls_per_host>, hosts> times{};
        std::latch start(hosts + 1);
        std::vector<std::thread> threads;
        {
            Balancer balancer(loop.get().get_executor(),
                              options_for(fleet.addresses(), 1000 + static_cast<unsigned>(round)));
            for (int t = 0; t < hosts; ++t) {
                std::vector<decltype(balancer.async_call(check_in(), asio::deferred))> operations;
                for (int i = 0; i < calls_per_host; ++i) {
                    operations.push_back(balancer.async_call(check_in(), asio::deferred));
                }
                threads.emplace_back([&, t, own_operations = std::move(operations)]() mutable {
                    start.arrive_and_wait();
                    for (int i = 0; i < calls_per_host; ++i) {
                        std::atomic<int>& count =
                            times[static_cast<std::size_t>(t)][static_cast<std::size_t>(i)];
                        auto handler = [&](CallResult result) {
                            ++count;
                            const std::lock_guard lock(mutex);
                            results.emplace_back(result.id, result.may_have_run);
                        };
                        if (i % 2) {
                            std::move(own_operations[static_cast<std::size_t>(i)])(handler);
                        } else {
                            std::move(own_operations[static_cast<std::size_t>(i)])(
                                asio::bind_executor(pool, handler));
                        }
                    }
                });
            }
            start.arrive_and_wait();
            // Lets the destruction happen at another point of the threads' calls in each round.
            for (int i = 0; i < round * 3; ++i) std::this_thread::yield();
        }
        for (auto& thread : threads) thread.join();
        loop.finish();
        pool.join();
        for (const auto& of_host : times) {
            for (const auto& count : of_host) EXPECT_EQ(count, 1) << "round " << round;
        }
    }
    ASSERT_TRUE(fleet.wait_until_idle());
    fleet.run_on_loop([&](Fleet& stand_ins) {
        int not_run = 0;
        for (const auto& [id, may_have_run] : results) {
            const auto* const record = stand_ins.effects().find(id);
            const std::uint32_t runs = record ? record->runs : 0;
            EXPECT_LE(runs, 1U) << id;
            if (!may_have_run) {
                EXPECT_EQ(runs, 0U) << id;
            }
            not_run += !may_have_run;
        }
        EXPECT_GT(not_run, 0);
        return 0;
    });
}

TEST(Blocking, ManyThreads) {
    Fleet fleet(3);
    BlockingBalancer balancer(options_for(fleet.addresses()));
    std::atomic<int> served = 0;
    std::vector<std::thread> hosts;
    for (int t = 0; t < 4; ++t) {
        hosts.emplace_back([&] {
            for (int i = 0; i < 50; ++i) {
                const CallResult result = balancer.call(i % 2 ? look() : check_in());
                EXPECT_NE(result.verdict, CallVerdict::failed) << text_of(result.cause);
                served += result.verdict == CallVerdict::served;
            }
        });
    }
    for (auto& host : hosts) host.join();
    EXPECT_GT(served, 150);
    std::thread other([&] { balancer.drain(); });
    balancer.drain();
    other.join();
    EXPECT_EQ(balancer.call(look()).cause, CallCause::closed);
}

TEST(Blocking, StopRequestCancels) {
    Fleet fleet(1);
    fleet.fault(0, "never");
    BlockingBalancer balancer(options_for(fleet.addresses()));
    for (int round = 0; round < 20; ++round) {
        std::stop_source stop;
        std::thread stopper([&] {
            for (int i = 0; i < round * 5; ++i) std::this_thread::yield();
            stop.request_stop();
        });
        const CallResult result = balancer.call(check_in(), stop.get_token());
        stopper.join();
        EXPECT_TRUE(result.cause == CallCause::cancelled || result.verdict == CallVerdict::refused)
            << text_of(result.cause);
    }
    std::stop_source before;
    before.request_stop();
    EXPECT_EQ(balancer.call(check_in(), before.get_token()).cause, CallCause::cancelled);
    EXPECT_EQ(balancer.call(call("none")).cause, CallCause::bad_request);
}

// Calls that block in other threads end as closed.
TEST(Blocking, DestroyedWhileCallsWait) {
    Fleet fleet(6);
    for (std::size_t i = 0; i < fleet.size(); ++i) fleet.fault(i, "never");
    for (int round = 0; round < 10; ++round) {
        std::optional<BlockingBalancer> balancer(
            std::in_place, options_for(fleet.addresses(), 50 + static_cast<unsigned>(round)));
        std::vector<std::thread> hosts;
        std::atomic<int> started = 0;
        const auto faults = [&] {
            return fleet.run_on_loop([](Fleet& stand_ins) {
                std::size_t total = 0;
                for (std::size_t i = 0; i < stand_ins.size(); ++i)
                    total += stand_ins.node(i).count_of(Kind::fault);
                return total;
            });
        };
        const auto before = faults();
        for (int t = 0; t < 2; ++t) {
            hosts.emplace_back([&] {
                ++started;
                const CallResult result = balancer->call(check_in());
                EXPECT_EQ(result.cause, CallCause::closed);
                EXPECT_TRUE(result.may_have_run);
            });
        }
        while (faults() < before + 2) std::this_thread::yield();
        balancer.reset();
        for (auto& host : hosts) host.join();
    }
}

// Destroyed on its own thread, by a handler or by a sink. The thread then ends by itself.
TEST(Blocking, DestroyedOnItsOwnThread) {
    Fleet fleet(1);
    auto balancer = std::make_unique<BlockingBalancer>(options_for(fleet.addresses()));
    std::promise<void> destroyed;
    const auto other = std::make_shared<std::promise<CallResult>>();
    balancer->balancer().async_call(look(), [&, other](CallResult) {
        balancer->balancer().async_call(look(),
                                        [other](CallResult result) { other->set_value(std::move(result)); });
        balancer.reset();
        destroyed.set_value();
    });
    destroyed.get_future().get();
    EXPECT_EQ(other->get_future().get().cause, CallCause::closed);

    std::promise<void> destroyed_by_sink;
    std::atomic<bool> destroying = false;
    std::unique_ptr<BlockingBalancer> from_sink;
    std::latch constructed(1);
    BalancerOptions options = options_for(fleet.addresses(), 9);
    options.figures_every = milliseconds(1);
    const auto constructing_thread = std::this_thread::get_id();
    options.figures = [&](std::string_view, const BalancerFigures&) {
        if (std::this_thread::get_id() == constructing_thread || destroying.exchange(true))
            return;  // the calls from the constructor
        constructed.wait();
        from_sink.reset();
        destroyed_by_sink.set_value();
    };
    from_sink = std::make_unique<BlockingBalancer>(options);
    constructed.count_down();
    destroyed_by_sink.get_future().get();
}

}  // namespace
}  // namespace flaxdoor::test
