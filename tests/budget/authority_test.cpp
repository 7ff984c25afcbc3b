// Tests of what the authority grants, and of the amounts that it counts as in force.
#include "budget/authority.h"

#include <gtest/gtest.h>

#include <stdexcept>

#include "random_source.h"

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

constexpr Micros term = 3s;

BudgetConfig terms_of(std::vector<Budget> budgets, int expected = 2) {
    BudgetConfig terms;
    terms.budgets = std::move(budgets);
    terms.expected_balancers = expected;
    terms.lease_term = term;
    terms.max_clock_drift = 0.001;
    terms.max_attempt_duration = 10s;
    return terms;
}
Budget rate(Amount whole, Amount reserve = {}) { return {"r", Counts::requests, {}, {}, {}, whole, reserve}; }
Budget places(std::int64_t whole, std::int64_t reserve = 0) {
    return {"p", Counts::concurrency, {}, {}, {}, {0, whole}, {0, reserve}};
}

// A lease holder as the authority sees it; its requests are made by the test.
struct TestHolder {
    std::string name, instance = "a";
    std::uint64_t number = 0;
    FencingToken taken{};
    Amount leased{};

    LeaseRequest ask(const BudgetConfig& terms, Time now, Amount wants, std::int64_t in_use = 0) {
        LeaseRequest request;
        request.holder = name;
        request.instance = instance;
        request.number = ++number;
        request.accepted = taken;
        request.epoch = taken.epoch;
        request.clock = now;
        for (const Budget& budget : terms.budgets)
            request.needs.push_back({budget.name, budget.counts, wants, leased, {}, in_use});
        return request;
    }
    void accept(const LeaseReply& reply) {
        if (reply.verdict != Verdict::granted) return;
        taken = {reply.epoch, reply.seq};
        leased = reply.grants.empty() ? Amount{} : reply.grants[0].share;
    }
};

class AuthorityTest : public ::testing::Test {
protected:
    void begin(BudgetConfig terms, Authority::RestoredState start = {
                                       .epoch = 5, .complete = true, .records = {}, .longest_term = {}}) {
        authority_.emplace(std::move(terms), std::move(start), now_);
    }
    LeaseReply ask(TestHolder& holder, Amount wants, std::int64_t in_use = 0, bool lost = false) {
        const auto reply =
            authority_->on_request(holder.ask(authority_->terms(), now_, wants, in_use), now_, changes_);
        if (!lost) holder.accept(reply);
        return reply;
    }
    static Amount share(const LeaseReply& reply) {
        return reply.grants.empty() ? Amount{} : reply.grants[0].share;
    }
    Amount counted() const {
        Amount total;
        for (const auto& sum : authority_->view(now_).sums) total = total + sum.reserved + sum.counted;
        return total;
    }

    Time now_ = 1000s;
    std::optional<Authority> authority_;
    std::vector<Change> changes_;
    TestHolder first_{"n1"}, second_{"n2"}, third_{"n3"};
};

