// Which replies a holder takes, from when its lease counts, and when it asks.
#include "budget/holder.h"

#include <gtest/gtest.h>

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

Terms terms_of(Amount reserve = {}) {
    Terms terms;
    terms.budgets = {{"r", Counts::requests, {}, {}, {}, {10000, 10}, reserve}};
    terms.term = 3s;
    terms.drift = 0.01;
    terms.longest = 5s;
    return terms;
}

LeaseReply granted(const LeaseRequest& request, std::uint64_t epoch, std::uint64_t seq, Amount share) {
    LeaseReply reply;
    reply.number = request.number;
    reply.epoch = epoch;
    reply.seq = seq;
    reply.term = 3s;
    reply.grants = {{"r", share}};
    return reply;
}

TEST(Holder, ALeaseCountsFromWhenItWasAskedFor) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    const auto request = holder.request(10s);
    holder.on_reply(granted(request, 1, 1, {10000, 10}), 12s);
    EXPECT_EQ(holder.at(0).leased_until(), 10s + at_holder(3s, 0.01));
    EXPECT_EQ(holder.at(0).leased(12900ms), (Amount{10000, 10}));
    EXPECT_EQ(holder.at(0).leased(13s), Amount{});
    EXPECT_FALSE(holder.supervised(13s));
}

TEST(Holder, TakesOnlyWhatIsNewerAndInTime) {
    struct Row {
        const char* what;
        std::uint64_t epoch, seq;
        Time at;
        bool taken;
    };
    const Row rows[] = {
        {"a later one", 5, 8, 11s, true},          {"the same again", 5, 7, 11s, false},
        {"an earlier one", 5, 6, 11s, false},      {"of an older authority", 4, 99, 11s, false},
        {"of a later authority", 6, 1, 11s, true}, {"later than a term", 5, 8, 13s, false},
    };
    for (const Row& row : rows) {
        Holder holder({terms_of(), "n1", "a", 1}, 0s);
        const auto first = holder.request(9s);
        holder.on_reply(granted(first, 5, 7, {2000, 2}), 9s);
        const auto second = holder.request(10s);
        holder.on_reply(granted(second, row.epoch, row.seq, {4000, 4}), row.at);
        EXPECT_EQ(holder.at(0).leased(11s) == (Amount{4000, 4}) && holder.taken() != (Fence{5, 7}), row.taken)
            << row.what;
    }
}

TEST(Holder, ARequestThatIsNotRememberedBringsNothing) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    LeaseRequest never;
    never.number = 99;
    holder.on_reply(granted(never, 1, 1, {4000, 4}), 1s);
    EXPECT_EQ(holder.taken(), Fence{});
    const auto first = holder.request(1s);
    for (int i = 0; i < 8; ++i) (void)holder.request(1s);
    holder.on_reply(granted(first, 1, 1, {4000, 4}), 1s);
    EXPECT_EQ(holder.taken(), Fence{});
}

TEST(Holder, ReservesOfPlacesWaitForWhatAProcessBeforeMayHaveLeftRunning) {
    Terms terms = terms_of({1000, 1});
    terms.budgets.push_back({"p", Counts::concurrency, {}, {}, {}, {0, 10}, {0, 2}});
    Holder holder({terms, "n1", "a", 1}, 100s);
    EXPECT_EQ(holder.at(0).reserve(), (Amount{1000, 1}));
    EXPECT_EQ(holder.request(104s).needs[1].reserve, Amount{}) << "told as what is in force";
    EXPECT_EQ(holder.request(100s + at_authority(5s, 0.01)).needs[1].reserve, (Amount{0, 2}));
}

TEST(Holder, ANameThatIsTakenCostsTheReserveUntilALeaseComes) {
    Holder holder({terms_of({1000, 1}), "n1", "a", 1}, 0s);
    LeaseReply taken = granted(holder.request(1s), 1, 0, {});
    taken.verdict = Verdict::name_taken;
    holder.on_reply(taken, 1s);
    EXPECT_EQ(holder.at(0).in_force(1s), Amount{});
    EXPECT_EQ(holder.request(2s).needs[0].reserve, Amount{});
    holder.on_reply(granted(holder.request(3s), 1, 1, {2000, 2}), 3s);
    EXPECT_EQ(holder.request(4s).needs[0].reserve, (Amount{1000, 1}));
}

TEST(Holder, AsksThreeTimesATermAndSoonerForWant) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    EXPECT_EQ(holder.next_request(), Time{0}) << "at once at its start";
    auto request = holder.request(10s);
    EXPECT_LE(holder.next_request(), 11s);
    EXPECT_GE(holder.next_request(), 10s + 900ms);
    holder.on_reply(granted(request, 1, 1, {4000, 4}), 10s);
    holder.on_want(0, 10010ms);
    EXPECT_EQ(holder.next_request(), 10s + 75ms) << "but not at once again";
    request = holder.request(10100ms);
    holder.on_reply(granted(request, 1, 2, {1000, 1}), 10100ms);
    EXPECT_EQ(holder.next_request(), 10100ms + 75ms) << "to tell that it has let go of a part";
    // Failures: gaps that double, whatever is wanted.
    request = holder.request(12s);
    Time last = 12s;
    for (int i = 0; i < 10; ++i) {
        holder.on_no_reply(last);
        holder.on_want(0, last);
        EXPECT_GT(holder.next_request(), last);
        EXPECT_LE(holder.next_request(), last + 1s);
        last = holder.next_request();
        (void)holder.request(last);
    }
    EXPECT_GE(last, 12s + 5s);
}

