// What the authority grants, and what it counts as in force until it knows better.
#include "budget/authority.h"

#include <gtest/gtest.h>

#include <stdexcept>

#include "drawn.h"

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

constexpr Micros term = 3s;

Terms terms_of(std::vector<Budget> budgets, int expected = 2) {
    Terms terms;
    terms.budgets = std::move(budgets);
    terms.expected = expected;
    terms.term = term;
    terms.drift = 0.001;
    terms.longest = 10s;
    return terms;
}
Budget rate(Amount whole, Amount reserve = {}) { return {"r", Counts::requests, {}, {}, {}, whole, reserve}; }
Budget places(std::int64_t whole, std::int64_t reserve = 0) {
    return {"p", Counts::concurrency, {}, {}, {}, {0, whole}, {0, reserve}};
}

// A holder as far as the authority sees it: what it says, by hand.
struct Peer {
    std::string name, instance = "a";
    std::uint64_t number = 0;
    Fence taken{};
    Amount leased{};

    LeaseRequest ask(const Terms& terms, Time now, Amount wants, std::int64_t in_use = 0) {
        LeaseRequest request;
        request.holder = name;
        request.instance = instance;
        request.number = ++number;
        request.taken = taken;
        request.epoch = taken.epoch;
        request.clock = now;
        for (const Budget& b : terms.budgets)
            request.needs.push_back({b.name, b.counts, wants, leased, {}, in_use});
        return request;
    }
    void take(const LeaseReply& reply) {
        if (reply.verdict != Verdict::granted) return;
        taken = {reply.epoch, reply.seq};
        leased = reply.grants.empty() ? Amount{} : reply.grants[0].share;
    }
};

class AuthorityTest : public ::testing::Test {
protected:
    void begin(Terms terms,
               Authority::Start start = {.epoch = 5, .current = true, .records = {}, .longest_term = {}}) {
        authority_.emplace(std::move(terms), std::move(start), now_);
    }
    LeaseReply ask(Peer& peer, Amount wants, std::int64_t in_use = 0, bool lost = false) {
        const auto reply =
            authority_->on_request(peer.ask(authority_->terms(), now_, wants, in_use), now_, changes_);
        if (!lost) peer.take(reply);
        return reply;
    }
    static Amount share(const LeaseReply& reply) {
        return reply.grants.empty() ? Amount{} : reply.grants[0].share;
    }
    Amount counted() const {
        Amount all;
        for (const auto& sum : authority_->view(now_).sums) all = all + sum.reserved + sum.counted;
        return all;
    }

    Time now_ = 1000s;
    std::optional<Authority> authority_;
    std::vector<Change> changes_;
    Peer one_{"n1"}, two_{"n2"}, three_{"n3"};
};