TEST_F(AuthorityTest, ShareShrinksAndIsReportedBeforeItGrowsElsewhere) {
    begin(terms_of({rate({10000, 10})}));
    EXPECT_EQ(share(ask(first_, {10000, 10})), (Amount{10000, 10}));
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{}) << "the first holder has the whole";
    // The first holder's smaller grant is lost: both grants count until the holder reports which one it has.
    const LeaseReply lost = ask(first_, {10000, 10}, 0, true);
    EXPECT_EQ(share(lost), (Amount{5000, 5}));
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{});
    first_.accept(lost);
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{}) << "the smaller share has not been reported yet";
    ask(first_, {10000, 10});
    EXPECT_EQ(share(ask(second_, {10000, 10})), (Amount{5000, 5}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, HolderWithLostRepliesBlocksNoShare) {
    begin(terms_of({rate({10000, 10})}));
    ask(first_, {10000, 10});
    // Its replies are lost: it sends requests and accepts nothing.
    for (int i = 0; i < 9; ++i, now_ += 1s) {
        ask(first_, {10000, 10}, 0, true);
        ask(second_, {10000, 10});
    }
    EXPECT_EQ(share(ask(second_, {10000, 10})), (Amount{10000, 10}));
    // The replies arrive again: it accepts the empty grant, and takes part in the division from its next
    // request on.
    ask(first_, {10000, 10});
    EXPECT_EQ(share(ask(first_, {10000, 10})), Amount{}) << "the other holder has the whole";
    ask(second_, {10000, 10});
    ask(second_, {10000, 10});
    EXPECT_EQ(share(ask(first_, {10000, 10})), (Amount{5000, 5}));
}

// All holders together send at most 200 unscheduled requests a second, whatever their demand.
TEST_F(AuthorityTest, RequestIntervalGrowsWithTheNumberOfHolders) {
    begin(terms_of({rate({10000, 10})}, 300));
    EXPECT_EQ(ask(first_, {10000, 10}).min_request_interval, 5ms);
    for (int i = 0; i < 299; ++i) {
        TestHolder holder{"p" + std::to_string(i)};
        ask(holder, {10000, 10});
    }
    EXPECT_EQ(ask(first_, {10000, 10}).min_request_interval, 1500ms);
    now_ += lengthened_by_drift(term, 0.001);
    EXPECT_EQ(ask(first_, {10000, 10}).min_request_interval, 5ms) << "the other holders are no longer active";
}

TEST_F(AuthorityTest, LeaseWithoutRenewalCountsUntilItsEnd) {
    begin(terms_of({rate({10000, 10})}));
    ask(first_, {10000, 10});
    now_ += lengthened_by_drift(term, 0.001) - 1us;
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{});
    now_ += 1us;
    EXPECT_EQ(share(ask(second_, {10000, 10})), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, ConcurrencyPermitsOfASilentHolderCountUntilItsAttemptsMustHaveEnded) {
    begin(terms_of({places(4)}));
    ask(first_, {0, 4});
    const Time counted_until = now_ + lengthened_by_drift(term, 0.001) + lengthened_by_drift(10s, 0.001);
    while (now_ + 1s < counted_until) {
        now_ += 1s;
        ASSERT_EQ(share(ask(second_, {0, 4})), Amount{}) << (counted_until - now_).count() << " us before";
    }
    now_ = counted_until;
    EXPECT_EQ(share(ask(second_, {0, 4})).size, 4);
}

TEST_F(AuthorityTest, ConcurrencyPermitsInUseCountBeyondAShrunkShare) {
    begin(terms_of({places(4)}));
    ask(first_, {0, 4});
    ask(second_, {0, 4});
    ask(first_, {0, 4}, 4);  // its share is half of them from now on
    ask(first_, {0, 4}, 4);  // reported
    EXPECT_EQ(share(ask(second_, {0, 4})).size, 0) << "four are still in use";
    ask(first_, {0, 4}, 2);
    EXPECT_EQ(share(ask(second_, {0, 4})).size, 2);
}

TEST_F(AuthorityTest, StaleAndDuplicateRequestsChangeNothing) {
    begin(terms_of({places(4)}));
    const LeaseRequest early = first_.ask(authority_->terms(), now_, {0, 4}, 0);
    ask(first_, {0, 4}, 3);
    ask(first_, {0, 4}, 3);
    const Amount before = counted();
    EXPECT_EQ(authority_->on_request(early, now_, changes_).verdict, Verdict::waiting);
    EXPECT_EQ(counted(), before);
}

TEST_F(AuthorityTest, StartWithIncompleteRecordsGrantsNothingForATerm) {
    struct Row {
        const char* what;
        bool current;
        Micros longest;
        Micros waits, places_wait;
    };
    const Row rows[] = {
        {"a current store", true, {}, 0s, 0s},
        {"an empty store or a copy",
         false,
         {},
         lengthened_by_drift(term, 0.001),
         lengthened_by_drift(10s, 0.001)},
        {"longer leases before", false, 7s, lengthened_by_drift(7s, 0.001), lengthened_by_drift(10s, 0.001)},
    };
    for (const Row& row : rows) {
        SCOPED_TRACE(row.what);
        now_ = 1000s;
        begin(terms_of({rate({10000, 10}), places(4)}), {5, row.current, {}, row.longest});
        TestHolder holder{"n1"};
        const Time rates_from = now_ + row.waits, places_from = rates_from + row.places_wait;
        for (; now_ < rates_from; now_ += 500ms)
            ASSERT_EQ(ask(holder, {10000, 10}).verdict, Verdict::waiting);
        LeaseReply reply = ask(holder, {10000, 10});
        ASSERT_EQ(reply.verdict, Verdict::granted);
        for (; now_ < places_from; now_ += 500ms) {
            reply = ask(holder, {10000, 10});
            ASSERT_EQ(reply.grants.size(), 1U) << "no concurrency permits yet";
        }
        reply = ask(holder, {10000, 10});
        ASSERT_EQ(reply.grants.size(), 2U);
        EXPECT_EQ(reply.grants[1].share.size, 4);
    }
}

TEST_F(AuthorityTest, RecordsCountAfterAStart) {
    begin(terms_of({rate({10000, 10}), places(4)}));
    ask(first_, {10000, 10}, 3);
    std::vector<Record> records;
    for (const Change& change : changes_) {
        if (change.record) records = {*change.record};
    }
    ASSERT_EQ(records.size(), 1U);
    begin(terms_of({rate({10000, 10}), places(4)}), {6, true, records, {}});
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{}) << "granted before the start";
    now_ += lengthened_by_drift(term, 0.001);
    const auto reply = ask(second_, {10000, 10});
    EXPECT_EQ(share(reply), (Amount{10000, 10}));
    EXPECT_EQ(reply.grants[1].share.size, 0) << "its attempts may still run";
}

