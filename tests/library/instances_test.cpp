// Two instances in one process share nothing that two daemons would not.
#include <atomic>
#include <set>

#include "fleet.h"

namespace flaxdoor::test {
namespace {

std::string node_in(const std::string& body) {
    const auto at = body.find("node=") + 5;
    return body.substr(at, body.find(' ', at) - at);
}

// The same names for the instances and for their servers, the same seed, and so the same ids of calls; unlike
// lists. Each has a thread.
TEST(Instances, SameNamesAndUnlikeLists) {
    Fleet mine(2, {}, "mine"), others(2, {}, "others");
    Loop my_loop, other_loop;
    std::atomic<int> lines = 0;
    const auto options = [&](const Fleet& fleet) {
        BalancerOptions its = options_for(fleet.addresses(), 5);
        its.name = "twin";
        its.log = [&](std::string_view instance, std::string_view) {
            EXPECT_EQ(instance, "twin");
            ++lines;
        };
        return its;
    };
    Balancer a(my_loop.get().get_executor(), options(mine));
    Balancer b(other_loop.get().get_executor(), options(others));
    std::set<std::string> ids;
    for (int i = 0; i < 100; ++i) {
        // Both at once, under one id; each of its own fleet.
        auto first = a.async_call(check_in(), asio::use_future);
        auto second = b.async_call(check_in(), asio::use_future);
        const CallResult one = first.get(), two = second.get();
        ASSERT_EQ(one.verdict, CallVerdict::served) << one.why;
        ASSERT_EQ(two.verdict, CallVerdict::served) << two.why;
        EXPECT_EQ(node_in(one.body).substr(0, 4), "mine");
        EXPECT_EQ(node_in(two.body).substr(0, 6), "others");
        EXPECT_EQ(one.id, two.id);
        EXPECT_TRUE(ids.insert(one.id).second);
    }
    for (Fleet* const fleet : {&mine, &others}) {
        EXPECT_EQ(fleet->ask([](Fleet& f) { return f.effects().counts().ran; }), 100U);
    }
    std::promise<void> a_closed;
    a.async_close([&] { a_closed.set_value(); });
    a_closed.get_future().get();
    EXPECT_EQ(wait_for(a, check_in()).cause, CallCause::closed);
    EXPECT_EQ(wait_for(b, check_in()).verdict, CallVerdict::served);
    EXPECT_EQ(a.figures().served, 100U);
}

// One drains, is closed, is made anew, again and again; the other one serves on, and none of its calls meets
// it.
TEST(Instances, OneEndsAndIsMadeAnewWhileTheOtherServes) {
    Fleet fleet(3);
    Loop loop;  // one loop for both
    Balancer stays(loop.get().get_executor(), options_for(fleet.addresses(), 1));
    std::atomic<bool> over = false;
    std::thread host([&] {
        while (!over) {
            const CallResult result = wait_for(stays, look());
            EXPECT_EQ(result.verdict, CallVerdict::served) << text_of(result.cause);
        }
    });
    for (int i = 0; i < 30; ++i) {
        Balancer other(loop.get().get_executor(),
                       options_for(fleet.addresses(), 100 + static_cast<unsigned>(i)));
        auto open = other.async_call(check_in(), asio::use_future);
        if (i % 3 == 0) {
            other.async_drain(asio::use_future).get();
            EXPECT_NE(open.get().verdict, CallVerdict::failed);
        } else if (i % 3 == 1) {
            other.async_close(asio::use_future).get();
            EXPECT_NE(open.get().cause, CallCause::fault);
        }
    }
    over = true;
    host.join();
    EXPECT_TRUE(fleet.ask([](Fleet& f) { return f.effects().ran_again().empty(); }));
}

// What one host does with a fleet of its own, call after call: whom each goes to, under which id, and what
// comes of it. The aim is so long that no difference of real latencies counts as a lead of one server.
std::vector<std::string> run_alone(std::uint64_t seed) {
    Fleet fleet(5);
    Loop loop;
    BalancerOptions options = options_for(fleet.addresses(), seed);
    for (auto& each : options.settings.classes) each.aim = each.deadline = std::chrono::minutes(10);
    Balancer balancer(loop.get().get_executor(), options);
    std::vector<std::string> met;
    for (int i = 0; i < 12; ++i) {
        const CallResult result = wait_for(balancer, i % 2 ? look() : check_in());
        met.push_back(result.id + " " + std::string(text_of(result.verdict)) + " " + node_in(result.body));
    }
    return met;
}

TEST(Instances, SameSeedAndEventsGiveTheSameAsAlone) {
    for (const std::uint64_t seed : {3U, 4U, 5U}) {
        const auto alone = run_alone(seed);
        std::vector<std::string> beside;
        std::thread other([&] { (void)run_alone(seed); });
        beside = run_alone(seed);
        other.join();
        EXPECT_EQ(alone, beside) << "seed " << seed;
        EXPECT_NE(alone, run_alone(seed + 100));  // what is compared tells seeds apart
    }
}

}  // namespace
}  // namespace flaxdoor::test
