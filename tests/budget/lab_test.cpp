// Tests of the lab's simulated budget worlds: the judge detects violations, random worlds keep the budgets,
// and so does every order of events in a small world.
#include <gtest/gtest.h>

#include <algorithm>

#include "budget_judge/judge.h"
#include "budgets/draw.h"
#include "budgets/explore.h"
#include "budgets/figures.h"

namespace flaxdoor::lab::budgets {
namespace {

constexpr std::int64_t ms = 1000;

Record whole(std::int64_t at, std::uint32_t budget, Quantity q) {
    return {at, What::whole, 0, budget, q, 0, ""};
}
Record lease(std::int64_t at, std::uint32_t process, Quantity q, std::int64_t until) {
    return {at, What::lease, process, 0, q, until, ""};
}
Record reserve(std::int64_t at, std::uint32_t process, Quantity q) {
    return {at, What::reserve, process, 0, q, 0, ""};
}
Record gone(std::int64_t at, std::uint32_t process) { return {at, What::gone, process, 0, {}, 0, ""}; }
Record begun(std::int64_t at, std::uint32_t budget) { return {at, What::begun, 0, budget, {}, 0, ""}; }
Record ended(std::int64_t at, std::uint32_t budget) { return {at, What::ended, 0, budget, {}, 0, ""}; }

struct Case {
    const char* name;
    std::vector<Record> records;
    const char* broken;  // the first violated rule; empty if none
};

// Budget 0: ten permits a second and a depth of two. Budget 1: two concurrency permits. The lease term is 100
// ms, the longest attempt 50 ms.
class JudgeCase : public testing::TestWithParam<Case> {};

TEST_P(JudgeCase, IsDetected) {
    Judge judge({{{"rate", false, {}}, {"pool", true, {}}}, 100 * ms, 50 * ms});
    judge.put(whole(0, 0, {10'000, 2}));
    judge.put(whole(0, 1, {0, 2}));
    for (const Record& each : GetParam().records) judge.put(each);
    judge.end(1000 * ms);
    ASSERT_EQ(!judge.broken().empty(), *GetParam().broken != 0);
    if (*GetParam().broken != 0) {
        EXPECT_EQ(text_of(judge.broken().front().rule), GetParam().broken) << judge.broken().front().text;
    }
}

INSTANTIATE_TEST_SUITE_P(
    Judge, JudgeCase,
    testing::Values(
        Case{"SharesThatSumToTheWhole", {lease(1, 1, {5000, 1}, 9 * ms), lease(2, 2, {5000, 1}, 9 * ms)}, ""},
        Case{
            "ARateAboveTheWhole", {lease(1, 1, {5000, 1}, 9 * ms), lease(2, 2, {5001, 1}, 9 * ms)}, "shares"},
        Case{"ASizeAboveTheWhole", {lease(1, 1, {1, 2}, 9 * ms), lease(2, 2, {1, 1}, 9 * ms)}, "shares"},
        Case{"AReserveBesideALease", {reserve(1, 1, {0, 1}), lease(2, 2, {0, 2}, 9 * ms)}, "shares"},
        Case{"AfterALeasesEnd", {lease(1, 1, {0, 2}, 9 * ms), lease(9 * ms, 2, {0, 2}, 20 * ms)}, ""},
        Case{"JustBeforeALeasesEnd",
             {lease(1, 1, {0, 2}, 9 * ms), lease(9 * ms - 1, 2, {0, 2}, 20 * ms)},
             "shares"},
        Case{"AfterAProcessHasEnded",
             {lease(1, 1, {0, 2}, 9 * ms), gone(2, 1), lease(3, 2, {0, 2}, 9 * ms)},
             ""},
        Case{"WithinATermOfAReduction", {whole(0, 0, {1000, 1}), lease(99 * ms, 1, {0, 2}, 99 * ms + 1)}, ""},
        Case{"MoreThanATermAfterAReduction",
             {whole(0, 0, {1000, 1}), lease(99 * ms, 1, {0, 2}, 101 * ms)},
             "shares"},
        Case{"ABurstOfTheSize", {begun(1, 0), begun(1, 0), begun(100 * ms + 1, 0)}, ""},
        Case{"ABurstAboveTheSize", {begun(1, 0), begun(1, 0), begun(100 * ms, 0)}, "work"},
        Case{"ALongWindowAboveTheRate",
             {begun(1, 0), begun(90 * ms, 0), begun(180 * ms, 0), begun(270 * ms, 0), begun(299 * ms, 0)},
             "work"},
        Case{"ABurstOfTheOldSizeAfterAReduction",
             {whole(0, 0, {10'000, 1}), begun(150 * ms, 0), begun(150 * ms, 0)},
             "work"},
        Case{"ConcurrencyPermitsFreedInTime", {begun(1, 1), begun(1, 1), ended(2, 1), begun(2, 1)}, ""},
        Case{"AThirdConcurrentAttempt", {begun(1, 1), begun(1, 1), begun(2, 1)}, "places"},
        Case{"OldConcurrencyOutlivesAReductionByATermAndAnAttempt",
             {whole(0, 1, {0, 1}), begun(149 * ms, 1), begun(149 * ms, 1)},
             ""},
        Case{"OldConcurrencyBeyondATermAndAnAttempt",
             {whole(0, 1, {0, 1}), begun(150 * ms, 1), begun(150 * ms, 1)},
             "places"},
        Case{"ATimeThatGoesBack", {begun(2, 0), begun(1, 0)}, "trace"},
        Case{"AnEndWithoutABegin", {ended(2, 1)}, "trace"}),
    [](const auto& info) { return info.param.name; });

class Worlds : public testing::TestWithParam<Kind> {};

// Kinds of worlds that the design excludes from its guarantee must show a violation.
TEST_P(Worlds, KeepTheirBudgets) {
    const Kind& kind = GetParam();
    const std::uint64_t worlds = kind.name == "mixed" ? 60 : 20;
    std::uint64_t broken = 0, begun = 0;
    for (std::uint64_t seed = 1; seed <= worlds; ++seed) {
        const Played played = judged(draw(kind.name, seed));
        begun += played.counts.begun;
        if (played.broken.empty()) continue;
        ++broken;
        if (!kind.holds) continue;
        std::string story;
        for (const std::string& each : played.broken.front().story) story += each + "\n";
        FAIL() << kind.name << " seed " << seed << ": " << played.broken.front().text << "\n" << story;
    }
    EXPECT_GT(begun, 100 * worlds) << "worlds without attempts show nothing";
    if (!kind.holds) {
        EXPECT_GT(broken, 0U);
    }
}

INSTANTIATE_TEST_SUITE_P(Budgets, Worlds, testing::ValuesIn(kinds().begin(), kinds().end()),
                         [](const auto& info) { return std::string(info.param.name); });

TEST(Budgets, TheSameSeedGivesTheSameWorld) {
    std::vector<std::int64_t> first, second;
    play(draw("mixed", 3), [&](const Record& r) { first.push_back(r.at * 8 + static_cast<int>(r.what)); });
    play(draw("mixed", 3), [&](const Record& r) { second.push_back(r.at * 8 + static_cast<int>(r.what)); });
    EXPECT_GT(first.size(), 100U);
    EXPECT_EQ(first, second);
}

// Twenty budgets of all kinds among thirty balancers with uneven demand; half of the balancers die and
// restart.
TEST(Budgets, TwentyBudgetsAmongThirtyBalancers) {
    auto setup = typical(30, 1);
    setup.lasts = 12'000 * ms;
    setup.terms.budgets.clear();
    for (int i = 0; i < 20; ++i) {
        const bool places = i % 4 == 3;
        setup.terms.budgets.push_back({"budget-" + std::to_string(i),
                                       places ? budget::Counts::concurrency : budget::Counts::requests,
                                       {},
                                       {},
                                       {},
                                       places ? budget::Amount{0, 7 + i} : budget::Amount{60'000, 12 + i},
                                       places ? budget::Amount{} : budget::Amount{100, 0}});
    }
    setup.troubles = {{1000 * ms, Trouble::Kind::demand_skewed, 0, 0, Trouble::Store::own}};
    for (std::uint32_t balancer = 0; balancer < 30; balancer += 2) {
        setup.troubles.push_back({4000 * ms, Trouble::Kind::kill, balancer, 1000 * ms, Trouble::Store::own});
    }
    setup.troubles.push_back({7000 * ms, Trouble::Kind::authority_dies, 0, 500 * ms, Trouble::Store::own});
    const Played played = judged(setup);
    ASSERT_TRUE(played.broken.empty()) << played.broken.front().text;
    EXPECT_GT(played.counts.begun, 3'000U);
    EXPECT_EQ(played.counts.starts_current, 2U);
}

TEST(Budgets, EveryOrderOfASmallWorld) {
    SmallWorld small;
    small.ticks = 3;
    small.under_way_most = 1;
    const Orders orders = explore(small);
    std::string steps;
    for (const std::string& each : orders.wrong) steps += each + "\n";
    EXPECT_EQ(steps, "");
    EXPECT_TRUE(orders.all);
    EXPECT_GT(orders.states, 100'000U);
}

TEST(Budgets, EveryOrderOfASmallWorldWithAnAuthorityRestart) {
    SmallWorld small;
    small.ticks = 3;
    small.under_way_most = 1;
    small.losses = small.deaths = 0;
    small.starts = 1;
    const Orders orders = explore(small);
    std::string steps;
    for (const std::string& each : orders.wrong) steps += each + "\n";
    EXPECT_EQ(steps, "");
    EXPECT_TRUE(orders.all);
    EXPECT_GT(orders.states, 50'000U);
}

// Without faults. Skewed rates among many balancers with a small burst stay below the aim of 95%: a bucket
// whose depth is smaller than the random variation of the demand loses the tokens that it can't save
// (docs/measurements/budget_lab.md).
TEST(Use, OfTheWholeUnderSufficientDemand) {
    struct Row {
        std::uint32_t names;
        Trouble::Kind demand;
        double rate, places;  // at least
        std::int64_t burst = 120;
    };
    const Row rows[] = {
        {12, Trouble::Kind::demand_even, 0.95, 0.95},       {12, Trouble::Kind::demand_skewed, 0.93, 0.95},
        {12, Trouble::Kind::demand_to_one, 0.95, 0.95},     {30, Trouble::Kind::demand_even, 0.95, 0.95},
        {30, Trouble::Kind::demand_skewed, 0.85, 0.93},     {30, Trouble::Kind::demand_to_one, 0.95, 0.95},
        {30, Trouble::Kind::demand_skewed, 0.94, 0.93, 600}};
    for (const Row& row : rows) {
        auto setup = typical(row.names, 1);
        setup.terms.budgets[0].whole.size = row.burst;
        setup.troubles = {{1000 * ms, row.demand, 0, 0, Trouble::Store::own}};
        const std::vector<double> shares = in_use(setup, 12'000 * ms, 30'000 * ms);
        EXPECT_GE(shares[0], row.rate) << row.names << " " << text_of(row.demand);
        EXPECT_GE(shares[1], row.places) << row.names << " " << text_of(row.demand);
    }
}

TEST(Use, SevenConcurrencyPermitsRotateAmongThirty) {
    const double seconds = until_each_had_one(30, 1);
    EXPECT_GT(seconds, 0) << "some holders had no permit within two minutes";
    EXPECT_LT(seconds, 30);
}

TEST(Clocks, ReadingsAndTimesAgree) {
    for (const std::int64_t ppb : {-50'000'000, -1, 0, 1, 50'000'000}) {
        const Clock clock{1'000'000, ppb};
        for (std::int64_t t = 0; t < 100'000'000; t += 9'999'991) {
            EXPECT_EQ(clock.at(clock.when(clock.at(t))), clock.at(t));
            EXPECT_LE(clock.when(clock.at(t)), t);
        }
    }
}

}  // namespace
}  // namespace flaxdoor::lab::budgets
