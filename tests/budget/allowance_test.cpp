// What one process may use: leases that end, shares that shrink, permits that are set aside.
#include "budget/allowance.h"

#include <gtest/gtest.h>

#include "drawn.h"

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

constexpr Micros longest = 2s;

int take_all(Allowance& allowance, Time now) {
    int taken = 0;
    while (allowance.set_aside(now)) {
        if (!allowance.use(now)) break;
        ++taken;
    }
    return taken;
}

TEST(Bucket, ANewShareBeginsEmpty) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    EXPECT_FALSE(allowance.set_aside(1s)) << "without a lease there is nothing";
    EXPECT_FALSE(allowance.next(1s).has_value());
    allowance.lease({5000, 3}, 10s, 1s);
    EXPECT_FALSE(allowance.set_aside(1s));
    EXPECT_EQ(allowance.next(1s), Micros(200ms));
    EXPECT_EQ(take_all(allowance, 1200ms), 1);
    EXPECT_EQ(take_all(allowance, 5s), 3) << "no more than its size";
}

TEST(Bucket, WhatALeaseBroughtEndsWithIt) {
    Allowance allowance(Counts::attempts, {1000, 1}, longest, 0s);
    allowance.lease({10000, 10}, 5s, 0s);
    ASSERT_TRUE(allowance.set_aside(4900ms));
    ASSERT_TRUE(allowance.set_aside(4900ms));
    ASSERT_TRUE(allowance.set_aside(4900ms));
    // Woken after a pause past the end: the reserve's one permit is left of what was set aside.
    EXPECT_FALSE(allowance.use(9s));
    EXPECT_FALSE(allowance.use(9s));
    EXPECT_TRUE(allowance.use(9s));
    EXPECT_EQ(take_all(allowance, 9s), 0) << "the place in the bucket was held until now";
    EXPECT_EQ(take_all(allowance, 20s), 1) << "the reserve has one permit";
    EXPECT_EQ(allowance.in_force(20s), (Amount{1000, 1}));
}

TEST(Bucket, WhatWasSetAsideIsNotBroughtBackByALaterShare) {
    Allowance allowance(Counts::attempts, {}, longest, 0s);
    allowance.lease({10000, 5}, 100s, 0s);
    for (int i = 0; i < 5; ++i) ASSERT_TRUE(allowance.set_aside(5s));
    allowance.lease({0, 2}, 100s, 5s);
    allowance.lease({0, 5}, 100s, 6s);
    int used = 0;
    for (int i = 0; i < 5; ++i) used += allowance.use(6s);
    EXPECT_EQ(used, 2) << "others may have used the three meanwhile";
}

TEST(Bucket, AShareThatShrinksTakesItsTokensAlong) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    allowance.lease({10000, 10}, 100s, 0s);
    allowance.lease({10000, 4}, 100s, 10s);
    allowance.lease({0, 10}, 100s, 10s);
    EXPECT_EQ(take_all(allowance, 10s), 4);
}

TEST(Bucket, WhatIsGivenBackIsThereAgain) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    allowance.lease({1000, 1}, 100s, 0s);
    ASSERT_TRUE(allowance.set_aside(2s));
    ASSERT_FALSE(allowance.set_aside(2s));
    allowance.give_back(2s);
    EXPECT_TRUE(allowance.set_aside(2s));
}

TEST(Bucket, AClockThatGoesBackStandsStill) {
    Allowance allowance(Counts::requests, {}, longest, 10s);
    allowance.lease({1000, 5}, 15s, 10s);
    EXPECT_EQ(take_all(allowance, 12s), 2);
    EXPECT_EQ(take_all(allowance, 1s), 0);
    EXPECT_EQ(take_all(allowance, 13s), 1);
}

