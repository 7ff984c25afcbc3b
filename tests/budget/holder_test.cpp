// Tests which replies a holder accepts, when its lease starts and ends, and when it sends requests.
#include "budget/holder.h"

#include <gtest/gtest.h>

namespace flaxdoor::budget {
namespace {

using namespace std::chrono_literals;

BudgetConfig terms_of(Amount reserve = {}) {
    BudgetConfig terms;
    terms.budgets = {{"r", Counts::requests, {}, {}, {}, {10000, 10}, reserve}};
    terms.lease_term = 3s;
    terms.max_clock_drift = 0.01;
    terms.max_attempt_duration = 5s;
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

TEST(Holder, LeaseCountsFromItsRequest) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    const auto request = holder.request(10s);
    holder.on_reply(granted(request, 1, 1, {10000, 10}), 12s);
    EXPECT_EQ(holder.allowance(0).leased_until(), 10s + lease_term_at_holder(3s, 0.01));
    EXPECT_EQ(holder.allowance(0).leased(12900ms), (Amount{10000, 10}));
    EXPECT_EQ(holder.allowance(0).leased(13s), Amount{});
    EXPECT_FALSE(holder.has_lease(13s));
}

TEST(Holder, AcceptsOnlyNewerRepliesInTime) {
    struct Row {
        const char* what;
        std::uint64_t epoch, seq;
        Time at;
        bool accepted;
    };
    const Row rows[] = {
        {"a later grant", 5, 8, 11s, true},          {"a duplicate", 5, 7, 11s, false},
        {"an earlier grant", 5, 6, 11s, false},      {"from an older authority", 4, 99, 11s, false},
        {"from a newer authority", 6, 1, 11s, true}, {"after the term", 5, 8, 13s, false},
    };
    for (const Row& row : rows) {
        Holder holder({terms_of(), "n1", "a", 1}, 0s);
        const auto first = holder.request(9s);
        holder.on_reply(granted(first, 5, 7, {2000, 2}), 9s);
        const auto second = holder.request(10s);
        holder.on_reply(granted(second, row.epoch, row.seq, {4000, 4}), row.at);
        EXPECT_EQ(holder.allowance(0).leased(11s) == (Amount{4000, 4}) &&
                      holder.accepted_fence() != (FencingToken{5, 7}),
                  row.accepted)
            << row.what;
    }
}

// A coordinator of an older epoch may still answer after a newer one has: its grant is in force nowhere, and what it
// says of names is out of date.
TEST(Holder, RefusesRepliesOfAnOlderEpochThanItHasSeen) {
    Holder holder({terms_of({1000, 1}), "n1", "a", 1}, 0s);
    holder.on_reply(granted(holder.request(9s), 5, 7, {2000, 2}), 9s);
    LeaseReply newer = granted(holder.request(10s), 6, 0, {});
    newer.verdict = Verdict::waiting;
    holder.on_reply(newer, 10s);
    holder.on_reply(granted(holder.request(10s), 5, 8, {4000, 4}), 10s);
    EXPECT_EQ(holder.accepted_fence(), (FencingToken{5, 7}));
    EXPECT_EQ(holder.allowance(0).leased(11s), (Amount{2000, 2}));
    LeaseReply refusal = granted(holder.request(10s), 5, 9, {});
    refusal.verdict = Verdict::name_taken;
    holder.on_reply(refusal, 10s);
    EXPECT_EQ(holder.allowance(0).static_reserve(), (Amount{1000, 1}));
}

TEST(Holder, IgnoresRepliesToUnknownRequests) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    LeaseRequest never_sent;
    never_sent.number = 99;
    holder.on_reply(granted(never_sent, 1, 1, {4000, 4}), 1s);
    EXPECT_EQ(holder.accepted_fence(), FencingToken{});
    const auto first = holder.request(1s);
    for (int i = 0; i < 8; ++i) (void)holder.request(1s);
    holder.on_reply(granted(first, 1, 1, {4000, 4}), 1s);
    EXPECT_EQ(holder.accepted_fence(), FencingToken{});
}

TEST(Holder, ConcurrencyReservesWaitForAttemptsOfAnEarlierProcess) {
    BudgetConfig terms = terms_of({1000, 1});
    terms.budgets.push_back({"p", Counts::concurrency, {}, {}, {}, {0, 10}, {0, 2}});
    Holder holder({terms, "n1", "a", 1}, 100s);
    EXPECT_EQ(holder.allowance(0).static_reserve(), (Amount{1000, 1}));
    EXPECT_EQ(holder.request(104s).needs[1].reserve, Amount{}) << "reported as in force";
    EXPECT_EQ(holder.request(100s + lengthened_by_drift(5s, 0.01)).needs[1].reserve, (Amount{0, 2}));
}

TEST(Holder, TakenNameWithdrawsTheReserveUntilALeaseIsGranted) {
    Holder holder({terms_of({1000, 1}), "n1", "a", 1}, 0s);
    LeaseReply refusal = granted(holder.request(1s), 1, 0, {});
    refusal.verdict = Verdict::name_taken;
    holder.on_reply(refusal, 1s);
    EXPECT_EQ(holder.allowance(0).in_force(1s), Amount{});
    EXPECT_EQ(holder.request(2s).needs[0].reserve, Amount{});
    holder.on_reply(granted(holder.request(3s), 1, 1, {2000, 2}), 3s);
    EXPECT_EQ(holder.request(4s).needs[0].reserve, (Amount{1000, 1}));
}

TEST(Holder, SendsThreeRequestsATermAndEarlierOnDemand) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    EXPECT_EQ(holder.next_request(), Time{0}) << "immediately after the start";
    auto request = holder.request(10s);
    EXPECT_LE(holder.next_request(), 11s);
    EXPECT_GE(holder.next_request(), 10s + 900ms);
    holder.on_reply(granted(request, 1, 1, {4000, 4}), 10s);
    holder.on_refusal(0, 10010ms);
    EXPECT_EQ(holder.next_request(), 10s + 75ms) << "not before the least interval";
    request = holder.request(10100ms);
    holder.on_reply(granted(request, 1, 2, {1000, 1}), 10100ms);
    EXPECT_EQ(holder.next_request(), 10100ms + 75ms) << "to report that it has released a part";
    // After failures the interval doubles, whatever the demand.
    request = holder.request(12s);
    Time last = 12s;
    for (int i = 0; i < 10; ++i) {
        holder.on_no_reply(last);
        holder.on_refusal(0, last);
        EXPECT_GT(holder.next_request(), last);
        EXPECT_LE(holder.next_request(), last + 1s);
        last = holder.next_request();
        (void)holder.request(last);
    }
    EXPECT_GE(last, 12s + 5s);
}

