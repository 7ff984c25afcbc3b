// Tests of the fleet's judge: a correct log passes, and each kind of violation is found.
#include "judge.h"

#include <gtest/gtest.h>

#include <functional>
#include <sstream>

namespace flaxdoor::judge {
namespace {

constexpr Microseconds ms = 1000;
const Terms terms{1000 * ms, 0.001, 500 * ms, 20 * ms};
constexpr Microseconds lease_duration = 1001 * ms + 1;  // how long a grant counts at the coordinator

Budget budget_of(Counts counts) {
    Budget budget{"b", counts, {}, {}, {{0, {10'000, 10}}}, {1'000, 1}, 2};
    if (counts == Counts::concurrency) {
        budget.wholes[0].amount.rate = 0;
        budget.reserve.rate = 0;
    }
    return budget;
}

// Two holders: the first has most of the whole, then hands a part over to the second.
Log log_of_a_handover() {
    Log log;
    const auto grant = [&](Microseconds at, const char* holder, std::uint64_t seq, Amount share) {
        log.grants.push_back({at, at + lease_duration, holder, "i", {1, seq}, "b", share});
    };
    const auto report = [&](Microseconds at, const char* holder, std::uint64_t taken) {
        log.holder_reports.push_back({at, holder, "i", {1, taken}, false});
    };
    report(0, "m", 0);
    grant(1 * ms, "m", 1, {8'000, 8});
    report(2 * ms, "n", 0);
    grant(3 * ms, "n", 2, {0, 0});
    report(300 * ms, "m", 1);
    grant(301 * ms, "m", 3, {4'000, 4});
    report(302 * ms, "m", 3);
    grant(303 * ms, "m", 4, {4'000, 4});
    report(304 * ms, "n", 2);
    grant(305 * ms, "n", 5, {4'000, 4});
    return log;
}

struct Violation {
    const char* name;
    Counts counts;
    std::function<void(Log&, Budget&)> apply;
    const char* found;  // part of the finding's text; empty if there is none
};

TEST(Judge, Grants) {
    const std::vector<Violation> cases = {
        {"a correct log", Counts::requests, [](Log&, Budget&) {}, ""},
        {"granted before it was released", Counts::requests,
         [](Log& log, Budget&) {
             std::erase_if(log.holder_reports,
                           [](const HolderReport& report) { return report.at == 302 * ms; });
         },
         "shares of [14000, 14] are in force"},
        {"the same, observed by the grants only", Counts::requests,
         [](Log& log, Budget&) {
             log.holder_reports.clear();
             log.grants.erase(log.grants.begin() + 3);
         },
         "shares of [14000, 14]"},
        {"a correct log of grants only", Counts::requests,
         [](Log& log, Budget&) { log.holder_reports.clear(); }, ""},
        {"a size too large by one permit", Counts::requests,
         [](Log& log, Budget&) { log.grants.back().share.size = 5; }, "[10000, 11]"},
        {"a rate too large by a thousandth", Counts::requests,
         [](Log& log, Budget&) { log.grants.back().share.rate = 4'001; }, "[10001, 10]"},
        {"reserves of more balancers", Counts::requests, [](Log&, Budget& budget) { budget.balancers = 3; },
         "[11000, 11]"},
        {"a later process counts in addition to the earlier one", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({400 * ms, 400 * ms + lease_duration, "m", "j", {1, 6}, "b", {1, 0}});
         },
         "[10001, 10]"},
        {"a later process after the earlier one has left", Counts::requests,
         [](Log& log, Budget&) {
             log.holder_reports.push_back({399 * ms, "m", "i", {1, 4}, true});
             log.grants.push_back({400 * ms, 400 * ms + lease_duration, "m", "j", {1, 6}, "b", {4'000, 4}});
         },
         ""},
        {"an ended grant no longer counts", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({306 * ms + lease_duration,
                                   400 * ms + 2 * lease_duration,
                                   "m",
                                   "j",
                                   {1, 6},
                                   "b",
                                   {8'000, 8}});
         },
         ""},
        {"concurrency permits of a dead process still count", Counts::concurrency,
         [](Log& log, Budget&) {
             for (Grant& each : log.grants) each.share.rate = 0;
             log.grants.push_back(
                 {306 * ms + lease_duration, 400 * ms + 2 * lease_duration, "m", "j", {1, 6}, "b", {0, 8}});
         },
         "shares of [0, 18]"},
        {"an epoch that goes back", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({2000 * ms, 2000 * ms + lease_duration, "m", "i", {0, 9}, "b", {}});
         },
         "fence"},
        {"a fence used twice", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({400 * ms, 400 * ms + lease_duration, "m", "i", {1, 5}, "b", {}});
         },
         "fence"},
        {"the whole is reduced, and shares shrink in time", Counts::requests,
         [](Log& log, Budget& budget) {
             budget.reserve = {};
             budget.wholes.push_back({310 * ms, {1'000, 1}});
             log.grants.push_back({1400 * ms, 1400 * ms + lease_duration, "n", "i", {1, 6}, "b", {1'000, 1}});
         },
         ""},
        {"the whole is reduced, and a share stays too large for too long", Counts::requests,
         [](Log& log, Budget& budget) {
             budget.reserve = {};
             budget.wholes.push_back({310 * ms, {1'000, 1}});
             log.grants.push_back({1000 * ms, 1000 * ms + lease_duration, "n", "i", {1, 6}, "b", {1'001, 1}});
         },
         "the whole is [1000, 1]"},
    };
    for (const auto& [name, counts, apply, found] : cases) {
        SCOPED_TRACE(name);
        Log log = log_of_a_handover();
        Budget budget = budget_of(counts);
        apply(log, budget);
        const auto all = grant_findings(terms, budget, log);
        if (*found == 0) {
            EXPECT_TRUE(all.empty()) << all[0].text;
        } else {
            ASSERT_EQ(all.size(), 1u);
            EXPECT_NE(all[0].text.find(found), std::string::npos) << all[0].text;
        }
    }
}

// Returns a log of `count` attempts at even intervals, each of its own call.
Log evenly_spaced(int count, Microseconds every, Microseconds delay = 5 * ms, Microseconds work = 0) {
    Log log;
    for (int i = 0; i < count; ++i) {
        const Microseconds at = 1'000'000 + i * every;
        log.attempts.push_back({at - delay, at, at + work, "c" + std::to_string(i), "m", "t", "look"});
    }
    return log;
}

TEST(Judge, Work) {
    const std::vector<Violation> cases = {
        {"exactly the rate", Counts::requests, [](Log& log, Budget&) { log = evenly_spaced(50, 100 * ms); },
         ""},
        {"the size at once, then the rate", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly_spaced(50, 100 * ms);
             for (int i = 0; i < 9; ++i)
                 log.attempts.push_back(log.attempts[0]), log.attempts.back().call += i;
         },
         ""},
        {"a tenth above the rate", Counts::requests,
         [](Log& log, Budget&) { log = evenly_spaced(200, 90 * ms); }, "permits in"},
        {"more than the size at once", Counts::requests,
         [](Log& log, Budget&) { log = evenly_spaced(12, 1); }, "11 permits in"},
        {"more than the size at once, within the allowed delay", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly_spaced(11, 1);
             log.attempts.back().sent -= 900 * ms;  // this one may have taken its permit 20 ms earlier
         },
         "11 permits in"},
        {"another tenant", Counts::requests,
         [](Log& log, Budget& budget) {
             log = evenly_spaced(50, 1);
             budget.tenant = "u";
         },
         ""},
        {"another class", Counts::requests,
         [](Log& log, Budget& budget) {
             log = evenly_spaced(50, 1);
             budget.of_class = "once";
         },
         ""},
        {"later attempts are not requests", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly_spaced(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         ""},
        {"later attempts are attempts", Counts::attempts,
         [](Log& log, Budget&) {
             log = evenly_spaced(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         "permits in"},
        {"later attempts are retries", Counts::retries,
         [](Log& log, Budget&) {
             log = evenly_spaced(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         "permits in"},
        {"first attempts are not retries", Counts::retries,
         [](Log& log, Budget&) { log = evenly_spaced(50, 1); }, ""},
        {"concurrency at the limit", Counts::concurrency,
         [](Log& log, Budget&) { log = evenly_spaced(50, 10 * ms, 0, 100 * ms); }, ""},
        {"one concurrent attempt too many", Counts::concurrency,
         [](Log& log, Budget&) { log = evenly_spaced(50, 10 * ms, 0, 100 * ms + 1); },
         "11 attempts at once of 10"},
        {"the old rate for a term after a reduction", Counts::requests,
         [](Log& log, Budget& budget) {
             log = evenly_spaced(11, 100 * ms);
             budget.wholes.push_back({1'000'000, {1'000, 1}});
         },
         ""},
        {"the old rate for longer than a term", Counts::requests,
         [](Log& log, Budget& budget) {
             log = evenly_spaced(40, 100 * ms);
             budget.wholes.push_back({1'000'000, {1'000, 1}});
         },
         "permits in"},
    };
    for (const auto& [name, counts, apply, found] : cases) {
        SCOPED_TRACE(name);
        Log log;
        Budget budget = budget_of(counts);
        apply(log, budget);
        const auto all = work_findings(terms, budget, log);
        if (*found == 0) {
            EXPECT_TRUE(all.empty()) << all[0].text;
        } else {
            ASSERT_EQ(all.size(), 1u);
            EXPECT_NE(all[0].text.find(found), std::string::npos) << all[0].text;
        }
    }
}

TEST(Judge, CountsUseAndTimeUntilItIsFull) {
    const Budget budget = budget_of(Counts::requests);
    Log log = evenly_spaced(10, 500 * ms);  // slow, then at the full rate
    const Microseconds full = log.attempts.back().begun;
    for (int i = 1; i <= 20; ++i) {
        log.attempts.push_back(
            {full + i * 100 * ms, full + i * 100 * ms, full, "d" + std::to_string(i), "m", "t", ""});
    }
    EXPECT_EQ(count_permits(budget, log, full, full + 1000 * ms), 10);
    EXPECT_EQ(time_until_used(budget, log, full - 1000 * ms, 500 * ms), 1400 * ms);
    EXPECT_EQ(time_until_used(budget, log, full + 1900 * ms, 500 * ms), std::nullopt);
}

TEST(Judge, ReadsGrants) {
    const std::string line =
        R"({"time_us": 5, "holder": "m", "instance": "i", "epoch": 1, "seq": 2, "until_us": 9, "budget": "b", "share": [3, 4]})";
    std::istringstream truncated(line + "\n" + line.substr(0, 40));
    const auto grants = read_grants(truncated);
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(grants[0].until, 9);
    EXPECT_EQ(grants[0].fence, (Fence{1, 2}));
    EXPECT_EQ(grants[0].share.size, 4);
    std::istringstream invalid(line + "\n{}\n");
    try {
        (void)read_grants(invalid);
        ADD_FAILURE() << "a line without its fields was accepted";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("line 2"), std::string::npos) << error.what();
    }
}

}  // namespace
}  // namespace flaxdoor::judge