TEST_F(AuthorityTest, AShareShrinksAndIsToldToHaveBeforeItGrowsElsewhere) {
    begin(terms_of({rate({10000, 10})}));
    EXPECT_EQ(share(ask(one_, {10000, 10})), (Amount{10000, 10}));
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{}) << "the first one has it all";
    // The first one's smaller grant is lost on its way: both count for it until it tells which it has.
    const LeaseReply lost = ask(one_, {10000, 10}, 0, true);
    EXPECT_EQ(share(lost), (Amount{5000, 5}));
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{});
    one_.take(lost);
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{}) << "it has not been told yet";
    ask(one_, {10000, 10});
    EXPECT_EQ(share(ask(two_, {10000, 10})), (Amount{5000, 5}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, WhoseRepliesAreLostHoldsNothingBack) {
    begin(terms_of({rate({10000, 10})}));
    ask(one_, {10000, 10});
    // One way is cut: it asks on, and takes nothing.
    for (int i = 0; i < 9; ++i, now_ += 1s) {
        ask(one_, {10000, 10}, 0, true);
        ask(two_, {10000, 10});
    }
    EXPECT_EQ(share(ask(two_, {10000, 10})), (Amount{10000, 10}));
    // Healed: the empty grant arrives, and with the next request it is one of two again.
    ask(one_, {10000, 10});
    EXPECT_EQ(share(ask(one_, {10000, 10})), Amount{}) << "the other one has it all";
    ask(two_, {10000, 10});
    ask(two_, {10000, 10});
    EXPECT_EQ(share(ask(one_, {10000, 10})), (Amount{5000, 5}));
}

// So that all together ask no more than 200 times a second out of turn, whatever they want.
TEST_F(AuthorityTest, TheMoreThereAreTheLongerTheGap) {
    begin(terms_of({rate({10000, 10})}, 300));
    EXPECT_EQ(ask(one_, {10000, 10}).gap, 5ms);
    for (int i = 0; i < 299; ++i) {
        Peer peer{"p" + std::to_string(i)};
        ask(peer, {10000, 10});
    }
    EXPECT_EQ(ask(one_, {10000, 10}).gap, 1500ms);
    now_ += at_authority(term, 0.001);
    EXPECT_EQ(ask(one_, {10000, 10}).gap, 5ms) << "the others are heard no more";
}

TEST_F(AuthorityTest, ALeaseThatIsNotRenewedCountsUntilItsEnd) {
    begin(terms_of({rate({10000, 10})}));
    ask(one_, {10000, 10});
    now_ += at_authority(term, 0.001) - 1us;
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{});
    now_ += 1us;
    EXPECT_EQ(share(ask(two_, {10000, 10})), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, PlacesOfOneThatIsSilentCountUntilItsAttemptsMustHaveEnded) {
    begin(terms_of({places(4)}));
    ask(one_, {0, 4});
    const Time held = now_ + at_authority(term, 0.001) + at_authority(10s, 0.001);
    while (now_ + 1s < held) {
        now_ += 1s;
        ASSERT_EQ(share(ask(two_, {0, 4})), Amount{}) << (held - now_).count() << " us before";
    }
    now_ = held;
    EXPECT_EQ(share(ask(two_, {0, 4})).size, 4);
}

TEST_F(AuthorityTest, PlacesInUseCountBeyondAShareThatShrank) {
    begin(terms_of({places(4)}));
    ask(one_, {0, 4});
    ask(two_, {0, 4});
    ask(one_, {0, 4}, 4);  // half of them from now on
    ask(one_, {0, 4}, 4);  // told
    EXPECT_EQ(share(ask(two_, {0, 4})).size, 0) << "four are still in use";
    ask(one_, {0, 4}, 2);
    EXPECT_EQ(share(ask(two_, {0, 4})).size, 2);
}

TEST_F(AuthorityTest, OldAndDoubledRequestsChangeNothing) {
    begin(terms_of({places(4)}));
    const LeaseRequest early = one_.ask(authority_->terms(), now_, {0, 4}, 0);
    ask(one_, {0, 4}, 3);
    ask(one_, {0, 4}, 3);
    const Amount before = counted();
    EXPECT_EQ(authority_->on_request(early, now_, changes_).verdict, Verdict::waiting);
    EXPECT_EQ(counted(), before);
}

TEST_F(AuthorityTest, AfterAStartThatKnowsLessNothingIsGrantedForATerm) {
    struct Row {
        const char* what;
        bool current;
        Micros longest;
        Micros waits, places_wait;
    };
    const Row rows[] = {
        {"a store that is current", true, {}, 0s, 0s},
        {"an empty one or a copy", false, {}, at_authority(term, 0.001), at_authority(10s, 0.001)},
        {"leases were longer before", false, 7s, at_authority(7s, 0.001), at_authority(10s, 0.001)},
    };
    for (const Row& row : rows) {
        SCOPED_TRACE(row.what);
        now_ = 1000s;
        begin(terms_of({rate({10000, 10}), places(4)}), {5, row.current, {}, row.longest});
        Peer peer{"n1"};
        const Time rates_from = now_ + row.waits, places_from = rates_from + row.places_wait;
        for (; now_ < rates_from; now_ += 500ms) ASSERT_EQ(ask(peer, {10000, 10}).verdict, Verdict::waiting);
        LeaseReply reply = ask(peer, {10000, 10});
        ASSERT_EQ(reply.verdict, Verdict::granted);
        for (; now_ < places_from; now_ += 500ms) {
            reply = ask(peer, {10000, 10});
            ASSERT_EQ(reply.grants.size(), 1U) << "no places yet";
        }
        reply = ask(peer, {10000, 10});
        ASSERT_EQ(reply.grants.size(), 2U);
        EXPECT_EQ(reply.grants[1].share.size, 4);
    }
}

TEST_F(AuthorityTest, ItsRecordsCountAfterAStart) {
    begin(terms_of({rate({10000, 10}), places(4)}));
    ask(one_, {10000, 10}, 3);
    std::vector<Record> records;
    for (const Change& change : changes_) {
        if (change.record) records = {*change.record};
    }
    ASSERT_EQ(records.size(), 1U);
    begin(terms_of({rate({10000, 10}), places(4)}), {6, true, records, {}});
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{}) << "granted before the start";
    now_ += at_authority(term, 0.001);
    const auto reply = ask(two_, {10000, 10});
    EXPECT_EQ(share(reply), (Amount{10000, 10}));
    EXPECT_EQ(reply.grants[1].share.size, 0) << "its attempts may still run";
}

