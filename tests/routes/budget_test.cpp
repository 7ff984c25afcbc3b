#include "routes/budget.h"

#include <gtest/gtest.h>

namespace flaxdoor::routes {
namespace {

using namespace std::chrono_literals;

TEST(RetryBudget, LimitsRetriesToAShareOfTheLastTenSecondsWithAFloor) {
    RetryBudget budget;
    RetryLimit limit;
    limit.share = 0.2;
    limit.floor_per_s = 0;
    Time now = 100s;
    for (int i = 0; i < 100; ++i) budget.on_request(now);
    int allowed = 0;
    for (int i = 0; i < 100; ++i) allowed += budget.try_acquire(now, limit) ? 1 : 0;
    EXPECT_EQ(allowed, 20);
    now += 9s;
    EXPECT_FALSE(budget.try_acquire(now, limit));
    now += 1s;  // requests and retries leave the window together
    EXPECT_FALSE(budget.try_acquire(now, limit));
    for (int i = 0; i < 5; ++i) budget.on_request(now);
    EXPECT_TRUE(budget.try_acquire(now, limit));
    EXPECT_FALSE(budget.try_acquire(now, limit));
    limit.floor_per_s = 1;  // ten retries in ten seconds are always allowed
    allowed = 1;
    for (int i = 0; i < 100; ++i) allowed += budget.try_acquire(now, limit) ? 1 : 0;
    EXPECT_EQ(allowed, 10);
}

}  // namespace
}  // namespace flaxdoor::routes
