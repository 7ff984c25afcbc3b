// Tests of the allowance of one process: leases that end, shares that shrink, reserved permits.
#include "budget/allowance.h"

#include <gtest/gtest.h>

#include "random_source.h"

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

constexpr Micros longest = 2s;

// Reserves and commits permits until none is left. Returns their number.
int commit_all(Allowance& allowance, Time now) {
    int committed = 0;
    while (allowance.reserve(now)) {
        if (!allowance.commit(now)) break;
        ++committed;
    }
    return committed;
}

TEST(Bucket, NewShareStartsEmpty) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    EXPECT_FALSE(allowance.reserve(1s)) << "no permit without a lease";
    EXPECT_FALSE(allowance.time_to_next_permit(1s).has_value());
    allowance.lease({5000, 3}, 10s, 1s);
    EXPECT_FALSE(allowance.reserve(1s));
    EXPECT_EQ(allowance.time_to_next_permit(1s), Micros(200ms));
    EXPECT_EQ(commit_all(allowance, 1200ms), 1);
    EXPECT_EQ(commit_all(allowance, 5s), 3) << "at most the size";
}

TEST(Bucket, TokensOfALeaseEndWithIt) {
    Allowance allowance(Counts::attempts, {1000, 1}, longest, 0s);
    allowance.lease({10000, 10}, 5s, 0s);
    ASSERT_TRUE(allowance.reserve(4900ms));
    ASSERT_TRUE(allowance.reserve(4900ms));
    ASSERT_TRUE(allowance.reserve(4900ms));
    // The process resumes after the lease has ended: of the three reserved permits, only the reserve's one is
    // left.
    EXPECT_FALSE(allowance.commit(9s));
    EXPECT_FALSE(allowance.commit(9s));
    EXPECT_TRUE(allowance.commit(9s));
    EXPECT_EQ(commit_all(allowance, 9s), 0) << "the reserved permit counted against the depth until now";
    EXPECT_EQ(commit_all(allowance, 20s), 1) << "the reserve has one permit";
    EXPECT_EQ(allowance.in_force(20s), (Amount{1000, 1}));
}

TEST(Bucket, RevokedPermitsAreNotRestoredByALaterShare) {
    Allowance allowance(Counts::attempts, {}, longest, 0s);
    allowance.lease({10000, 5}, 100s, 0s);
    for (int i = 0; i < 5; ++i) ASSERT_TRUE(allowance.reserve(5s));
    allowance.lease({0, 2}, 100s, 5s);
    allowance.lease({0, 5}, 100s, 6s);
    int committed = 0;
    for (int i = 0; i < 5; ++i) committed += allowance.commit(6s);
    EXPECT_EQ(committed, 2) << "other holders may have used the other three meanwhile";
}

TEST(Bucket, ShrinkingShareLosesTokens) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    allowance.lease({10000, 10}, 100s, 0s);
    allowance.lease({10000, 4}, 100s, 10s);
    allowance.lease({0, 10}, 100s, 10s);
    EXPECT_EQ(commit_all(allowance, 10s), 4);
}

TEST(Bucket, ReleasedPermitIsAvailableAgain) {
    Allowance allowance(Counts::requests, {}, longest, 0s);
    allowance.lease({1000, 1}, 100s, 0s);
    ASSERT_TRUE(allowance.reserve(2s));
    ASSERT_FALSE(allowance.reserve(2s));
    allowance.release(2s);
    EXPECT_TRUE(allowance.reserve(2s));
}

TEST(Bucket, ClockThatGoesBackIsTreatedAsStopped) {
    Allowance allowance(Counts::requests, {}, longest, 10s);
    allowance.lease({1000, 5}, 15s, 10s);
    EXPECT_EQ(commit_all(allowance, 12s), 2);
    EXPECT_EQ(commit_all(allowance, 1s), 0);
    EXPECT_EQ(commit_all(allowance, 13s), 1);
}