TEST_F(AuthorityTest, OfTwoAuthoritiesTheHigherEpochWins) {
    begin(terms_of({rate({10000, 10})}));
    ask(first_, {10000, 10});
    // The older one learns of a higher epoch and grants nothing from then on.
    TestHolder other{"n9"};
    other.taken = {9, 1};
    EXPECT_EQ(ask(other, {10000, 10}).verdict, Verdict::stepped_down);
    EXPECT_EQ(ask(second_, {10000, 10}).verdict, Verdict::stepped_down);
    // One that still waits after its start, with an empty store and a clock that was set back, takes a higher
    // epoch.
    begin(terms_of({rate({10000, 10})}), {5, false, {}, {}});
    EXPECT_EQ(ask(other, {10000, 10}).verdict, Verdict::waiting);
    EXPECT_EQ(authority_->epoch(), 10U);
    EXPECT_EQ(authority_->waits_until(), now_ + lengthened_by_drift(term, 0.001));
}

TEST_F(AuthorityTest, LeasesOfAnEarlierAuthorityCountUntilTheyEnd) {
    begin(terms_of({rate({10000, 10})}));
    first_.taken = {3, 77};
    first_.leased = {8000, 8};
    ask(first_, {10000, 10}, 0, true);
    // The larger of the two leases counts until the holder reports that it has accepted this authority's.
    EXPECT_LE(share(ask(second_, {10000, 10})).rate, 2000);
    now_ += lengthened_by_drift(term, 0.001);
    EXPECT_EQ(share(ask(second_, {10000, 10})).rate, 10000);
}