TEST(Holder, KeepsTheGapThatItIsTold) {
    const struct { Micros told, kept; } rows[] = {{0s, 75ms}, {60ms, 75ms}, {200ms, 200ms}, {5s, 900ms}};
    for (const auto& row : rows) {
        Holder holder({terms_of(), "n1", "a", 1}, 0s);
        LeaseReply reply = granted(holder.request(10s), 1, 1, {1000, 1});
        reply.gap = row.told;
        holder.on_reply(reply, 10s);
        holder.on_want(0, 10s);
        EXPECT_GE(holder.next_request(), 10s + row.kept) << row.told.count();
        EXPECT_LE(holder.next_request(), 10s + std::max(row.kept + 1us, row.told)) << row.told.count();
    }
}

// What the authority knows already it divides by: 300 balancers that are refused all day would else ask all day.
TEST(Holder, AsksSoonerOnlyWithNews) {
    struct Row {
        const char* what;
        Counts counts;
        int wanted;    // in the second before its request
        Amount share;  // granted then
        int refused;   // asked for after that
        bool sooner;
        std::int64_t burst = 10;  // of the whole
    };
    const Row rows[] = {
        {"nothing was wanted", Counts::requests, 0, {1000, 1}, 1, true},
        {"it has less than it told", Counts::requests, 5, {1000, 1}, 50, false},
        {"as much, and chance empties its bucket", Counts::requests, 5, {6000, 6}, 2, false},
        {"as much, and far more is wanted than before", Counts::requests, 2, {6000, 6}, 12, true},
        {"it has told that it wants all", Counts::requests, 50, {10000, 10}, 50, false},
        {"the same where the whole saves up one", Counts::requests, 2, {6000, 1}, 12, true, 1},
        {"no places were wanted", Counts::concurrency, 0, {0, 1}, 2, true},
        {"fewer places than it told", Counts::concurrency, 3, {0, 2}, 9, false},
        {"as many, and one more is wanted", Counts::concurrency, 2, {0, 2}, 3, true},
    };
    for (const Row& row : rows) {
        SCOPED_TRACE(row.what);
        Terms terms = terms_of();
        const bool places = row.counts == Counts::concurrency;
        terms.budgets[0].counts = row.counts;
        terms.budgets[0].whole = {places ? 0 : 10000, row.burst};
        Holder holder({terms, "n1", "a", 1}, 0s);
        (void)holder.request(9s);
        for (int i = 0; i < row.wanted; ++i) (void)holder.at(0).set_aside(9500ms);
        holder.on_reply(granted(holder.request(10s), 1, 1, row.share), 10s);
        const Time usual = holder.next_request();
        for (int i = 0; i < row.refused; ++i) {
            if (!holder.at(0).set_aside(10010ms)) holder.on_want(0, 10010ms);
        }
        EXPECT_EQ(holder.next_request() < usual, row.sooner);
    }
}

TEST(Holder, TellsWhatItCouldUse) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    (void)holder.request(0s);
    for (int i = 0; i < 4; ++i) (void)holder.at(0).set_aside(500ms);
    const Amount wants = holder.request(1s).needs[0].wants;
    EXPECT_NEAR(static_cast<double>(wants.rate), 4200, 1) << "four in a second, and a twentieth more";
    EXPECT_EQ(wants.size, 5);
    for (int i = 0; i < 1000; ++i) (void)holder.at(0).set_aside(1500ms);
    EXPECT_EQ(holder.request(2s).needs[0].wants, (Amount{10000, 10})) << "no more than there is";
}

// Who wants asks each fortieth of a term: what came in one such gap must not count as a rate, nor none as no want.
TEST(Holder, ShortGapsTellNoRateAndNoWantOfPlaces) {
    Terms terms = terms_of();
    terms.budgets[0].whole = {1'000'000, 1000};
    terms.budgets.push_back({"p", Counts::concurrency, {}, {}, {}, {0, 10}, {}});
    Holder holder({terms, "n1", "a", 1}, 0s);
    (void)holder.request(0s);
    for (int i = 0; i < 10; ++i) (void)holder.at(0).set_aside(500ms);
    ASSERT_NEAR(static_cast<double>(holder.request(1s).needs[0].wants.rate), 10'500, 1);
    (void)holder.at(0).set_aside(1010ms);
    (void)holder.at(1).set_aside(1010ms);
    const LeaseRequest one = holder.request(1010ms);
    EXPECT_LT(one.needs[0].wants.rate, 12'400) << "one in ten milliseconds is no hundred a second";
    EXPECT_EQ(one.needs[1].wants.size, 1);
    EXPECT_EQ(holder.request(1100ms).needs[1].wants.size, 1) << "not again within this gap";
    EXPECT_EQ(holder.request(4100ms).needs[1].wants.size, 1) << "of the term before";
    EXPECT_EQ(holder.request(7200ms).needs[1].wants.size, 0);
    for (int i = 0; i < 50; ++i) (void)holder.at(0).set_aside(7210ms);
    EXPECT_GT(holder.request(7220ms).needs[0].wants.rate, 500'000) << "but a burst counts at once";
}

TEST(Holder, WhoLeavesHasNothingLeft) {
    Holder holder({terms_of({1000, 1}), "n1", "a", 1}, 0s);
    const auto request = holder.request(1s);
    holder.on_reply(granted(request, 1, 1, {4000, 4}), 1s);
    const auto late = holder.request(2s);
    const auto last = holder.leave(2s);
    EXPECT_TRUE(last.leaving);
    holder.on_reply(granted(late, 1, 2, {4000, 4}), 2s);
    EXPECT_EQ(holder.at(0).in_force(2s), Amount{});
}

}  // namespace
}  // namespace flaxdoor::budget
