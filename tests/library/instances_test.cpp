// Two instances in one process are as independent as two daemons.
#include <atomic>
#include <set>

#include "fleet.h"

namespace flaxdoor::test {
namespace {

std::string node_in(const std::string& body) {
    const auto begin = body.find("node=") + 5;
    return body.substr(begin, body.find(' ', begin) - begin);
}

// Two instances with the same name, server names and seed, and so the same call ids, but different server
// lists. Each runs on its own thread.
TEST(Instances, SameNamesAndDifferentServerLists) {
    Fleet first_fleet(2, {}, "mine"), second_fleet(2, {}, "others");
    LoopThread first_loop, second_loop;
    std::atomic<int> lines = 0;
    const auto options = [&](const Fleet& fleet) {
        BalancerOptions balancer_options = options_for(fleet.addresses(), 5);
        balancer_options.name = "twin";
        balancer_options.log = [&](std::string_view instance, std::string_view) {
            EXPECT_EQ(instance, "twin");
            ++lines;
        };
        return balancer_options;
    };
    Balancer first(first_loop.get().get_executor(), options(first_fleet));
    Balancer second(second_loop.get().get_executor(), options(second_fleet));
    std::set<std::string> ids;
    for (int i = 0; i < 100; ++i) {
        // Two concurrent calls with the same id; each must reach its own instance's servers.
        auto first_future = first.async_call(check_in(), asio::use_future);
        auto second_future = second.async_call(check_in(), asio::use_future);
        const CallResult one = first_future.get(), two = second_future.get();
        ASSERT_EQ(one.verdict, CallVerdict::served) << one.why;
        ASSERT_EQ(two.verdict, CallVerdict::served) << two.why;
        EXPECT_EQ(node_in(one.body).substr(0, 4), "mine");
        EXPECT_EQ(node_in(two.body).substr(0, 6), "others");
        EXPECT_EQ(one.id, two.id);
        EXPECT_TRUE(ids.insert(one.id).second);
    }
    for (Fleet* const fleet : {&first_fleet, &second_fleet}) {
        EXPECT_EQ(fleet->run_on_loop([](Fleet& stand_ins) { return stand_ins.effects().counts().ran; }),
                  100U);
    }
    std::promise<void> first_closed;
    first.async_close([&] { first_closed.set_value(); });
    first_closed.get_future().get();
    EXPECT_EQ(call_and_wait(first, check_in()).cause, CallCause::closed);
    EXPECT_EQ(call_and_wait(second, check_in()).verdict, CallVerdict::served);
    EXPECT_EQ(first.figures().served, 100U);
}

// One instance is drained or closed, and recreated, repeatedly. The calls of the other one are unaffected.
TEST(Instances, OneIsRecreatedWhileTheOtherServes) {
    Fleet fleet(3);
    LoopThread loop;  // shared by both
    Balancer permanent(loop.get().get_executor(), options_for(fleet.addresses(), 1));
    std::atomic<bool> done = false;
    std::thread host([&] {
        while (!done) {
            const CallResult result = call_and_wait(permanent, look());
            EXPECT_EQ(result.verdict, CallVerdict::served) << text_of(result.cause);
        }
    });
    for (int i = 0; i < 30; ++i) {
        Balancer temporary(loop.get().get_executor(),
                           options_for(fleet.addresses(), 100 + static_cast<unsigned>(i)));
        auto open = temporary.async_call(check_in(), asio::use_future);
        if (i % 3 == 0) {
            temporary.async_drain(asio::use_future).get();
            EXPECT_NE(open.get().verdict, CallVerdict::failed);
        } else if (i % 3 == 1) {
            temporary.async_close(asio::use_future).get();
            EXPECT_NE(open.get().cause, CallCause::fault);
        }
    }
    done = true;
    host.join();
    EXPECT_TRUE(fleet.run_on_loop([](Fleet& stand_ins) { return stand_ins.effects().ran_again().empty(); }));
}

// Makes sequential calls against a fleet of its own, and returns each call's id, verdict and server. The aim
// is so long that differences between real latencies influence no decision.
std::vector<std::string> run_calls(std::uint64_t seed) {
    Fleet fleet(5);
    LoopThread loop;
    BalancerOptions options = options_for(fleet.addresses(), seed);
    for (auto& class_settings : options.settings.classes)
        class_settings.aim = class_settings.deadline = std::chrono::minutes(10);
    Balancer balancer(loop.get().get_executor(), options);
    std::vector<std::string> decisions;
    for (int i = 0; i < 12; ++i) {
        const CallResult result = call_and_wait(balancer, i % 2 ? look() : check_in());
        decisions.push_back(result.id + " " + std::string(text_of(result.verdict)) + " " +
                            node_in(result.body));
    }
    return decisions;
}

TEST(Instances, SameSeedGivesTheSameDecisionsAsAlone) {
    for (const std::uint64_t seed : {3U, 4U, 5U}) {
        const auto alone = run_calls(seed);
        std::vector<std::string> concurrent;
        std::thread other([&] { (void)run_calls(seed); });
        concurrent = run_calls(seed);
        other.join();
        EXPECT_EQ(alone, concurrent) << "seed " << seed;
        EXPECT_NE(alone, run_calls(seed + 100));  // proves that different seeds give different results
    }
}

}  // namespace
}  // namespace flaxdoor::test