TEST_F(AuthorityTest, ReservesAreKeptForAllExpectedBalancers) {
    begin(terms_of({rate({10000, 10}, {1000, 1})}, 3));
    EXPECT_EQ(share(ask(first_, {10000, 10})), (Amount{7000, 7}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, NameUsedByTwoProcesses) {
    begin(terms_of({rate({10000, 10}, {1000, 1})}, 2));
    ask(first_, {10000, 10});
    TestHolder twin{"n1", "b"};
    EXPECT_EQ(ask(twin, {10000, 10}).verdict, Verdict::granted)
        << "a restart under the name: the later process keeps it";
    EXPECT_EQ(ask(first_, {10000, 10}).verdict, Verdict::name_taken);
    const auto view = authority_->view(now_);
    EXPECT_EQ(view.sums[0].reserved, (Amount{3000, 3})) << "both processes may use that reserve";
    now_ += lengthened_by_drift(term, 0.001) + 1s;
    EXPECT_EQ(ask(first_, {10000, 10}).verdict, Verdict::granted)
        << "the other process has been silent for a term";
}

TEST_F(AuthorityTest, ClockBeyondTheDriftBoundGetsNoLease) {
    struct Row {
        const char* what;
        double rate;
        bool found;
    };
    const Row rows[] = {{"right", 1, false},
                        {"slow within the bound", 0.999, false},
                        {"fast within the bound", 1.001, false},
                        {"half as fast", 0.5, true},
                        {"twice as fast", 2, true},
                        {"a tenth slow", 0.9, true}};
    for (const Row& row : rows) {
        SCOPED_TRACE(row.what);
        begin(terms_of({rate({10000, 10})}));
        TestHolder holder{"n1"};
        bool found = false;
        int refused = 0;
        for (int i = 0; i < 60; ++i, now_ += 1s) {
            auto request = holder.ask(authority_->terms(), now_, {1000, 1});
            request.clock = Time(static_cast<std::int64_t>(static_cast<double>(now_.count()) * row.rate));
            const auto reply = authority_->on_request(request, now_, changes_);
            holder.accept(reply);
            found = found || reply.verdict == Verdict::clock_off;
            refused += reply.verdict == Verdict::clock_off;
        }
        EXPECT_EQ(found, row.found);
        if (row.found) {
            EXPECT_GE(refused, 30) << "no lease while the clock is off";
        }
    }
}

TEST_F(AuthorityTest, WholeReducedToATenth) {
    begin(terms_of({rate({100000, 100})}));
    ask(first_, {100000, 100});
    authority_->update_terms(terms_of({rate({10000, 10})}), now_);
    EXPECT_EQ(share(ask(second_, {100000, 100})), Amount{});
    EXPECT_EQ(share(ask(first_, {100000, 100})), (Amount{5000, 5}));
    ask(first_, {100000, 100});
    EXPECT_EQ(share(ask(second_, {100000, 100})), (Amount{5000, 5}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, RemovedBudgetStillCountsWhenAddedAgain) {
    begin(terms_of({rate({10000, 10})}));
    ask(first_, {10000, 10});
    authority_->update_terms(terms_of({}), now_);
    authority_->update_terms(terms_of({rate({10000, 10})}), now_);
    EXPECT_EQ(share(ask(second_, {10000, 10})), Amount{}) << "the first holder has the whole";
}

TEST_F(AuthorityTest, LeavingHolderReleasesAllButPermitsInUse) {
    begin(terms_of({places(4)}));
    ask(first_, {0, 4}, 1);
    LeaseRequest request = first_.ask(authority_->terms(), now_, {}, 1);
    request.leaving = true;
    EXPECT_EQ(authority_->on_request(request, now_, changes_).verdict, Verdict::granted);
    EXPECT_EQ(share(ask(second_, {0, 4})).size, 3);
}

TEST_F(AuthorityTest, ExpiredHolderLeavesNoRecord) {
    begin(terms_of({rate({10000, 10})}));
    for (int i = 0; i < 50; ++i, now_ += 1s) {
        TestHolder short_lived{"n" + std::to_string(i)};
        ask(short_lived, {1000, 1});
    }
    now_ += 60s;
    ask(first_, {1000, 1});
    std::map<std::string, bool> recorded;
    for (const Change& change : changes_) recorded[change.holder] = change.record.has_value();
    EXPECT_EQ(std::count_if(recorded.begin(), recorded.end(), [](const auto& each) { return each.second; }),
              1);
}

TEST_F(AuthorityTest, NumberOfProcessesIsBounded) {
    BudgetConfig terms = terms_of({rate({10000, 10})});
    terms.max_holders = 2;
    begin(terms);
    ask(first_, {});
    ask(second_, {});
    EXPECT_EQ(ask(third_, {}).verdict, Verdict::too_many);
}

TEST_F(AuthorityTest, SevenPermitsRotateAmongThirtyHolders) {
    begin(terms_of({rate({7000, 7})}, 30));
    std::vector<TestHolder> holders;
    for (int i = 0; i < 30; ++i) holders.push_back({"n" + std::to_string(i)});
    std::vector<int> rounds_with_permit(30, 0);
    for (int round = 0; round < 60; ++round, now_ += 1s) {
        for (std::size_t i = 0; i < holders.size(); ++i)
            rounds_with_permit[i] += share(ask(holders[i], {1000, 1})).size > 0;
        ASSERT_TRUE(counted().within({7000, 7}));
    }
    for (std::size_t i = 0; i < rounds_with_permit.size(); ++i)
        EXPECT_GE(rounds_with_permit[i], 3) << "holder " << i;
}

// Holders report correctly, in any order, and replies get lost: the counted amounts never exceed the whole.
TEST_F(AuthorityTest, CountedAmountsNeverExceedTheWhole) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test::RandomSource random(seed);
        now_ = 1000s;
        const Amount whole{static_cast<std::int64_t>(5000 + random.below(100000)),
                           static_cast<std::int64_t>(5 + random.below(100))};
        begin(terms_of({rate(whole, {500, 1})}, 5));
        std::vector<TestHolder> holders;
        for (int i = 0; i < 5; ++i) holders.push_back({"n" + std::to_string(i)});
        for (int step = 0; step < 300; ++step) {
            now_ += Micros(random.below(400'000));
            TestHolder& holder = holders[random.below(holders.size())];
            ask(holder,
                {static_cast<std::int64_t>(random.below(60000)), static_cast<std::int64_t>(random.below(60))},
                0, random.one_in(4));
            ASSERT_TRUE(counted().within(whole)) << "step " << step;
        }
    }
}

TEST(Terms, InconsistentOnesAreRejectedByName) {
    struct Row {
        const char* why;
        std::vector<Budget> budgets;
    };
    const Row rows[] = {
        {"r: duplicate name", {rate({1000, 1}), rate({1000, 1})}},
        {"r: the reserves exceed the whole", {rate({1000, 1}, {600, 0})}},
        {"p: the reserves exceed the whole", {places(3, 2)}},
        {"r: the whole must be at least one permit", {rate({1000, 0})}},
    };
    for (const Row& row : rows) {
        try {
            check(terms_of(row.budgets));
            ADD_FAILURE() << row.why << ": accepted";
        } catch (const std::invalid_argument& error) {
            EXPECT_NE(std::string(error.what()).find(row.why), std::string::npos) << error.what();
        }
    }
}

}  // namespace
}  // namespace flaxdoor::budget