TEST(Holder, ObservesTheIntervalOfTheReply) {
    const struct { Micros gap, observed; } rows[] = {{0s, 75ms}, {60ms, 75ms}, {200ms, 200ms}, {5s, 900ms}};
    for (const auto& row : rows) {
        Holder holder({terms_of(), "n1", "a", 1}, 0s);
        LeaseReply reply = granted(holder.request(10s), 1, 1, {1000, 1});
        reply.min_request_interval = row.gap;
        holder.on_reply(reply, 10s);
        holder.on_refusal(0, 10s);
        EXPECT_GE(holder.next_request(), 10s + row.observed) << row.gap.count();
        EXPECT_LE(holder.next_request(), 10s + std::max(row.observed + 1us, row.gap)) << row.gap.count();
    }
}

// The authority already divides by the demand reported to it. Without this rule, 300 balancers under constant
// refusals would send unscheduled requests constantly.
TEST(Holder, SendsAnEarlierRequestOnlyForNewDemand) {
    struct Row {
        const char* what;
        Counts counts;
        int wanted;    // permits requested in the second before its lease request
        Amount share;  // granted by the reply
        int refused;   // permits requested after that
        bool sooner;
        std::int64_t burst = 10;  // size of the whole
    };
    const Row rows[] = {
        {"no demand before", Counts::requests, 0, {1000, 1}, 1, true},
        {"less than the reported demand was granted", Counts::requests, 5, {1000, 1}, 50, false},
        {"the reported demand was granted, and random variation empties the bucket",
         Counts::requests,
         5,
         {6000, 6},
         2,
         false},
        {"the reported demand was granted, and demand rises far above it",
         Counts::requests,
         2,
         {6000, 6},
         12,
         true},
        {"the whole is already requested", Counts::requests, 50, {10000, 10}, 50, false},
        {"demand rises, and the whole has a depth of one", Counts::requests, 2, {6000, 1}, 12, true, 1},
        {"concurrency, no demand before", Counts::concurrency, 0, {0, 1}, 2, true},
        {"concurrency, less than the reported demand was granted", Counts::concurrency, 3, {0, 2}, 9, false},
        {"concurrency, the reported demand was granted and one more is wanted",
         Counts::concurrency,
         2,
         {0, 2},
         3,
         true},
    };
    for (const Row& row : rows) {
        SCOPED_TRACE(row.what);
        BudgetConfig terms = terms_of();
        const bool is_concurrency = row.counts == Counts::concurrency;
        terms.budgets[0].counts = row.counts;
        terms.budgets[0].whole = {is_concurrency ? 0 : 10000, row.burst};
        Holder holder({terms, "n1", "a", 1}, 0s);
        (void)holder.request(9s);
        for (int i = 0; i < row.wanted; ++i) (void)holder.allowance(0).reserve(9500ms);
        holder.on_reply(granted(holder.request(10s), 1, 1, row.share), 10s);
        const Time scheduled = holder.next_request();
        for (int i = 0; i < row.refused; ++i) {
            if (!holder.allowance(0).reserve(10010ms)) holder.on_refusal(0, 10010ms);
        }
        EXPECT_EQ(holder.next_request() < scheduled, row.sooner);
    }
}

