// Tests of the division: the sum of the parts, the demands, and the order under scarcity.
#include "budget/division.h"

#include <gtest/gtest.h>

#include <numeric>

#include "random_source.h"

namespace flaxdoor::budget {
namespace {

using Parts = std::vector<std::int64_t>;

std::int64_t sum(const Parts& parts) { return std::accumulate(parts.begin(), parts.end(), std::int64_t{0}); }

TEST(MaxMin, DividesTheWholeCompletely) {
    struct Row {
        const char* what;
        std::int64_t whole;
        Parts wants, weights, parts;
    };
    const Row rows[] = {
        {"no claims", 5, {}, {}, {}},
        {"one claim gets the whole", 5, {0}, {1}, {5}},
        {"a demand below an equal part is met", 12, {2, 9, 9}, {1, 1, 1}, {2, 5, 5}},
        {"the unclaimed rest is spread", 12, {1, 2, 3}, {1, 1, 1}, {3, 4, 5}},
        {"the remainder goes to the last claims", 7, {9, 9, 9}, {1, 1, 1}, {2, 2, 3}},
        {"an excessive demand gets an equal part", 30, {1'000'000'000, 20, 20}, {1, 1, 1}, {10, 10, 10}},
        {"by weight", 12, {100, 100}, {1, 2}, {4, 8}},
        {"fewer than claims", 2, {1, 1, 1, 1}, {1, 1, 1, 1}, {0, 0, 1, 1}},
        {"a whole of zero", 0, {4, 4}, {1, 1}, {0, 0}},
    };
    for (const Row& row : rows) EXPECT_EQ(max_min(row.whole, row.wants, row.weights), row.parts) << row.what;
}

// Max-min fairness: no claim gets less than it wants while another gets more per weight.
TEST(MaxMin, NoUnmetClaimGetsLessPerWeight) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test::RandomSource random(seed);
        const std::size_t count = 1 + random.below(40);
        Parts wants, weights;
        for (std::size_t i = 0; i < count; ++i) {
            wants.push_back(static_cast<std::int64_t>(random.below(200)));
            weights.push_back(1 + static_cast<std::int64_t>(random.below(3)));
        }
        const auto whole = static_cast<std::int64_t>(random.below(3000));
        const Parts parts = max_min(whole, wants, weights);
        ASSERT_EQ(sum(parts), whole);
        for (std::size_t poor = 0; poor < count; ++poor) {
            if (parts[poor] >= wants[poor]) continue;
            for (std::size_t rich = 0; rich < count; ++rich) {
                // Within one unit of each weight, which integers can't divide.
                ASSERT_LE((parts[rich] - 1) * weights[poor],
                          (parts[poor] + 1 + weights[poor]) * weights[rich])
                    << poor << " wants " << wants[poor] << " and has " << parts[poor];
            }
        }
    }
}

TEST(Divide, EachClaimGetsOneBeforeAnyGetsTwo) {
    std::vector<Claim> claims(30);
    for (std::size_t i = 0; i < claims.size(); ++i) {
        claims[i].wants = {1000, 40};
        claims[i].terms_without_permit = i % 10 == 3 ? 5 : i % 10 == 7 ? 2 : 0;
    }
    claims[23].wants = {};
    const auto parts = divide({7000, 7}, Counts::requests, claims);
    Amount total;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        total = total + parts[i];
        EXPECT_LE(parts[i].size, 1);
        if (parts[i].size == 0) {
            EXPECT_EQ(parts[i].rate, 0) << "a rate without a bucket admits nothing";
        }
        if (claims[i].terms_without_permit > 0 && i != 23) {
            EXPECT_EQ(parts[i].size, 1) << i << " has long been without a permit";
        }
    }
    EXPECT_EQ(total, (Amount{7000, 7}));
}

TEST(Divide, IdleClaimsDoNotReduceADemand) {
    std::vector<Claim> claims(30);
    claims[4].wants = {0, 500};
    EXPECT_EQ(divide({0, 100}, Counts::concurrency, claims)[4].size, 100);
    claims[4].wants = {0, 40};
    const auto parts = divide({0, 100}, Counts::concurrency, claims);
    EXPECT_EQ(parts[4].size, 42) << "its demand and its part of the unclaimed rest";
    EXPECT_EQ(parts[0].size, 2);
}

}  // namespace
}  // namespace flaxdoor::budget