// In any window: rate * W + size, whatever leases come, end, shrink and grow, for the most that was in force meanwhile.
TEST(Bucket, NoWindowHoldsMoreThanItsRateAndItsSize) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test::Drawn random(seed);
        Allowance allowance(Counts::attempts, {}, longest, 0s);
        const Amount whole{20000, 8};
        Time now{};
        std::vector<Time> used;
        int aside = 0;
        for (int step = 0; step < 400; ++step) {
            now += Micros(random.below(60'000));
            switch (random.below(6)) {
                case 0:
                    allowance.lease({static_cast<std::int64_t>(random.below(20001)),
                                     static_cast<std::int64_t>(random.below(9))},
                                    now + Micros(random.below(400'000)), now);
                    break;
                case 1:
                    if (aside > 0) allowance.give_back(now), --aside;
                    break;
                case 2:
                case 3: aside += allowance.set_aside(now); break;
                default:
                    if (aside > 0 && allowance.use(now)) used.push_back(now);
                    aside = std::max(0, aside - 1);
            }
        }
        for (std::size_t from = 0; from < used.size(); ++from) {
            for (std::size_t to = from; to < used.size(); ++to) {
                const double span = static_cast<double>((used[to] - used[from]).count()) / 1e6;
                const double most =
                    span * static_cast<double>(whole.rate) / 1000 + static_cast<double>(whole.size);
                ASSERT_LE(static_cast<double>(to - from + 1), most + 1e-6);
            }
        }
    }
}

// By a clock that is as fast as it may be, true seconds are 1.01 of its own.
TEST(Bucket, AFastClockBringsNoMoreThanTheRate) {
    Allowance allowance(Counts::requests, {}, longest, 0s, 0.01);
    allowance.lease({1'000'000, 2000}, 1000s, 0s);
    EXPECT_LE(take_all(allowance, 1010ms), 1000);
    EXPECT_GE(take_all(allowance, 2020ms), 998) << "and hardly less";
    EXPECT_EQ(allowance.next(2020ms), Micros(203)) << "0.8 are left of twice 999.9; 0.2 come at 990 a second";
}

TEST(Places, AFastClockFreesNoneBeforeItsAttemptMustHaveEnded) {
    Allowance allowance(Counts::concurrency, {0, 1}, longest, 0s, 0.01);
    ASSERT_EQ(take_all(allowance, 1s), 1);
    allowance.free_place(false, 1s, 2s);
    EXPECT_EQ(allowance.in_use(1s + longest * 1010 / 1000), 1);
    EXPECT_EQ(allowance.in_use(1s + longest * 1010 / 1000 + 1us), 0);
}

TEST(Places, AreFreeWhenTheirAttemptsHaveEnded) {
    struct Row {
        const char* what;
        bool known;
        Time began, ends, free;
    };
    const Row rows[] = {
        {"an end that is known", true, 1s, 2s, 2s},
        {"one that is not", false, 1s, 2s, 3s},
        {"one that comes later than it can have run", false, 1s, 9s, 9s},
    };
    for (const Row& row : rows) {
        Allowance allowance(Counts::concurrency, {}, longest, 0s);
        allowance.lease({0, 1}, 100s, 0s);
        ASSERT_TRUE(allowance.set_aside(row.began));
        ASSERT_TRUE(allowance.use(row.began));
        EXPECT_FALSE(allowance.set_aside(row.ends - 1us)) << row.what;
        allowance.free_place(row.known, row.began, row.ends);
        if (row.free > row.ends) {
            EXPECT_FALSE(allowance.set_aside(row.free - 1us)) << row.what;
        }
        EXPECT_TRUE(allowance.set_aside(row.free)) << row.what;
    }
}

TEST(Places, AShareThatShrinksLetsNothingMoreBegin) {
    Allowance allowance(Counts::concurrency, {}, longest, 0s);
    allowance.lease({0, 3}, 10s, 0s);
    for (int i = 0; i < 3; ++i) ASSERT_TRUE(allowance.set_aside(1s));
    ASSERT_TRUE(allowance.use(1s));
    allowance.lease({0, 1}, 10s, 2s);
    EXPECT_EQ(allowance.in_use(2s), 3) << "told, so that nobody else gets them yet";
    EXPECT_FALSE(allowance.use(2s));
    EXPECT_FALSE(allowance.use(2s));
    EXPECT_EQ(allowance.in_use(2s), 1);
}

TEST(Places, WhatBeganOutlivesItsLeaseAndIsTold) {
    Allowance allowance(Counts::concurrency, {}, longest, 0s);
    allowance.lease({0, 2}, 5s, 0s);
    ASSERT_TRUE(allowance.set_aside(4s) && allowance.use(4s));
    ASSERT_TRUE(allowance.set_aside(4s));
    EXPECT_FALSE(allowance.use(6s)) << "set aside, and the lease has ended";
    EXPECT_EQ(allowance.in_use(6s), 1);
    EXPECT_EQ(allowance.leased(6s), Amount{});
}

}  // namespace
}  // namespace flaxdoor::budget
