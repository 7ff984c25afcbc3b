// The judge of fleets: a correct log passes, and each kind of break is found.
#include "judge.h"

#include <gtest/gtest.h>

#include <functional>
#include <sstream>

namespace flaxdoor::judge {
namespace {

constexpr Us ms = 1000;
const Terms terms{1000 * ms, 0.001, 500 * ms, 20 * ms};
constexpr Us lease = 1001 * ms + 1;  // as long as a grant counts at the coordinator

Budget of(Counts counts) {
    Budget budget{"b", counts, {}, {}, {{0, {10'000, 10}}}, {1'000, 1}, 2};
    if (counts == Counts::concurrency) {
        budget.wholes[0].amount.rate = 0;
        budget.reserve.rate = 0;
    }
    return budget;
}

// Two holders, of which the first has most, then gives some of it up to the second.
Log handed_over() {
    Log log;
    const auto grant = [&](Us at, const char* holder, std::uint64_t seq, Amount share) {
        log.grants.push_back({at, at + lease, holder, "i", {1, seq}, "b", share});
    };
    const auto tell = [&](Us at, const char* holder, std::uint64_t taken) {
        log.told.push_back({at, holder, "i", {1, taken}, false});
    };
    tell(0, "m", 0);
    grant(1 * ms, "m", 1, {8'000, 8});
    tell(2 * ms, "n", 0);
    grant(3 * ms, "n", 2, {0, 0});
    tell(300 * ms, "m", 1);
    grant(301 * ms, "m", 3, {4'000, 4});
    tell(302 * ms, "m", 3);
    grant(303 * ms, "m", 4, {4'000, 4});
    tell(304 * ms, "n", 2);
    grant(305 * ms, "n", 5, {4'000, 4});
    return log;
}

struct Break {
    const char* name;
    Counts counts;
    std::function<void(Log&, Budget&)> make;
    const char* found;  // empty: nothing is
};

TEST(Judge, Grants) {
    const std::vector<Break> cases = {
        {"as it should be", Counts::requests, [](Log&, Budget&) {}, ""},
        {"given before it was let go of", Counts::requests,
         [](Log& log, Budget&) { std::erase_if(log.told, [](const Told& t) { return t.at == 302 * ms; }); },
         "shares of [14000, 14] are in force"},
        {"the same, seen by nothing but the grants", Counts::requests,
         [](Log& log, Budget&) {
             log.told.clear();
             log.grants.erase(log.grants.begin() + 3);
         },
         "shares of [14000, 14]"},
        {"only the grants, as they should be", Counts::requests, [](Log& log, Budget&) { log.told.clear(); },
         ""},
        {"one permit's size too much", Counts::requests,
         [](Log& log, Budget&) { log.grants.back().share.size = 5; }, "[10000, 11]"},
        {"a thousandth too much", Counts::requests,
         [](Log& log, Budget&) { log.grants.back().share.rate = 4'001; }, "[10001, 10]"},
        {"the reserves of more balancers", Counts::requests, [](Log&, Budget& b) { b.balancers = 3; },
         "[11000, 11]"},
        {"a later process counts beside the one before it", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({400 * ms, 400 * ms + lease, "m", "j", {1, 6}, "b", {1, 0}});
         },
         "[10001, 10]"},
        {"unless that has left", Counts::requests,
         [](Log& log, Budget&) {
             log.told.push_back({399 * ms, "m", "i", {1, 4}, true});
             log.grants.push_back({400 * ms, 400 * ms + lease, "m", "j", {1, 6}, "b", {4'000, 4}});
         },
         ""},
        {"what has ended counts no more", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back(
                 {306 * ms + lease, 400 * ms + 2 * lease, "m", "j", {1, 6}, "b", {8'000, 8}});
         },
         ""},
        {"places of the dead count on", Counts::concurrency,
         [](Log& log, Budget&) {
             for (Grant& each : log.grants) each.share.rate = 0;
             log.grants.push_back({306 * ms + lease, 400 * ms + 2 * lease, "m", "j", {1, 6}, "b", {0, 8}});
         },
         "shares of [0, 18]"},
        {"an epoch that went back", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({2000 * ms, 2000 * ms + lease, "m", "i", {0, 9}, "b", {}});
         },
         "fence"},
        {"a fence used twice", Counts::requests,
         [](Log& log, Budget&) {
             log.grants.push_back({400 * ms, 400 * ms + lease, "m", "i", {1, 5}, "b", {}});
         },
         "fence"},
        {"the whole is cut, and all is in time", Counts::requests,
         [](Log& log, Budget& b) {
             b.reserve = {};
             b.wholes.push_back({310 * ms, {1'000, 1}});
             log.grants.push_back({1400 * ms, 1400 * ms + lease, "n", "i", {1, 6}, "b", {1'000, 1}});
         },
         ""},
        {"the whole is cut, and somebody has too much for too long", Counts::requests,
         [](Log& log, Budget& b) {
             b.reserve = {};
             b.wholes.push_back({310 * ms, {1'000, 1}});
             log.grants.push_back({1000 * ms, 1000 * ms + lease, "n", "i", {1, 6}, "b", {1'001, 1}});
         },
         "the whole is [1000, 1]"},
    };
    for (const auto& [name, counts, make, found] : cases) {
        SCOPED_TRACE(name);
        Log log = handed_over();
        Budget budget = of(counts);
        make(log, budget);
        const auto all = grant_findings(terms, budget, log);
        if (*found == 0) {
            EXPECT_TRUE(all.empty()) << all[0].text;
        } else {
            ASSERT_EQ(all.size(), 1u);
            EXPECT_NE(all[0].text.find(found), std::string::npos) << all[0].text;
        }
    }
}

// So many attempts, evenly, of one call each.
Log evenly(int count, Us every, Us way = 5 * ms, Us work = 0) {
    Log log;
    for (int i = 0; i < count; ++i) {
        const Us at = 1'000'000 + i * every;
        log.attempts.push_back({at - way, at, at + work, "c" + std::to_string(i), "m", "t", "look"});
    }
    return log;
}

TEST(Judge, Work) {
    const std::vector<Break> cases = {
        {"just the rate", Counts::requests, [](Log& log, Budget&) { log = evenly(50, 100 * ms); }, ""},
        {"the size at once, then the rate", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly(50, 100 * ms);
             for (int i = 0; i < 9; ++i)
                 log.attempts.push_back(log.attempts[0]), log.attempts.back().call += i;
         },
         ""},
        {"a tenth too fast", Counts::requests, [](Log& log, Budget&) { log = evenly(200, 90 * ms); },
         "permits in"},
        {"more than the size at once", Counts::requests, [](Log& log, Budget&) { log = evenly(12, 1); },
         "11 permits in"},
        {"the same, from a queue on the way that was told", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly(11, 1);
             log.attempts.back().sent -= 900 * ms;  // one may have had its permit 20 ms before
         },
         "11 permits in"},
        {"of another tenant", Counts::requests,
         [](Log& log, Budget& b) {
             log = evenly(50, 1);
             b.tenant = "u";
         },
         ""},
        {"of another class", Counts::requests,
         [](Log& log, Budget& b) {
             log = evenly(50, 1);
             b.of_class = "once";
         },
         ""},
        {"further attempts are no requests", Counts::requests,
         [](Log& log, Budget&) {
             log = evenly(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         ""},
        {"further attempts are attempts", Counts::attempts,
         [](Log& log, Budget&) {
             log = evenly(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         "permits in"},
        {"further attempts are retries", Counts::retries,
         [](Log& log, Budget&) {
             log = evenly(50, 1);
             for (Attempt& each : log.attempts) each.call = "c";
         },
         "permits in"},
        {"first attempts are no retries", Counts::retries, [](Log& log, Budget&) { log = evenly(50, 1); },
         ""},
        {"places, one after the other", Counts::concurrency,
         [](Log& log, Budget&) { log = evenly(50, 10 * ms, 0, 100 * ms); }, ""},
        {"one place too many", Counts::concurrency,
         [](Log& log, Budget&) { log = evenly(50, 10 * ms, 0, 100 * ms + 1); }, "11 attempts at once of 10"},
        {"at the old rate for a term after a cut", Counts::requests,
         [](Log& log, Budget& b) {
             log = evenly(11, 100 * ms);
             b.wholes.push_back({1'000'000, {1'000, 1}});
         },
         ""},
        {"at the old rate for longer", Counts::requests,
         [](Log& log, Budget& b) {
             log = evenly(40, 100 * ms);
             b.wholes.push_back({1'000'000, {1'000, 1}});
         },
         "permits in"},
    };
    for (const auto& [name, counts, make, found] : cases) {
        SCOPED_TRACE(name);
        Log log;
        Budget budget = of(counts);
        make(log, budget);
        const auto all = work_findings(terms, budget, log);
        if (*found == 0) {
            EXPECT_TRUE(all.empty()) << all[0].text;
        } else {
            ASSERT_EQ(all.size(), 1u);
            EXPECT_NE(all[0].text.find(found), std::string::npos) << all[0].text;
        }
    }
}

TEST(Judge, UseAndWhenItIsFull) {
    const Budget budget = of(Counts::requests);
    Log log = evenly(10, 500 * ms);  // slow, then full
    const Us full = log.attempts.back().begun;
    for (int i = 1; i <= 20; ++i) {
        log.attempts.push_back(
            {full + i * 100 * ms, full + i * 100 * ms, full, "d" + std::to_string(i), "m", "t", ""});
    }
    EXPECT_EQ(used(budget, log, full, full + 1000 * ms), 10);
    EXPECT_EQ(until_use(budget, log, full - 1000 * ms, 500 * ms), 1400 * ms);
    EXPECT_EQ(until_use(budget, log, full + 1900 * ms, 500 * ms), std::nullopt);
}

TEST(Judge, ReadsGrants) {
    const std::string line =
        R"({"time_us": 5, "holder": "m", "instance": "i", "epoch": 1, "seq": 2, "until_us": 9, "budget": "b", "share": [3, 4]})";
    std::istringstream cut(line + "\n" + line.substr(0, 40));
    const auto grants = read_grants(cut);
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(grants[0].until, 9);
    EXPECT_EQ(grants[0].fence, (Fence{1, 2}));
    EXPECT_EQ(grants[0].share.size, 4);
    std::istringstream wrong(line + "\n{}\n");
    try {
        (void)read_grants(wrong);
        ADD_FAILURE() << "a line without its fields was taken";
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("line 2"), std::string::npos) << error.what();
    }
}

}  // namespace
}  // namespace flaxdoor::judge