TEST_F(AuthorityTest, TwoAuthorities) {
    begin(terms_of({rate({10000, 10})}));
    ask(one_, {10000, 10});
    // The older of the two hears of a later epoch, and grants nothing from then on.
    Peer other{"n9"};
    other.taken = {9, 1};
    EXPECT_EQ(ask(other, {10000, 10}).verdict, Verdict::stepped_down);
    EXPECT_EQ(ask(two_, {10000, 10}).verdict, Verdict::stepped_down);
    // One that waits after its start, with an empty store and a clock that went back, goes above it.
    begin(terms_of({rate({10000, 10})}), {5, false, {}, {}});
    EXPECT_EQ(ask(other, {10000, 10}).verdict, Verdict::waiting);
    EXPECT_EQ(authority_->epoch(), 10U);
    EXPECT_EQ(authority_->waits_until(), now_ + at_authority(term, 0.001));
}

TEST_F(AuthorityTest, LeasesOfAnOlderAuthorityCountUntilTheyEnd) {
    begin(terms_of({rate({10000, 10})}));
    one_.taken = {3, 77};
    one_.leased = {8000, 8};
    ask(one_, {10000, 10}, 0, true);
    // What it has now is the most of the two until it tells that it took this one's.
    EXPECT_LE(share(ask(two_, {10000, 10})).rate, 2000);
    now_ += at_authority(term, 0.001);
    EXPECT_EQ(share(ask(two_, {10000, 10})).rate, 10000);
}