// In any window W, at most rate * W + size permits are committed, with the largest amount that was in force,
// however leases start, end, shrink and grow.
TEST(Bucket, NoWindowExceedsRateAndSize) {
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test::RandomSource random(seed);
        Allowance allowance(Counts::attempts, {}, longest, 0s);
        const Amount whole{20000, 8};
        Time now{};
        std::vector<Time> committed;
        int reserved = 0;
        for (int step = 0; step < 400; ++step) {
            now += Micros(random.below(60'000));
            switch (random.below(6)) {
                case 0:
                    allowance.lease({static_cast<std::int64_t>(random.below(20001)),
                                     static_cast<std::int64_t>(random.below(9))},
                                    now + Micros(random.below(400'000)), now);
                    break;
                case 1:
                    if (reserved > 0) allowance.release(now), --reserved;
                    break;
                case 2:
                case 3: reserved += allowance.reserve(now); break;
                default:
                    if (reserved > 0 && allowance.commit(now)) committed.push_back(now);
                    reserved = std::max(0, reserved - 1);
            }
        }
        for (std::size_t from = 0; from < committed.size(); ++from) {
            for (std::size_t to = from; to < committed.size(); ++to) {
                const double span = static_cast<double>((committed[to] - committed[from]).count()) / 1e6;
                const double limit =
                    span * static_cast<double>(whole.rate) / 1000 + static_cast<double>(whole.size);
                ASSERT_LE(static_cast<double>(to - from + 1), limit + 1e-6);
            }
        }
    }
}

// With the largest allowed drift, one real second is 1.01 seconds of this clock.
TEST(Bucket, FastClockDoesNotExceedTheRate) {
    Allowance allowance(Counts::requests, {}, longest, 0s, 0.01);
    allowance.lease({1'000'000, 2000}, 1000s, 0s);
    EXPECT_LE(commit_all(allowance, 1010ms), 1000);
    EXPECT_GE(commit_all(allowance, 2020ms), 998) << "and not much less";
    EXPECT_EQ(allowance.time_to_next_permit(2020ms), Micros(203))
        << "0.8 of a token are left of twice 999.9; the missing 0.2 accrue at 990 a second";
}

TEST(Places, FastClockFreesNoPermitBeforeItsAttemptMustHaveEnded) {
    Allowance allowance(Counts::concurrency, {0, 1}, longest, 0s, 0.01);
    ASSERT_EQ(commit_all(allowance, 1s), 1);
    allowance.end_attempt(false, 1s, 2s);
    EXPECT_EQ(allowance.in_use(1s + longest * 1010 / 1000), 1);
    EXPECT_EQ(allowance.in_use(1s + longest * 1010 / 1000 + 1us), 0);
}

TEST(Places, PermitIsFreeOnceItsAttemptHasEnded) {
    struct Row {
        const char* what;
        bool known;
        Time began, ends, free;
    };
    const Row rows[] = {
        {"known end", true, 1s, 2s, 2s},
        {"unknown end", false, 1s, 2s, 3s},
        {"unknown end, reported after the longest duration", false, 1s, 9s, 9s},
    };
    for (const Row& row : rows) {
        Allowance allowance(Counts::concurrency, {}, longest, 0s);
        allowance.lease({0, 1}, 100s, 0s);
        ASSERT_TRUE(allowance.reserve(row.began));
        ASSERT_TRUE(allowance.commit(row.began));
        EXPECT_FALSE(allowance.reserve(row.ends - 1us)) << row.what;
        allowance.end_attempt(row.known, row.began, row.ends);
        if (row.free > row.ends) {
            EXPECT_FALSE(allowance.reserve(row.free - 1us)) << row.what;
        }
        EXPECT_TRUE(allowance.reserve(row.free)) << row.what;
    }
}

TEST(Places, ShrinkingShareRevokesReservedPermits) {
    Allowance allowance(Counts::concurrency, {}, longest, 0s);
    allowance.lease({0, 3}, 10s, 0s);
    for (int i = 0; i < 3; ++i) ASSERT_TRUE(allowance.reserve(1s));
    ASSERT_TRUE(allowance.commit(1s));
    allowance.lease({0, 1}, 10s, 2s);
    EXPECT_EQ(allowance.in_use(2s), 3) << "reported, so that no other holder gets them yet";
    EXPECT_FALSE(allowance.commit(2s));
    EXPECT_FALSE(allowance.commit(2s));
    EXPECT_EQ(allowance.in_use(2s), 1);
}

TEST(Places, RunningAttemptOutlivesItsLeaseAndIsReported) {
    Allowance allowance(Counts::concurrency, {}, longest, 0s);
    allowance.lease({0, 2}, 5s, 0s);
    ASSERT_TRUE(allowance.reserve(4s) && allowance.commit(4s));
    ASSERT_TRUE(allowance.reserve(4s));
    EXPECT_FALSE(allowance.commit(6s)) << "reserved, but the lease has ended";
    EXPECT_EQ(allowance.in_use(6s), 1);
    EXPECT_EQ(allowance.leased(6s), Amount{});
}

}  // namespace
}  // namespace flaxdoor::budget