TEST(Holder, ReportsDemandWithHeadroom) {
    Holder holder({terms_of(), "n1", "a", 1}, 0s);
    (void)holder.request(0s);
    for (int i = 0; i < 4; ++i) (void)holder.allowance(0).reserve(500ms);
    const Amount wants = holder.request(1s).needs[0].wanted;
    EXPECT_NEAR(static_cast<double>(wants.rate), 4200, 1) << "four a second and a twentieth more";
    EXPECT_EQ(wants.size, 5);
    for (int i = 0; i < 1000; ++i) (void)holder.allowance(0).reserve(1500ms);
    EXPECT_EQ(holder.request(2s).needs[0].wanted, (Amount{10000, 10})) << "at most the whole";
}

// A holder under demand sends a request every fortieth of a term. A single call in such an interval must not
// count as a rate, and an interval without calls must not count as no demand for concurrency permits.
TEST(Holder, ShortIntervalsNeitherRaiseTheRateNorDropConcurrencyDemand) {
    BudgetConfig terms = terms_of();
    terms.budgets[0].whole = {1'000'000, 1000};
    terms.budgets.push_back({"p", Counts::concurrency, {}, {}, {}, {0, 10}, {}});
    Holder holder({terms, "n1", "a", 1}, 0s);
    (void)holder.request(0s);
    for (int i = 0; i < 10; ++i) (void)holder.allowance(0).reserve(500ms);
    ASSERT_NEAR(static_cast<double>(holder.request(1s).needs[0].wanted.rate), 10'500, 1);
    (void)holder.allowance(0).reserve(1010ms);
    (void)holder.allowance(1).reserve(1010ms);
    const LeaseRequest after_one = holder.request(1010ms);
    EXPECT_LT(after_one.needs[0].wanted.rate, 12'400)
        << "one call in ten milliseconds is not a rate of a hundred a second";
    EXPECT_EQ(after_one.needs[1].wanted.size, 1);
    EXPECT_EQ(holder.request(1100ms).needs[1].wanted.size, 1) << "no demand within this interval";
    EXPECT_EQ(holder.request(4100ms).needs[1].wanted.size, 1) << "peak of the previous term";
    EXPECT_EQ(holder.request(7200ms).needs[1].wanted.size, 0);
    for (int i = 0; i < 50; ++i) (void)holder.allowance(0).reserve(7210ms);
    EXPECT_GT(holder.request(7220ms).needs[0].wanted.rate, 500'000) << "a burst counts at once";
}

TEST(Holder, LeavingReleasesEverything) {
    Holder holder({terms_of({1000, 1}), "n1", "a", 1}, 0s);
    const auto request = holder.request(1s);
    holder.on_reply(granted(request, 1, 1, {4000, 4}), 1s);
    const auto late = holder.request(2s);
    const auto last = holder.leave(2s);
    EXPECT_TRUE(last.leaving);
    holder.on_reply(granted(late, 1, 2, {4000, 4}), 2s);
    EXPECT_EQ(holder.allowance(0).in_force(2s), Amount{});
}

}  // namespace
}  // namespace flaxdoor::budget