TEST_F(AuthorityTest, ReservesAreSetAsideForAllThatAreExpected) {
    begin(terms_of({rate({10000, 10}, {1000, 1})}, 3));
    EXPECT_EQ(share(ask(one_, {10000, 10})), (Amount{7000, 7}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, ANameUsedTwice) {
    begin(terms_of({rate({10000, 10}, {1000, 1})}, 2));
    ask(one_, {10000, 10});
    Peer twin{"n1", "b"};
    EXPECT_EQ(ask(twin, {10000, 10}).verdict, Verdict::granted)
        << "a start under the name: the later one keeps it";
    EXPECT_EQ(ask(one_, {10000, 10}).verdict, Verdict::name_taken);
    const auto view = authority_->view(now_);
    EXPECT_EQ(view.sums[0].reserved, (Amount{3000, 3})) << "each of the two may use that reserve";
    now_ += at_authority(term, 0.001) + 1s;
    EXPECT_EQ(ask(one_, {10000, 10}).verdict, Verdict::granted) << "the other one has been silent for a term";
}

TEST_F(AuthorityTest, AClockThatIsOffBeyondTheBoundGetsNoLease) {
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
        Peer peer{"n1"};
        bool found = false;
        int refused = 0;
        for (int i = 0; i < 60; ++i, now_ += 1s) {
            auto request = peer.ask(authority_->terms(), now_, {1000, 1});
            request.clock = Time(static_cast<std::int64_t>(static_cast<double>(now_.count()) * row.rate));
            const auto reply = authority_->on_request(request, now_, changes_);
            peer.take(reply);
            found = found || reply.verdict == Verdict::clock_off;
            refused += reply.verdict == Verdict::clock_off;
        }
        EXPECT_EQ(found, row.found);
        if (row.found) {
            EXPECT_GE(refused, 30) << "no lease for as long as it is off";
        }
    }
}

TEST_F(AuthorityTest, TheWholeCutToATenth) {
    begin(terms_of({rate({100000, 100})}));
    ask(one_, {100000, 100});
    authority_->change(terms_of({rate({10000, 10})}), now_);
    EXPECT_EQ(share(ask(two_, {100000, 100})), Amount{});
    EXPECT_EQ(share(ask(one_, {100000, 100})), (Amount{5000, 5}));
    ask(one_, {100000, 100});
    EXPECT_EQ(share(ask(two_, {100000, 100})), (Amount{5000, 5}));
    EXPECT_EQ(counted(), (Amount{10000, 10}));
}

TEST_F(AuthorityTest, ABudgetThatIsGoneCountsAndComesBackWithIt) {
    begin(terms_of({rate({10000, 10})}));
    ask(one_, {10000, 10});
    authority_->change(terms_of({}), now_);
    authority_->change(terms_of({rate({10000, 10})}), now_);
    EXPECT_EQ(share(ask(two_, {10000, 10})), Amount{}) << "the first one has it all";
}

TEST_F(AuthorityTest, WhoLeavesGivesAllBackButPlacesInUse) {
    begin(terms_of({places(4)}));
    ask(one_, {0, 4}, 1);
    LeaseRequest request = one_.ask(authority_->terms(), now_, {}, 1);
    request.leaving = true;
    EXPECT_EQ(authority_->on_request(request, now_, changes_).verdict, Verdict::granted);
    EXPECT_EQ(share(ask(two_, {0, 4})).size, 3);
}

TEST_F(AuthorityTest, WhoIsForgottenLeavesNoRecord) {
    begin(terms_of({rate({10000, 10})}));
    for (int i = 0; i < 50; ++i, now_ += 1s) {
        Peer brief{"n" + std::to_string(i)};
        ask(brief, {1000, 1});
    }
    now_ += 60s;
    ask(one_, {1000, 1});
    std::map<std::string, bool> there;
    for (const Change& change : changes_) there[change.holder] = change.record.has_value();
    EXPECT_EQ(std::count_if(there.begin(), there.end(), [](const auto& each) { return each.second; }), 1);
}

TEST_F(AuthorityTest, NoMoreProcessesThanItMayKnow) {
    Terms terms = terms_of({rate({10000, 10})});
    terms.holders_most = 2;
    begin(terms);
    ask(one_, {});
    ask(two_, {});
    EXPECT_EQ(ask(three_, {}).verdict, Verdict::too_many);
}

TEST_F(AuthorityTest, SevenAmongThirtyGoRound) {
    begin(terms_of({rate({7000, 7})}, 30));
    std::vector<Peer> peers;
    for (int i = 0; i < 30; ++i) peers.push_back({"n" + std::to_string(i)});
    std::vector<int> had(30, 0);
    for (int round = 0; round < 60; ++round, now_ += 1s) {
        for (std::size_t i = 0; i < peers.size(); ++i) had[i] += share(ask(peers[i], {1000, 1})).size > 0;
        ASSERT_TRUE(counted().within({7000, 7}));
    }
    for (std::size_t i = 0; i < had.size(); ++i) EXPECT_GE(had[i], 3) << "holder " << i;
}

// Everyone tells the truth but in any order, replies get lost: what counts never exceeds the whole.
TEST_F(AuthorityTest, WhatCountsNeverExceedsTheWhole) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        test::Drawn random(seed);
        now_ = 1000s;
        const Amount whole{static_cast<std::int64_t>(5000 + random.below(100000)),
                           static_cast<std::int64_t>(5 + random.below(100))};
        begin(terms_of({rate(whole, {500, 1})}, 5));
        std::vector<Peer> peers;
        for (int i = 0; i < 5; ++i) peers.push_back({"n" + std::to_string(i)});
        for (int step = 0; step < 300; ++step) {
            now_ += Micros(random.below(400'000));
            Peer& peer = peers[random.below(peers.size())];
            ask(peer,
                {static_cast<std::int64_t>(random.below(60000)), static_cast<std::int64_t>(random.below(60))},
                0, random.once_in(4));
            ASSERT_TRUE(counted().within(whole)) << "step " << step;
        }
    }
}

TEST(Terms, ThatContradictThemselvesAreRefusedByName) {
    struct Row {
        const char* why;
        std::vector<Budget> budgets;
    };
    const Row rows[] = {
        {"r: named twice", {rate({1000, 1}), rate({1000, 1})}},
        {"r: the reserves are more than the whole", {rate({1000, 1}, {600, 0})}},
        {"p: the reserves are more than the whole", {places(3, 2)}},
        {"r: a whole of less than one permit", {rate({1000, 0})}},
    };
    for (const Row& row : rows) {
        try {
            check(terms_of(row.budgets));
            ADD_FAILURE() << row.why << ": taken";
        } catch (const std::invalid_argument& error) {
            EXPECT_NE(std::string(error.what()).find(row.why), std::string::npos) << error.what();
        }
    }
}

}  // namespace
}  // namespace flaxdoor::budget
