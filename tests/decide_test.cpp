// Tests of the decision module's decisions, event by event. Where the code names a failure that it prevents,
// a test here fails without that code.
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <ostream>
#include <set>
#include <stdexcept>

#include "policy_rig.h"

namespace flaxdoor::test {
namespace {

// --- Invariants 1 and 2: one request and its final answer ---

constexpr auto plain = plain_settings;
Settings with(const std::function<void(Settings&)>& change) {
    Settings settings = plain_settings();
    change(settings);
    return settings;
}
Settings one_attempt() {
    return with([](Settings& settings) { settings.max_attempts = 1; });
}
Settings sequential_attempts() {
    return with([](Settings& settings) { settings.parallel_attempts = false; });
}
Settings no_late_worth() {
    return with([](Settings& settings) { settings.classes[unsafe].late_worth = 0; });
}
Settings short_window() {
    return with([](Settings& settings) { settings.classes[keyed_zone].window = ms(30); });
}  // leaves no time for a back-off

enum class Answered { not_by_balancer, refused, failed };

// A request, the outcome of its first attempt, and the expected state at its deadline.
struct Scenario {
    const char* name;
    int class_index;
    std::optional<Outcome> end;  // none: the attempt does not end
    std::size_t sends;
    Answered answered;
    Settings (*settings)() = plain;
    Settings (*changed_settings)() = nullptr;  // settings applied before the attempt ends
    Micros ends_after = ms(1);
    Micros timeout{};  // expected time-out of the attempt; zero: any
    Micros left = ms(1000);
};
std::ostream& operator<<(std::ostream& out, const Scenario& scenario) { return out << scenario.name; }

std::vector<Scenario> scenarios() {
    using enum Outcome;
    using enum Answered;
    return {
        {"UnknownClass", 77, {}, 0, failed},
        {"NoTimeIsLeft", safe, {}, 0, refused, plain, {}, {}, {}, ms(0)},
        {"Served", safe, ok, 1, not_by_balancer},
        {"ATimeoutAtTheDeadline", unsafe, timeout, 1, failed, plain, {}, ms(1000)},
        // A request that may have executed is neither retried nor refused.
        {"UnsafeError", unsafe, error, 1, failed},
        {"UnsafeTimeout", unsafe, timeout, 1, failed},
        {"UnsafeReset", unsafe, reset, 1, failed},
        {"UnsafeCancelled", unsafe, cancelled, 1, failed},
        // A request that was not executed is retried.
        {"UnsafeFull", unsafe, full, 2, not_by_balancer},
        {"UnsafeConnectFailed", unsafe, connect_failed, 2, not_by_balancer},
        {"UnsafeMoot", unsafe, inconclusive, 2, not_by_balancer},
        {"LastError", unsafe, error, 1, failed, one_attempt},
        {"LastTimeout", unsafe, timeout, 1, failed, one_attempt},
        {"LastReset", unsafe, reset, 1, failed, one_attempt},
        {"LastCancelled", unsafe, cancelled, 1, failed, one_attempt},
        {"LastFull", unsafe, full, 1, refused, one_attempt},
        {"LastConnectFailed", unsafe, connect_failed, 1, refused, one_attempt},
        {"LastMoot", unsafe, inconclusive, 1, refused, one_attempt},
        {"LastOfAZone", keyed_zone, error, 1, failed, one_attempt},
        {"LastOfAllUpstreams", keyed_all, error, 1, refused, one_attempt},
        {"KeyedIsNotSentAfterItsWindow", keyed_zone, error, 1, failed, short_window},
        {"TheWindowGrows", keyed_zone, error, 1, failed, short_window, plain_settings},
        {"TheWindowShrinks", keyed_zone, error, 1, failed, plain, short_window},
        {"NoCopyOfARunningUnsafeOne", unsafe, {}, 1, not_by_balancer, plain, {}, {}, ms(1000)},
        {"TheTimerEndsTheAttemptWhereNoCopyMayRun",
         safe,
         {},
         1,
         not_by_balancer,
         sequential_attempts,
         {},
         {},
         ms(80)},
        // A request whose late answer is worth nothing must not hold upstreams: it ends at the end of its
        // aim.
        {"LateIsWorthNothing", unsafe, timeout, 1, failed, no_late_worth, {}, ms(100), ms(100)},
        {"LateCounts", keyed_zone, {}, 1, not_by_balancer, no_late_worth, {}, {}, ms(1000)},
    };
}

class SingleRequest : public testing::TestWithParam<Scenario> {};

TEST_P(SingleRequest, EndsAsExpected) {
    const Scenario& scenario = GetParam();
    PolicyRig rig(scenario.settings());
    rig.fleet(3);
    const Time deadline = rig.now + scenario.left;
    const auto id = rig.request(scenario.class_index, scenario.left);
    if (scenario.timeout > Micros{0}) {
        ASSERT_EQ(rig.sink.submits.size(), 1u);
        EXPECT_EQ(rig.sink.submits[0].timeout, scenario.timeout);
    }
    if (scenario.changed_settings) rig.policy->on_settings(rig.now, scenario.changed_settings());
    rig.run(std::min(deadline, rig.now + scenario.ends_after));
    if (scenario.end) rig.end(id, 0, *scenario.end, scenario.ends_after);
    rig.run(deadline);
    EXPECT_EQ(rig.sink.sends(id), scenario.sends);
    EXPECT_EQ(rig.sink.refused.size(), scenario.answered == Answered::refused ? 1u : 0u);
    EXPECT_EQ(rig.sink.failed.size(), scenario.answered == Answered::failed ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(Decide, SingleRequest, testing::ValuesIn(scenarios()),
                         [](const auto& info) { return info.param.name; });

// --- Invariant 1: one final answer, in time ---

TEST(OneAnswer, NoUpstreamAtAll) {
    PolicyRig rig;
    const auto id = rig.request();
    rig.run(rig.now + ms(1000));
    EXPECT_EQ(rig.sink.sends(id), 0u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(OneAnswer, UpstreamAddedWhileARequestWaitsGetsIt) {
    PolicyRig rig;
    const auto id = rig.request();
    rig.fleet(2);
    rig.run(rig.now + ms(900));
    EXPECT_GE(rig.sink.sends(id), 1u);
}

TEST(OneAnswer, NothingIsSentAfterTheClientLeft) {
    PolicyRig rig;
    rig.fleet(3);
    const auto id = rig.request();
    rig.policy->on_client_gone(rig.now, id);
    ASSERT_EQ(rig.sink.cancelled.size(), 1u);  // its outcome no longer matters
    rig.end(id, 0, Outcome::cancelled);
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 0u);
}

TEST(OneAnswer, RequestDeadlineApplies) {
    PolicyRig rig;
    rig.fleet(3);
    const auto id = rig.request(safe, ms(60));
    rig.end(id, 0, Outcome::full, ms(1));
    rig.run(rig.now + ms(60));
    EXPECT_EQ(rig.sink.answers(id) + (rig.sink.sends(id) > 1 ? 1 : 0), 1u);
}

// --- Invariant 2: no effect twice ---

TEST(NoEffectTwice, KeyedStaysInItsGroup) {
    PolicyRig rig;
    rig.list(ListKind::full,
             {PolicyRig::entry(1), PolicyRig::entry(2), PolicyRig::entry(101, 1), PolicyRig::entry(102, 1)});
    for (int i = 0; i < 20; ++i) {
        const auto id = rig.request(keyed_zone);
        ASSERT_EQ(rig.sink.sends(id), 1u);
        const auto first = rig.sink.submits.back().upstream;
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(300));
        for (const auto& sent : rig.sink.submits) {
            if (sent.request == id) {
                EXPECT_EQ(sent.upstream > 100, first > 100);
            }
        }
        rig.policy->on_client_gone(rig.now, id);
        rig.end(id, 1, Outcome::cancelled);
        rig.run(rig.now + ms(20000));
    }
}

// An attempt executed in the zone where the upstream was then, wherever the upstream has moved since.
TEST(NoEffectTwice, MovedUpstreamLeavesItsAttemptsInTheOldGroup) {
    for (const int class_index : {static_cast<int>(keyed_zone), static_cast<int>(keyed_cell)}) {
        PolicyRig rig;
        rig.list(ListKind::full, {PolicyRig::entry(1, 0, UpstreamState::ready, Time{}, 7)});
        const auto id = rig.request(class_index);
        ASSERT_EQ(rig.sink.sends(id), 1u);
        rig.list(ListKind::full, {PolicyRig::entry(1, 1, UpstreamState::ready, Time{}, 8),
                                  PolicyRig::entry(2, 1, UpstreamState::ready, Time{}, 8)});
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(1000));
        EXPECT_EQ(rig.sink.sends(id), 1u) << "repeated where no upstream drops repeats";
    }
}

TEST(NoEffectTwice, KeyedCellDiffersFromZone) {
    PolicyRig rig;
    rig.list(ListKind::full, {PolicyRig::entry(1, 0, UpstreamState::ready, Time{}, 7),
                              PolicyRig::entry(2, 0, UpstreamState::ready, Time{}, 8)});
    const auto id = rig.request(keyed_cell);
    ASSERT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::error, ms(1));
    rig.run(rig.now + ms(1000));
    for (const auto& sent : rig.sink.submits) EXPECT_EQ(sent.upstream, rig.sink.submits[0].upstream);
    EXPECT_TRUE(rig.sink.refused.empty());
}

// --- Invariant 3: no new work for draining upstreams; invariant 5: idle connections are closed ---

TEST(Drains, NothingNewToADrainingGoneOrUnlistedUpstream) {
    PolicyRig rig;
    rig.fleet(4);
    rig.list(ListKind::delta,
             {PolicyRig::entry(1, 0, UpstreamState::draining), PolicyRig::entry(2, 0, UpstreamState::gone)});
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(1) + rig.sink.sends_to(2), 0u);
    rig.list(ListKind::full, {PolicyRig::entry(4)});
    const auto before = rig.sink.sends_to(3);
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(3), before);
    EXPECT_GE(rig.sink.sends_to(4), 40u);
}

// With the drain_close rule, idle connections are closed on the notice of the drain, and each connection that
// an outcome frees is closed with that outcome.
TEST(Drains, ConnectionsAreClosedWhenIdle) {
    Settings settings = plain_settings();
    settings.drain_close = ms(800);
    PolicyRig rig(settings);
    rig.fleet(1);
    rig.served();
    const auto in_flight = rig.wave(safe, 2);  // with one upstream, a hedge has nowhere to go
    ASSERT_EQ(in_flight.size(), 2u);
    EXPECT_TRUE(rig.sink.closed.empty());
    rig.drain({1});
    EXPECT_EQ(rig.sink.closed.size(), 1u);
    rig.now += ms(5);
    rig.end(in_flight[0], 0, Outcome::ok);
    EXPECT_EQ(rig.sink.closed.size(), 2u);
    rig.now += ms(5);
    rig.end(in_flight[1], 0, Outcome::error);
    EXPECT_EQ(rig.sink.closed, (std::vector<UpstreamId>{1, 1, 1}));
    // A repeated notice: no connection is left.
    rig.list(ListKind::full, {PolicyRig::entry(1, 0, UpstreamState::draining)});
    rig.list(ListKind::full, {});
    EXPECT_EQ(rig.sink.closed.size(), 3u);
}

TEST(Drains, NothingIsClosedIfNothingIsOpenOrNoRuleApplies) {
    for (const bool rule_applies : {false, true}) {
        Settings settings = plain_settings();
        settings.drain_close = rule_applies ? ms(800) : ms(0);
        PolicyRig rig(settings);
        rig.fleet(rule_applies ? 0 : 2);
        rig.served();
        rig.drain({1});
        EXPECT_TRUE(rig.sink.closed.empty());
    }
}

TEST(Drains, RetriesAvoidDrainingUpstreams) {
    PolicyRig rig;
    rig.fleet(3);
    const auto id = rig.request();
    const auto first = rig.sink.submits[0].upstream;
    rig.end(id, 0, Outcome::error, ms(1));
    for (UpstreamId upstream = 1; upstream <= 3; ++upstream) {
        if (upstream != first) rig.drain({upstream});
    }
    rig.run(rig.now + ms(1000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(UpstreamList, BalancersRequestItOneAfterAnotherAtStart) {
    Time last{};
    for (int rank = 0; rank < 3; ++rank) {
        Settings settings = plain_settings();
        settings.must_request_list = true;
        settings.ask_within = std::chrono::seconds(10);
        settings.balancers = 3;
        settings.rank = rank;
        PolicyRig rig(settings);
        rig.list(ListKind::cached, {PolicyRig::entry(1)});
        ASSERT_EQ(rig.sink.timers.size(), 2u);  // the first stall check and the list request
        if (rank > 0) {
            EXPECT_GT(rig.sink.timers[1].first, last);
        }
        last = rig.sink.timers[1].first;
        rig.run(rig.now + settings.ask_within);
        EXPECT_GE(rig.sink.watches, 1);
    }
}

// Three requests fit into the 6 s within which a balancer must act on a change that it could have received,
// however long service discovery was unavailable and whatever ask_within is.
TEST(UpstreamList, FailedRequestsAreRepeatedWithGrowingDelays) {
    for (const int within : {2, 10, 60}) {
        SCOPED_TRACE(within);
        Settings settings = plain_settings();
        settings.must_request_list = true;
        settings.ask_within = std::chrono::seconds(within);
        PolicyRig rig(settings);
        rig.list(ListKind::cached, {PolicyRig::entry(1)});
        rig.run(rig.now);
        std::vector<Time> delays;
        for (int i = 0; i < 8; ++i) {
            const int before = rig.sink.watches;
            rig.list(ListKind::failed, {});
            const Time failed = rig.now;
            while (rig.sink.watches == before) rig.run(rig.now + ms(50));
            delays.push_back(rig.now - failed);
            EXPECT_LE(delays.back(), ms(2050));
        }
        EXPECT_GE(delays[0], within < 10 ? ms(50) : ms(400));
        EXPECT_GE(delays[7], ms(1000));
        if (within <= 10) {
            EXPECT_GT(delays[7], delays[0]);
        }
        rig.list(ListKind::full, {PolicyRig::entry(1)});  // subscribed: no further requests
        const int before = rig.sink.watches;
        rig.run(rig.now + std::chrono::seconds(60));
        EXPECT_EQ(rig.sink.watches, before);
    }
}

TEST(UpstreamList, PushedListsAreNeverRequested) {
    PolicyRig rig;
    rig.fleet(2);
    rig.list(ListKind::failed, {});
    rig.run(rig.now + std::chrono::seconds(60));
    EXPECT_EQ(rig.sink.watches, 0);
}

// --- Invariant 4: cold upstreams ---

TEST(SlowStart, ARestartedUpstreamGetsLittleAtFirst) {
    PolicyRig rig;
    rig.fleet(4);
    for (int i = 0; i < 400; ++i) rig.served();
    rig.restart(1);
    const auto before = rig.sink.sends_to(1);
    const auto warm_before = rig.sink.sends_to(2);
    for (int i = 0; i < 200; ++i) rig.served();  // two seconds: the fall_span
    const auto cold = rig.sink.sends_to(1) - before;
    const auto warm = rig.sink.sends_to(2) - warm_before;
    EXPECT_GE(cold, 1u);
    EXPECT_LT(cold, warm / 2 + 1);
    rig.now += std::chrono::seconds(8);
    for (int i = 0; i < 100; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(1) - before - cold, 10u);  // warm again
}

// Runs 200 balancers that each send a request every `interval`, and compares what a restarted upstream and a
// warm one get from the given number of requests.
void expect_less_for_the_cold_upstream(Micros interval, int requests, std::size_t factor) {
    Settings settings = plain_settings();
    settings.balancers = 200;
    std::size_t cold = 0, warm = 0;
    for (settings.rank = 0; settings.rank < settings.balancers; ++settings.rank) {
        PolicyRig rig(settings, static_cast<std::uint64_t>(settings.rank) + 1);
        rig.fleet(4);
        const auto traffic = [&](int count) {
            for (int i = 0; i < count; ++i) {
                rig.served();
                rig.now += interval;
            }
        };
        traffic(40);
        rig.restart(1);
        const auto before = rig.sink.sends_to(1), warm_before = rig.sink.sends_to(2);
        traffic(requests);
        cold += rig.sink.sends_to(1) - before;
        warm += rig.sink.sends_to(2) - warm_before;
    }
    EXPECT_GE(cold, 1u);
    // A quarter of a warm upstream's capacity is available, and three times that would make it fail.
    EXPECT_LT(factor * cold, warm);
}

TEST(SlowStart, ManyBalancersTogetherStayWithinReducedCapacity) {
    // Not one request from every balancer at once within fall_span.
    expect_less_for_the_cold_upstream(ms(490), 4, 2);
}

TEST(SlowStart, BalancersWithLittleTrafficSendEvenLess) {
    expect_less_for_the_cold_upstream(
        ms(3990), 2, 4);  // no lower bound on the rate above a balancer's own part of the work
}

// With many balancers, a rate measured over the subset of upstreams that one balancer uses would be too high.
TEST(SlowStart, BalancerOfASubsetMeasuresItsRateOverAllUpstreams) {
    Settings settings = plain_settings();
    settings.balancers = 40;
    PolicyRig rig(settings);
    rig.fleet(40);
    for (int i = 0; i < 400; ++i) rig.served(safe, ms(20));
    std::set<UpstreamId> used;
    for (const auto& sent : rig.sink.submits) used.insert(sent.upstream);
    ASSERT_LT(used.size(), 20u);
    std::vector<UpstreamEntry> cold;
    for (UpstreamId upstream = 41; upstream <= 80; ++upstream)
        cold.push_back(PolicyRig::entry(upstream, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::delta, cold);
    const auto before = rig.sink.submits.size();
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(20));
    std::map<UpstreamId, std::size_t> sends;
    for (auto i = before; i < rig.sink.submits.size(); ++i) ++sends[rig.sink.submits[i].upstream];
    std::size_t most = 0;
    for (const auto& entry : cold) most = std::max(most, sends[entry.id]);
    // This balancer's part of a warm upstream's work is 50 requests per second over 40; a quarter of that for
    // two seconds.
    EXPECT_LE(most, 3u);
}

TEST(SlowStart, ColdFleetIsNotOverloaded) {
    PolicyRig rig;
    std::vector<UpstreamEntry> entries;
    for (UpstreamId upstream = 1; upstream <= 3; ++upstream)
        entries.push_back(PolicyRig::entry(upstream, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::full, entries);
    for (int i = 0; i < 100; ++i) rig.request(safe);
    EXPECT_LE(rig.sink.submits.size(), 3u);
    rig.run(rig.now + ms(1000));
    for (RequestId id = 1; id <= 100; ++id) {
        const bool running = rig.sink.sends(id) > 0;
        EXPECT_TRUE(running || rig.sink.answers(id) == 1) << id;
    }
}

TEST(SlowStart, CachedListSpreadsRequestsOverAllZones) {
    PolicyRig rig;
    rig.list(ListKind::cached,
             {PolicyRig::entry(1), PolicyRig::entry(2), PolicyRig::entry(101, 1), PolicyRig::entry(102, 1)});
    for (int i = 0; i < 60; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 15u);
    rig.fleet(2, 2);
    const auto before = rig.sink.sends_to(101) + rig.sink.sends_to(102);
    for (int i = 0; i < 60; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102), before);
}

// On a network that breaks connections now and then, an upstream must not be treated as cold after each
// broken connection. Otherwise one upstream after another would get hardly any work, and most requests would
// be refused.
TEST(SlowStart, ReinstatedColdOnlyAfterAFailedProbeRequest) {
    const auto sent_after = [](Outcome outcome, int failures) {
        PolicyRig rig;
        rig.fleet(2);
        for (int i = 0; i < 200; ++i) rig.served();
        // Upstream 1 is ejected, and some probe requests to it fail.
        for (int i = 0; i < 400 && failures > 0; ++i) {
            const auto id = rig.request();
            if (rig.sink.submits.back().upstream == 1) {
                rig.end(id, 0, outcome, ms(1));
                if (rig.sink.sends(id) == 2) rig.end(id, 1, Outcome::ok, ms(10));
                --failures;
            } else {
                rig.end(id, 0, Outcome::ok, ms(10));
            }
            rig.run(rig.now + ms(20));
        }
        EXPECT_EQ(failures, 0);
        rig.run(rig.now + std::chrono::seconds(3));
        rig.served();  // the probe request
        const auto before = rig.sink.sends_to(1);
        for (int i = 0; i < 30; ++i) rig.served();
        return rig.sink.sends_to(1) - before;
    };
    EXPECT_LT(sent_after(Outcome::connect_failed, 3), 10U);
    EXPECT_GE(sent_after(Outcome::connect_failed, 2), 10U);
    EXPECT_GE(sent_after(Outcome::reset, 4), 10U);
}

// --- A slow-start bucket that several Policies share ---

Settings one_zone_settings() {
    Settings settings = plain_settings();
    settings.zones = 1;
    return settings;
}

// Several Policies that list the same addresses, 1 to 3, with or without one shared bucket per address.
struct SharingPolicies {
    SharingPolicies(std::size_t count, bool shared) {
        for (std::size_t index = 0; index < count; ++index)
            rigs.push_back(std::make_unique<PolicyRig>(one_zone_settings(), index + 1));
        for (auto& bucket : buckets) bucket = shared ? std::make_shared<SlowStartBucket>() : nullptr;
        for (auto& rig : rigs) rig->list(ListKind::full, {entry(1), entry(2), entry(3)});
    }
    UpstreamEntry entry(UpstreamId id, Time started_at = Time{}) const {
        UpstreamEntry result = PolicyRig::entry(id, 0, UpstreamState::ready, started_at);
        result.slow_start = buckets[id - 1];
        return result;
    }
    // Sends one request of each Policy to the upstream, answered after 5 ms. Returns how many were sent.
    std::size_t send_round(UpstreamId to) {
        std::size_t sent = 0;
        for (auto& rig : rigs) {
            const auto id = rig->pinned(to, unsafe, ms(20));
            rig->run(rig->now + ms(5));
            if (rig->sink.sends(id) == 0) continue;
            ++sent;
            rig->end(id, 0, Outcome::ok, ms(5));
        }
        return sent;
    }
    std::size_t send_rounds(UpstreamId to, int count) {
        std::size_t sent = 0;
        for (int i = 0; i < count; ++i) sent += send_round(to);
        return sent;
    }
    void restart(PolicyRig& rig, Time at) { rig.list(ListKind::delta, {entry(1, at)}); }

    std::vector<std::unique_ptr<PolicyRig>> rigs;
    std::array<std::shared_ptr<SlowStartBucket>, 3> buckets;
};

TEST(SharedSlowStart, PoliciesThatShareItSendTogetherWhatOneMay) {
    const auto sent = [](std::size_t count, bool shared) {
        SharingPolicies policies(count, shared);
        policies.send_rounds(2, 800);
        policies.send_rounds(3, 800);
        for (auto& rig : policies.rigs) policies.restart(*rig, rig->now);
        return policies.send_rounds(1, 400);  // the fall_span
    };
    const auto alone = sent(1, true);
    EXPECT_GE(alone, 5u);
    EXPECT_EQ(sent(1, false), alone);
    EXPECT_LE(sent(4, true), alone + 1);
    EXPECT_GE(sent(4, false), 3 * alone);  // the overload that sharing prevents
}

TEST(SharedSlowStart, LimitsAPolicyThatWasNotNotifiedOfTheStart) {
    const auto sent = [](bool shared) {
        SharingPolicies policies(2, shared);
        policies.send_rounds(2, 200);
        policies.restart(*policies.rigs[0], policies.rigs[0]->now);
        policies.rigs.erase(policies.rigs.begin());
        return policies.send_rounds(1, 100);
    };
    EXPECT_LE(sent(true), 12u);
    EXPECT_GE(sent(false), 90u);
}

TEST(SharedSlowStart, RepeatedNoticeOfAStartAddsNoTokens) {
    SharingPolicies policies(4, true);
    policies.send_rounds(2, 100);
    const Time at = policies.rigs[0]->now;
    SlowStartBucket& bucket = *policies.buckets[0];
    policies.restart(*policies.rigs[0], at);
    EXPECT_EQ(bucket.cold_start_at, at);
    bucket.tokens = -3;
    policies.restart(*policies.rigs[1], at);
    EXPECT_EQ(bucket.tokens, -3);  // spent tokens stay spent
    bucket.tokens = 5;
    policies.restart(*policies.rigs[2], at - ms(1));  // an earlier start does not replace this one
    EXPECT_LT(bucket.tokens, 1);                      // saved tokens are not kept
    EXPECT_EQ(bucket.cold_start_at, at);
    bucket.tokens = -3;
    // A new process starts with a part of a token of its own.
    policies.restart(*policies.rigs[3], at + ms(1));
    EXPECT_GE(bucket.tokens, 0);
    EXPECT_LT(bucket.tokens, 1);
    EXPECT_EQ(bucket.cold_start_at, at + ms(1));
}

TEST(SharedSlowStart, LaterEntryMayReplaceIt) {
    SharingPolicies policies(1, false);
    PolicyRig& rig = *policies.rigs[0];
    policies.send_rounds(2, 200);
    policies.restart(rig, rig.now);
    policies.buckets[0] = std::make_shared<SlowStartBucket>();
    policies.restart(rig, rig.now);  // the same start: the known cold start is kept
    EXPECT_GT(policies.buckets[0]->cold_start_at, Time{});
    EXPECT_LE(policies.send_rounds(1, 100), 12u);
    const auto first = std::exchange(policies.buckets[0], std::make_shared<SlowStartBucket>());
    policies.buckets[0]->cold_start_at = rig.now + ms(1);  // another Policy has learned of a later start
    policies.restart(rig, rig.now);
    const auto tokens = first->tokens;
    policies.send_rounds(1, 100);
    EXPECT_EQ(first->tokens, tokens);
    policies.buckets[0] = nullptr;  // no bucket in the entry: the last one is kept
    policies.restart(rig, Time{});
    EXPECT_LE(policies.send_rounds(1, 100), 12u);
}

// --- Originals and retries ---

TEST(Originals, StayInTheZoneAndSpreadOverIt) {
    PolicyRig rig;
    rig.fleet(4, 4);
    for (int i = 0; i < 100; ++i) rig.served();
    for (UpstreamId upstream = 1; upstream <= 4; ++upstream) EXPECT_GT(rig.sink.sends_to(upstream), 8u);
    for (UpstreamId upstream = 101; upstream <= 104; ++upstream) EXPECT_EQ(rig.sink.sends_to(upstream), 0u);
}

TEST(Originals, FewerOwnAttemptsInFlightWins) {
    PolicyRig rig;
    rig.fleet(2);  // the pair is always the same two
    for (int i = 0; i < 4; ++i) rig.request(unsafe);
    EXPECT_EQ(rig.sink.sends_to(1), 2u);
    EXPECT_EQ(rig.sink.sends_to(2), 2u);
}

// With many balancers hardly any has attempts of its own in flight, so slow upstreams would get as much as
// fast ones.
TEST(Originals, EqualPairPrefersTheRecentlyFasterUpstream) {
    PolicyRig rig;
    rig.fleet(2);  // the pair is always the same two
    const auto send_one = [&](Micros slow) {
        const auto id = rig.request(unsafe);
        const bool first = rig.sink.submits.back().upstream == 1;
        const Micros latency = first ? slow : ms(10);
        rig.now += latency;
        rig.end(id, 0, Outcome::ok, latency);
        rig.now += ms(200);
        return first;
    };
    for (int i = 0; i < 20; ++i) send_one(ms(25));
    int slow = 0;
    for (int i = 0; i < 40; ++i) slow += send_one(ms(25));
    EXPECT_GT(slow, 0);                             // old latencies are measured again
    EXPECT_LT(slow, 10);                            // of 40: 20 by chance alone
    for (int i = 0; i < 300; ++i) send_one(ms(5));  // upstream 1 has become the faster one
    slow = 0;
    for (int i = 0; i < 40; ++i) slow += send_one(ms(5));
    EXPECT_GT(slow, 30);
}

// A rejection is quick, but costs the request a back-off.
TEST(Originals, EqualPairPrefersFewerRejectionsToLowerLatency) {
    PolicyRig rig;
    rig.fleet(2);
    int first_count = 0, total = 0;
    for (int i = 0; i < 400; ++i) {
        const auto id = rig.request(unsafe);
        const bool first = rig.sink.submits.back().upstream == 1;
        const Micros latency = first ? ms(10) : ms(14);
        rig.now += latency;
        const bool rejected = first && i % 2 == 0;
        rig.end(id, 0, rejected ? Outcome::full : Outcome::ok, latency);
        if (rejected && rig.sink.sends(id) == 2) rig.end(id, 1, Outcome::ok, latency);
        first_count += first;
        ++total;
    }
    EXPECT_LT(first_count, total / 3);
}

// A minimal advantage must not draw all requests to one of two nearly equal upstreams.
TEST(Originals, NearlyEqualPairIsDecidedByChance) {
    PolicyRig rig;
    rig.fleet(2);
    int slower = 0;
    for (int i = 0; i < 300; ++i) {
        const auto id = rig.request(unsafe);
        const bool first = rig.sink.submits.back().upstream == 1;
        rig.now += ms(first ? 11 : 10);
        rig.end(id, 0, Outcome::ok, ms(first ? 11 : 10));
        slower += first;
    }
    EXPECT_GT(slower, 100);
}

TEST(Originals, SpillWhenUnderHalfOfTheZoneIsReady) {
    PolicyRig rig;
    rig.fleet(4, 2);
    rig.drain({1, 2, 3});
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 10u);
}

// A rolling release restarts most of a zone. An upstream in slow start counts as usable even without tokens,
// and the draining upstream that it replaces does not count as missing.
TEST(Originals, NoSpillDuringARelease) {
    PolicyRig rig;
    rig.fleet(4, 2);
    for (int i = 0; i < 200; ++i) rig.served();
    rig.list(ListKind::delta, {PolicyRig::entry(5, 0, UpstreamState::ready, rig.now),
                               PolicyRig::entry(6, 0, UpstreamState::ready, rig.now),
                               PolicyRig::entry(7, 0, UpstreamState::ready, rig.now)});
    for (int i = 0; i < 50; ++i) rig.served();
    rig.drain({1, 2, 3});
    for (int i = 0; i < 50; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102), 0u);
    EXPECT_GT(rig.sink.sends_to(4), 60u);
}

TEST(Originals, SpillWhenEveryUpstreamOfTheZoneIsSlow) {
    PolicyRig rig;
    rig.fleet(2, 2);
    for (int i = 0; i < 60; ++i) rig.served(unsafe, ms(300));
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 5u);
}

TEST(Originals, SpillWhenTheZoneIsKnownToBeFull) {
    PolicyRig rig;
    rig.fleet(1, 1);
    const auto running = rig.request(unsafe);
    const auto rejected = rig.request(unsafe);
    rig.end(rejected, 0, Outcome::full, ms(1));  // it holds one attempt and takes no second
    const auto next = rig.request(unsafe);
    EXPECT_EQ(rig.sink.submits.back().request, next);
    EXPECT_EQ(rig.sink.submits.back().upstream, 101u);
    rig.end(running, 0, Outcome::ok, ms(10));
}

TEST(Originals, ManyBalancersUseSubsetsThatCoverTheZoneEvenly) {
    Settings settings = plain_settings();
    settings.balancers = 40;
    std::vector<int> users(41);
    for (settings.rank = 0; settings.rank < settings.balancers; ++settings.rank) {
        PolicyRig rig(settings, static_cast<std::uint64_t>(settings.rank) + 1);
        rig.fleet(40);
        for (int i = 0; i < 60; ++i) {
            rig.served();
            rig.now += ms(200);
        }
        std::size_t used = 0;
        for (UpstreamId upstream = 1; upstream <= 40; ++upstream) {
            const bool uses = rig.sink.sends_to(upstream) > 0;
            used += uses;
            users[upstream] += uses;
        }
        EXPECT_LE(used, 5u);
    }
    const auto [fewest, most] = std::minmax_element(users.begin() + 1, users.end());
    EXPECT_GE(*fewest, 2);
    EXPECT_LE(*most, 8);
}

TEST(Originals, KeysOfOneOfManyBalancersUseAFewSubsets) {
    Settings settings = plain_settings();
    settings.balancers = 40;
    settings.warm_keys = true;
    PolicyRig rig(settings);
    rig.fleet(40);
    std::set<UpstreamId> used;
    for (std::uint64_t key = 1; key < 100; ++key) {
        const auto id = rig.request(safe, ms(1000), key);
        if (rig.sink.sends(id) == 1) used.insert(rig.sink.submits.back().upstream);
        rig.now += ms(200);
        if (rig.sink.sends(id) == 1) rig.end(id, 0, Outcome::ok, ms(10));
    }
    EXPECT_GT(used.size(), 5u);
    EXPECT_LE(used.size(), 13u);
}

TEST(Originals, BusyBalancerUsesTheWholeZone) {
    PolicyRig rig;
    rig.fleet(12);
    for (int i = 0; i < 400; ++i) rig.served(safe, ms(2));
    for (UpstreamId upstream = 1; upstream <= 12; ++upstream)
        EXPECT_GT(rig.sink.sends_to(upstream), 0u) << upstream;
}

TEST(Originals, SubsetWithFailedUpstreamsIsFilledFromTheRestOfTheZone) {
    Settings settings = plain_settings();
    settings.balancers = 40;
    PolicyRig rig(settings);
    rig.fleet(12, 12);
    std::set<UpstreamId> failed;
    for (int i = 0; i < 60; ++i) {
        const auto id = rig.request();
        ASSERT_EQ(rig.sink.sends(id), 1u);
        const auto to = rig.sink.submits.back().upstream;
        if (failed.size() < 3) failed.insert(to);
        rig.now += ms(20);
        rig.end(id, 0, failed.count(to) ? Outcome::connect_failed : Outcome::ok, ms(20));
        rig.run(rig.now + ms(100));
        for (int attempt = 1; attempt < static_cast<int>(rig.sink.sends(id)); ++attempt)
            rig.end(id, attempt, Outcome::ok, ms(20));
    }
    std::size_t working = 0;
    for (UpstreamId upstream = 1; upstream <= 12; ++upstream)
        working += failed.count(upstream) == 0 && rig.sink.sends_to(upstream) > 0;
    EXPECT_GE(working, 3u);
}

TEST(Originals, KeysChooseTheirPairWhereWarmKeysSaveWork) {
    Settings settings = plain_settings();
    settings.warm_keys = true;
    PolicyRig rig(settings), other(settings, 2);
    std::set<UpstreamId> used;
    for (PolicyRig* balancer : {&rig, &other}) {  // the same at every balancer
        balancer->fleet(8);
        for (int i = 0; i < 50; ++i) {
            const auto id = balancer->request(safe, ms(1000), 4711);
            used.insert(balancer->sink.submits.back().upstream);
            balancer->end(id, 0, Outcome::ok, ms(10));
        }
    }
    EXPECT_LE(used.size(), 2u);
    std::set<UpstreamId> all;
    for (std::uint64_t key = 1; key < 100; ++key) {
        const auto id = rig.request(safe, ms(1000), key);
        all.insert(rig.sink.submits.back().upstream);
        rig.end(id, 0, Outcome::ok, ms(10));
    }
    EXPECT_EQ(all.size(), 8u);
}

TEST(Retries, RejectedRequestIsRetriedAtOnceAndThenBacksOff) {
    PolicyRig rig;
    rig.fleet(6);
    const auto id = rig.request(unsafe);
    rig.now += ms(1);
    rig.end(id, 0, Outcome::full, ms(1));
    ASSERT_EQ(rig.sink.sends(id), 2u);
    rig.end(id, 1, Outcome::full, ms(1));
    ASSERT_EQ(rig.sink.sends(id), 3u);
    rig.end(id, 2, Outcome::full, ms(1));
    EXPECT_EQ(rig.sink.sends(id), 3u);  // waits for a back-off
    rig.run(rig.now + ms(200));
    EXPECT_EQ(rig.sink.sends(id), 4u);
    std::set<UpstreamId> used;
    for (const auto& sent : rig.sink.submits) used.insert(sent.upstream);
    EXPECT_GE(used.size(), 2u);
}

TEST(Retries, EarlyFailuresWaitForADoublingBackoff) {
    PolicyRig rig;
    rig.fleet(6);
    const Time start = rig.now;
    const auto id = rig.request(safe);
    std::vector<Time> sent{start};
    for (int attempt = 0; attempt < 3; ++attempt) {
        rig.end(id, attempt, Outcome::error, ms(1));
        const auto before = rig.sink.sends(id);
        while (rig.sink.sends(id) == before && rig.now < start + ms(1000)) rig.run(rig.now + ms(1));
        if (rig.sink.sends(id) > before) sent.push_back(rig.now);
    }
    ASSERT_EQ(sent.size(), 4u);
    EXPECT_EQ(sent[1] - sent[0], ms(80));  // nothing is learned yet: the upper bound of the retry timeout
    EXPECT_EQ(sent[2] - sent[1], ms(160));
    EXPECT_EQ(sent[3] - sent[2], ms(320));
}

TEST(Retries, GoToAnUpstreamThatHasNotJustFailed) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        PolicyRig rig(plain_settings(), seed);
        rig.fleet(2);
        const auto id = rig.request(safe);
        rig.end(id, 0, Outcome::error, ms(1));
        rig.run(rig.now + ms(90));
        ASSERT_EQ(rig.sink.sends(id), 2u);
        EXPECT_NE(rig.sink.submits[1].upstream, rig.sink.submits[0].upstream);
    }
}

TEST(Retries, TheAttemptLimitHolds) {
    PolicyRig rig;
    rig.fleet(6);
    const auto id = rig.request(safe, std::chrono::seconds(100));
    for (int attempt = 0; attempt < 10; ++attempt) {
        rig.end(id, attempt, Outcome::error, ms(1));
        rig.run(rig.now + std::chrono::seconds(2));
    }
    EXPECT_EQ(rig.sink.sends(id), 4u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(Retries, HedgeOfAnOverdueRequestLeavesTheFirstRunning) {
    Settings settings = plain_settings();
    settings.report_fields = {ReportField::in_flight};
    PolicyRig rig(settings);
    rig.fleet(3);
    const auto id = rig.request(safe);
    rig.run(rig.now + ms(60));
    for (const auto other : rig.wave(unsafe, 6)) {  // the others report that they hold nothing
        rig.end(other, 0, Outcome::ok, ms(1), {0.0F});
    }
    rig.run(rig.now + ms(30));
    ASSERT_EQ(rig.sink.sends(id), 2u);
    EXPECT_NE(rig.sink.submits.front().upstream, rig.sink.submits.back().upstream);
    EXPECT_TRUE(rig.sink.cancelled.empty());
    rig.end(id, 0, Outcome::ok, ms(90));
    ASSERT_EQ(rig.sink.cancelled.size(), 1u);  // the other attempt no longer matters
    EXPECT_EQ(rig.sink.cancelled[0].second, 1);
}

// A lack of recent delay samples must not count as an idle upstream.
TEST(Retries, NoHedgeGoesToAnUpstreamWithoutRecentAnswers) {
    PolicyRig rig;
    rig.fleet(3);
    const auto id = rig.request(safe);
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::error, ms(900));  // but a retry of an ended attempt is sent
    rig.run(rig.now + ms(99));
    EXPECT_EQ(rig.sink.sends(id), 2u);
}

// Hedges double the work of late requests, and so would make other requests late.
TEST(Retries, HedgeNeedsFarLessDelayThanARetry) {
    int hedges = 0, retries = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        PolicyRig rig(plain_settings(), seed);
        rig.fleet(3);
        for (int i = 0; i < 60; ++i) rig.served(safe, ms(10));  // retry timeout 25 ms, delay 10 ms everywhere
        const auto id = rig.request(safe);
        rig.run(rig.now + ms(30));
        hedges += rig.sink.sends(id) == 2;
        rig.end(id, 0, Outcome::error, ms(30));
        rig.run(rig.now + ms(30));
        retries += rig.sink.sends(id) == 2;
    }
    EXPECT_EQ(hedges, 0);
    EXPECT_GE(retries, 8);
}

TEST(Retries, NoneIsAdmittedWhileEveryUpstreamIsSlow) {
    PolicyRig rig;
    rig.fleet(3);
    std::vector<RequestId> ids;
    for (int i = 0; i < 60; ++i) {  // latency far above the retry timeout everywhere
        const auto id = rig.request(unsafe);
        ids.push_back(id);
        rig.now += ms(300);
        if (rig.sink.sends(id) > 0) rig.end(id, 0, Outcome::ok, ms(300));
    }
    const auto id = rig.request(safe);
    ASSERT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::error, ms(1));
    rig.run(rig.now + ms(81));
    EXPECT_EQ(rig.sink.sends(id), 1u);
}

// --- Outlier ejection ---

TEST(OutlierEjection, FailedConnectionsEjectAndOneProbeRequestFollows) {
    PolicyRig rig;
    rig.fleet(4);
    EXPECT_LE(rig.serve_all_except(1, 60, Outcome::connect_failed), 3);
    rig.now += std::chrono::seconds(5);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 5; ++i) rig.request(safe);
    EXPECT_EQ(rig.sink.sends_to(1) - before, 1u);  // one probe request
}

TEST(OutlierEjection, ProbeRequestsReachOtherZones) {
    PolicyRig rig;
    rig.list(ListKind::cached, {PolicyRig::entry(1), PolicyRig::entry(101, 1)});
    rig.serve_all_except(101, 60, Outcome::connect_failed);
    rig.fleet(1, 1);
    rig.now += std::chrono::seconds(5);
    const auto before = rig.sink.sends_to(101);
    rig.request(safe);
    EXPECT_EQ(rig.sink.sends_to(101) - before, 1u);
}

TEST(OutlierEjection, ProbesReinstateWhereTheyAreAllowed) {
    Settings settings = plain_settings();
    settings.may_probe = true;
    PolicyRig rig(settings);
    rig.fleet(2);
    rig.serve_all_except(1, 30, Outcome::connect_failed);
    rig.now += std::chrono::seconds(5);
    const auto before = rig.sink.sends_to(1);
    rig.served();
    EXPECT_EQ(rig.sink.probed, std::vector<UpstreamId>{1});
    EXPECT_EQ(rig.sink.sends_to(1), before);
    ProbeResult result;
    result.upstream = 1;
    rig.policy->on_probe_result(rig.now, result);
    for (int i = 0; i < 100; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(1), before);
}

TEST(OutlierEjection, UpstreamThatRejectsEverythingIsEjected) {
    PolicyRig rig;
    rig.fleet(4);
    EXPECT_LE(rig.serve_all_except(1, 200, Outcome::full, ms(1)), 6);
}

// Sends waves until the upstreams are known to take several requests at once.
void send_waves(PolicyRig& rig) {
    for (int round = 0; round < 40; ++round) rig.served_wave(unsafe, 24, ms(4));
}

TEST(OutlierEjection, SilentUpstreamGetsNoRequests) {
    PolicyRig rig;
    rig.fleet(3);
    send_waves(rig);
    std::vector<RequestId> others;  // upstream 1 answers nothing more; the others hold about as many
    const auto held_before = rig.sink.sends_to(1);
    for (int i = 0; i < 7; ++i) {
        const auto id = rig.request(unsafe);
        if (rig.sink.sends(id) == 1 && rig.sink.submits.back().upstream != 1) others.push_back(id);
    }
    ASSERT_GE(others.size(), 3u);
    ASSERT_GE(rig.sink.sends_to(1) - held_before, 2u);
    rig.now += ms(300);
    for (const auto id : others) rig.end(id, 0, Outcome::ok, ms(4));
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 8; ++i) rig.request(unsafe);
    EXPECT_EQ(rig.sink.sends_to(1), before);
}

// The answers to other classes must not hide that an upstream fails one class.
TEST(OutlierEjection, UpstreamThatFailsOneClassIsEjectedForThatClassOnly) {
    PolicyRig rig;
    rig.fleet(4);
    const auto serve = [&](int class_index) {
        const auto id = rig.request(class_index);
        if (rig.sink.sends(id) != 1) return UpstreamId{0};
        const UpstreamId to = rig.sink.submits.back().upstream;
        rig.now += ms(10);
        const bool fails = to == 1 && class_index == unsafe;
        rig.end(id, 0, fails ? Outcome::timeout : Outcome::ok);
        return to;
    };
    std::map<UpstreamId, int> of_unsafe, of_safe;
    for (int i = 0; i < 200; ++i) {
        serve(unsafe);
        serve(safe);
    }
    for (int i = 0; i < 100; ++i) {
        ++of_unsafe[serve(unsafe)];
        ++of_safe[serve(safe)];
    }
    EXPECT_LE(of_unsafe[1], 3);  // an attempt now and then
    EXPECT_GE(of_unsafe[2] + of_unsafe[3] + of_unsafe[4], 95);
    EXPECT_GE(of_safe[1], 10);
}

// On idle connections that a device on the path drops silently, old ones get no answer while young ones do.
TEST(Connections, StaleOnesAreClosedBeforeASend) {
    // Returns how often connections were closed before an old one was used, and before a young one, in 20
    // rounds.
    const auto closes = [](Outcome old, Outcome young) {
        PolicyRig rig;
        rig.fleet(1);
        for (int i = 0; i < 80; ++i) rig.served();
        std::pair<std::size_t, std::size_t> counts;
        const auto send_after = [&](Micros pause, Outcome outcome) {
            rig.run(rig.now + pause);
            const auto before = rig.sink.closed.size();
            const auto id = rig.request(unsafe);
            const auto closed = rig.sink.closed.size() - before;
            rig.now += ms(10);
            if (rig.sink.sends(id) == 1) rig.end(id, 0, closed > 0 ? Outcome::ok : outcome);
            return closed;
        };
        for (int i = 0; i < 20; ++i) {
            counts.second += send_after(ms(2), young);
            counts.first += send_after(ms(300), old);
        }
        return counts;
    };
    for (const auto lost : {Outcome::timeout, Outcome::reset}) {
        EXPECT_GE(closes(lost, Outcome::ok).first, 5u);
        EXPECT_EQ(closes(lost, Outcome::ok).second, 0u);
        EXPECT_EQ(closes(lost, lost).first, 0u);  // the upstream is at fault, not its connections
    }
    EXPECT_EQ(closes(Outcome::ok, Outcome::ok).first, 0u);
}

// If new connections suddenly fail, each failure would make requests open another new connection elsewhere.
TEST(Connections, WhileNewOnesFailRequestsStayWhereOneIsOpen) {
    const auto new_upstreams = [](bool failing) {
        PolicyRig rig;
        rig.fleet(3);
        for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
        rig.add_upstreams(4, 12);
        std::set<UpstreamId> used;
        for (int i = 0; i < 60; ++i) {
            const auto id = rig.request(unsafe);
            if (rig.sink.sends(id) != 1) continue;
            const UpstreamId to = rig.sink.submits.back().upstream;
            rig.now += ms(2);
            const bool fails = failing && to > 3;
            if (to > 3) used.insert(to);
            rig.end(id, 0, fails ? Outcome::connect_failed : Outcome::ok, ms(2));
            rig.policy->on_client_gone(rig.now, id);  // no further attempts
        }
        return used.size();
    };
    EXPECT_GE(new_upstreams(false), 8u);
    EXPECT_LE(new_upstreams(true), 4u);
}

// An attempt that was not executed for a reason on the balancer's side (no free descriptor, say) says nothing
// about the upstream.
TEST(InconclusiveOutcome, LeavesNoConnectionToClose) {
    Settings settings = plain_settings();
    settings.drain_close = ms(800);
    PolicyRig rig(settings);
    rig.fleet(1);
    const auto ids = rig.wave(unsafe, 2);
    ASSERT_EQ(ids.size(), 2u);
    for (const auto id : ids) rig.end(id, 0, Outcome::inconclusive, ms(1));
    rig.drain({1});
    EXPECT_TRUE(rig.sink.closed.empty());
}

TEST(InconclusiveOutcome, DoesNotHideThatNewConnectionsFail) {
    PolicyRig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
    rig.add_upstreams(4, 40);
    rig.end_one_on_each(4, 9, Outcome::connect_failed);
    rig.end_one_on_each(10, 40, Outcome::inconclusive);
    for (int i = 0; i < 30; ++i) {
        const auto id = rig.request(unsafe);
        EXPECT_LE(rig.sink.submits.back().upstream, 3u);  // requests stay where a connection is open
        rig.end(id, 0, Outcome::ok, ms(2));
    }
}

TEST(InconclusiveOutcome, DoesNotMarkAFailedConnectionAsOpen) {
    PolicyRig rig;
    rig.fleet(4);
    for (int i = 0; i < 200; ++i) rig.served(safe, ms(2));
    rig.add_upstreams(5, 12);
    rig.end_one_on_each(5, 12, Outcome::connect_failed);
    const auto failing = rig.pinned(1, unsafe), inconclusive = rig.pinned(1, unsafe);
    rig.end(failing, 0, Outcome::connect_failed, ms(1));
    rig.end(inconclusive, 0, Outcome::inconclusive, ms(1));
    rig.policy->on_client_gone(rig.now, failing);
    rig.policy->on_client_gone(rig.now, inconclusive);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 30; ++i) rig.end(rig.request(unsafe), 0, Outcome::ok, ms(2));
    EXPECT_EQ(rig.sink.sends_to(1), before);
}

TEST(InconclusiveOutcome, DoesNotResetTheAgeOfAnIdleConnection) {
    const auto closed_before_send = [](bool inconclusive) {
        PolicyRig rig;
        rig.fleet(1);
        for (int i = 0; i < 80; ++i) rig.served();
        const auto send_after = [&](Micros pause, Outcome outcome) {
            rig.run(rig.now + pause);
            const auto before = rig.sink.closed.size();
            const auto id = rig.request(unsafe, ms(20));
            rig.now += ms(10);
            if (rig.sink.sends(id) == 1) rig.end(id, 0, outcome);
            rig.policy->on_client_gone(rig.now, id);
            return rig.sink.closed.size() - before;
        };
        std::size_t closed = 0;
        for (int i = 0; i < 30; ++i) {
            send_after(ms(2), Outcome::ok);
            rig.run(rig.now + ms(290));
            if (inconclusive) send_after(ms(2), Outcome::inconclusive);
            closed += send_after(ms(2), Outcome::timeout);  // old ones get no answer
        }
        return closed;
    };
    EXPECT_GE(closed_before_send(false), 5u);
    EXPECT_GE(closed_before_send(true), 5u);
}

TEST(InconclusiveOutcome, DoesNotMakeAFullUpstreamSeemFree) {
    PolicyRig rig;
    rig.fleet(1);
    for (int i = 0; i < 60; ++i) rig.served_wave(unsafe, 1, ms(66));  // hardly any time left within the aim
    const auto sent = [&](Outcome outcome) {
        const auto id = rig.request(unsafe);
        if (rig.sink.sends(id) == 0) return false;
        rig.end(id, 0, outcome, ms(1));
        rig.policy->on_client_gone(rig.now, id);
        return true;
    };
    ASSERT_TRUE(sent(Outcome::full) && sent(Outcome::full));
    for (int i = 0; i < 10; ++i) ASSERT_TRUE(sent(Outcome::inconclusive));
    ASSERT_TRUE(sent(Outcome::full));
    EXPECT_FALSE(sent(Outcome::ok));  // a rejection would miss the aim
}

TEST(OutlierEjection, SilentFleetStillGetsRequests) {
    PolicyRig rig;
    rig.fleet(4);
    send_waves(rig);
    for (int i = 0; i < 8; ++i) rig.request(unsafe);
    rig.now += ms(300);  // no upstream answers for long, but requests must still be sent
    const auto id = rig.request(unsafe);
    EXPECT_EQ(rig.sink.sends(id), 1u);
}

// --- Pinned requests ---

// Returns the upstreams that got attempts of the request.
std::set<UpstreamId> upstreams_of(const PolicyRig& rig, RequestId id) {
    std::set<UpstreamId> to;
    for (const auto& sent : rig.sink.submits) {
        if (sent.request == id) to.insert(sent.upstream);
    }
    return to;
}

TEST(Pinned, GoesOnlyToItsUpstreamInAnyZone) {
    for (const UpstreamId to : {3, 102}) {
        for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::full, Outcome::connect_failed}) {
            PolicyRig rig;
            rig.fleet(6, 4);
            for (int i = 0; i < 60; ++i) rig.served();
            const auto id = rig.pinned(to);
            ASSERT_EQ(rig.sink.sends(id), 1u);
            rig.end(id, 0, outcome, ms(5));
            rig.run(rig.now + ms(900));
            EXPECT_EQ(upstreams_of(rig, id), std::set<UpstreamId>{to});
            EXPECT_EQ(rig.sink.sends(id) > 1, outcome != Outcome::ok);
        }
    }
}

TEST(Pinned, IsRefusedAtOnceIfItsUpstreamIsUnlistedDrainingOrGone) {
    PolicyRig rig;
    rig.fleet(4);
    for (int i = 0; i < 100; ++i) rig.served(unsafe, ms(4));  // a back-off would fit within the aim
    rig.list(ListKind::delta,
             {PolicyRig::entry(1, 0, UpstreamState::draining), PolicyRig::entry(2, 0, UpstreamState::gone)});
    for (const UpstreamId to : {1, 2, 77}) {
        const auto id = rig.pinned(to, unsafe);
        EXPECT_EQ(rig.sink.sends(id), 0u);
        EXPECT_EQ(rig.sink.answers(id), 1u);
    }
    EXPECT_EQ(rig.sink.sends(rig.pinned(3)), 1u);
}

TEST(Pinned, WaitsForABackoffAfterARejection) {
    PolicyRig rig;
    rig.fleet(6);
    for (int i = 0; i < 100; ++i) rig.served(unsafe, ms(4));
    const auto id = rig.pinned(3, unsafe);
    rig.end(id, 0, Outcome::full, ms(1));
    EXPECT_EQ(rig.sink.sends(id), 1u);  // an unpinned request would go elsewhere at once
    rig.run(rig.now + ms(900));
    EXPECT_GE(rig.sink.sends(id), 2u);
    EXPECT_EQ(upstreams_of(rig, id), std::set<UpstreamId>{3});
}

TEST(Pinned, HasNoEffectTwice) {
    PolicyRig rig;
    rig.fleet(3);
    const auto id = rig.pinned(2, unsafe);
    rig.end(id, 0, Outcome::reset, ms(1));
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{id});
}

// A fleet that looks unhealthy as a whole still gets ordinary requests. A pinned request waits for its own
// upstream.
TEST(Pinned, IsNotSentToAnEjectedUpstream) {
    PolicyRig rig;
    rig.fleet(1);
    for (int i = 0; i < 4; ++i) rig.end(rig.request(unsafe), 0, Outcome::error, ms(1));
    const auto id = rig.pinned(1, unsafe);
    EXPECT_EQ(rig.sink.sends(id), 0u);
    EXPECT_EQ(rig.sink.sends(rig.request(unsafe)), 1u);
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(Pinned, ProbesItsOwnUpstreamOnly) {
    PolicyRig rig;
    rig.fleet(3);
    rig.serve_all_except(1, 60, Outcome::connect_failed);
    rig.now += std::chrono::seconds(5);  // upstream 1 is ejected and due for a probe request
    EXPECT_EQ(upstreams_of(rig, rig.pinned(2)), std::set<UpstreamId>{2});
    EXPECT_EQ(upstreams_of(rig, rig.pinned(1)), std::set<UpstreamId>{1});
    EXPECT_EQ(upstreams_of(rig, rig.pinned(1)), std::set<UpstreamId>{});  // one probe request at a time
}

TEST(Pinned, KeepsToTheSlowStartBucket) {
    PolicyRig rig;
    rig.fleet(4);
    for (int i = 0; i < 400; ++i) rig.served();
    rig.restart(1);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 400; ++i) {  // the fall_span
        const auto id = rig.pinned(1, unsafe, ms(60));
        rig.run(rig.now + ms(5));
        if (rig.sink.sends(id) == 1) rig.end(id, 0, Outcome::ok, ms(5));
    }
    // Warm upstreams answered 25 requests per second; a quarter of that for two seconds, and one second's
    // worth saved.
    EXPECT_GE(rig.sink.sends_to(1) - before, 2u);
    EXPECT_LE(rig.sink.sends_to(1) - before, 25u);
}

// While new connections fail, requests stay where one is open. A pinned request has no such choice.
TEST(Pinned, MayOpenAConnectionWhileOthersUseOpenOnes) {
    PolicyRig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
    rig.add_upstreams(4, 12);
    rig.end_one_on_each(4, 9, Outcome::connect_failed);
    for (int i = 0; i < 30; ++i) {
        const auto id = rig.request(unsafe);
        EXPECT_LE(rig.sink.submits.back().upstream, 3u);
        rig.end(id, 0, Outcome::ok, ms(2));
    }
    EXPECT_EQ(upstreams_of(rig, rig.pinned(11)), std::set<UpstreamId>{11});
}

// --- Load shedding ---

TEST(LoadShedding, CapacityIsKeptForTheClassWithTheHighestWorthDensity) {
    Settings settings = plain_settings();
    settings.classes[unsafe].worth = 10;
    PolicyRig rig(settings);
    rig.fleet(2);
    for (int round = 0; round < 20; ++round) {  // both classes are learned, several requests at once
        const auto safe_wave = rig.wave(safe, 4), unsafe_wave = rig.wave(unsafe, 4);
        rig.now += ms(10);
        rig.answer(safe_wave, ms(10));
        rig.answer(unsafe_wave, ms(10));
    }
    const auto low_worth = rig.wave(safe, 40);
    const auto high_worth = rig.wave(unsafe, 40);
    EXPECT_GT(low_worth.size(), 0u);
    EXPECT_LT(low_worth.size(), 40u);
    EXPECT_GT(high_worth.size(), 0u);
}

// One tenant must not crowd out the others.
TEST(LoadShedding, RequestsBeyondATenantsQuotaAreShedFirst) {
    Settings settings = plain_settings();
    settings.tenants = {{"loud", 10}, {"quiet", 10}};
    settings.over_share_worth = 0.1;
    PolicyRig rig(settings);
    rig.fleet(4);
    for (int round = 0; round < 40; ++round) {  // far beyond one quota, within the other
        const auto loud = rig.wave(unsafe, 8, 0), quiet = rig.wave(unsafe, 1, 1);
        rig.now += ms(100);
        rig.answer(loud, ms(10));
        rig.answer(quiet, ms(10));
    }
    const auto loud = rig.wave(unsafe, 60, 0).size();
    EXPECT_GT(loud, 0u);
    EXPECT_GT(rig.wave(unsafe, 4, 1).size(), 0u);  // where the loud tenant gets no more, the quiet one does
    EXPECT_EQ(rig.wave(unsafe, 4, 0).size(), 0u);
}

// An upstream whose throughput falls as its number of requests in flight rises must get fewer requests at a
// time.
TEST(LoadShedding, CongestedUpstreamGetsFewerRequestsAtATime) {
    PolicyRig rig;
    rig.fleet(1);
    const auto wave = [&](Micros latency) {
        const auto sent = rig.served_wave(unsafe, 30, latency);
        rig.now += std::chrono::seconds(2);
        return sent;
    };
    EXPECT_EQ(wave(ms(4)), 2u);  // nothing is known about the upstream yet
    for (int i = 0; i < 80; ++i) wave(ms(4));
    const auto before = wave(ms(4));
    EXPECT_GT(before, 2u);
    for (int i = 0; i < 60; ++i) wave(ms(20));
    EXPECT_LT(wave(ms(20)), before);
}

// The concurrency limit must shrink fast while nothing is answered any more.
TEST(LoadShedding, TimeoutsCutTheConcurrencyLimitLikeRejections) {
    const auto sent_after = [](Outcome outcome) {
        Settings settings = plain_settings();
        settings.balancers = 10;
        PolicyRig rig(settings);
        rig.fleet(40);
        for (int i = 0; i < 100; ++i) rig.served_wave(unsafe, 20, ms(10));
        for (int round = 0; round < 3; ++round) {
            const auto sent = rig.wave(unsafe, 20);
            rig.now += ms(20);
            for (const auto id : sent) rig.end(id, 0, outcome, ms(20));
        }
        return rig.wave(unsafe, 60).size();
    };
    EXPECT_LT(sent_after(Outcome::timeout), sent_after(Outcome::error));
}

// Many balancers that each send a little to every upstream can together congest the upstreams.
TEST(LoadShedding, UnderCongestionABalancerHoldsLessThanOneAttemptPerUpstream) {
    Settings settings = plain_settings();
    settings.balancers = 20;
    PolicyRig rig(settings);
    rig.fleet(20, 20);
    const auto wave = [&](Micros latency) { return rig.served_wave(unsafe, 60, latency); };
    for (int i = 0; i < 100; ++i) wave(ms(4));
    EXPECT_GE(wave(ms(4)), 20u);
    // Each upstream holds few attempts of this balancer, and still all are slow.
    for (int i = 0; i < 30; ++i) wave(ms(30));
    const auto held_under_congestion = wave(ms(30));
    EXPECT_LT(held_under_congestion, 20u);
    EXPECT_GE(held_under_congestion, 3u);  // but never below min_in_flight_per_upstream
    for (int i = 0; i < 300; ++i) wave(ms(4));
    EXPECT_GE(wave(ms(4)), 20u);  // and it recovers
}

// A request that waited while this process was stalled ends when its aim ends, counted from its arrival.
TEST(Stall, RequestThatWaitedDuringAStallEndsWithItsOriginalAim) {
    Settings settings = plain_settings();
    for (auto& class_settings : settings.classes) class_settings.late_worth = 0;
    const auto timeout_after_stall = [&](Micros stall, Micros left) {
        PolicyRig rig(settings);
        rig.fleet(4);
        for (int i = 0; i < 20; ++i) {
            rig.run(rig.now + ms(5));
            rig.served();
        }
        rig.run(rig.now);
        rig.now += stall;  // no timer fires meanwhile
        const auto id = rig.request(safe, left);
        const auto last = rig.sink.submits.back();
        return rig.sink.sends(id) == 0 ? Micros{0} : last.timeout;
    };
    EXPECT_EQ(timeout_after_stall(ms(0), ms(1000)), ms(100));    // no stall: the whole aim is left
    EXPECT_EQ(timeout_after_stall(ms(500), ms(1000)), ms(100));  // arrived after the stall
    EXPECT_GT(timeout_after_stall(ms(500), ms(960)), ms(55));    // waited 40 ms
    EXPECT_LT(timeout_after_stall(ms(500), ms(960)), ms(65));
    EXPECT_EQ(timeout_after_stall(ms(500), ms(800)), ms(0));  // past its aim before it was seen
    EXPECT_EQ(timeout_after_stall(ms(0), ms(800)), ms(100));  // a client with a short deadline, no stall
}

// If the start congested the upstreams, latencies under congestion would be learned as the usual ones.
TEST(LoadShedding, AtStartAllBalancersTogetherHoldFewAttempts) {
    Settings settings = plain_settings();
    settings.balancers = 10;
    PolicyRig rig(settings);
    rig.fleet(10);
    const auto sent = rig.wave(unsafe, 20);
    EXPECT_GE(sent.size(), 3u);
    EXPECT_LE(sent.size(), 9u);
    rig.answer(sent, ms(4));
    for (int i = 0; i < 100; ++i) rig.served_wave(unsafe, 20, ms(4));
    EXPECT_EQ(rig.served_wave(unsafe, 20, ms(4)), 20u);
}

// A refusal that comes late, with nothing sent, leaves the client no time to ask elsewhere.
TEST(LoadShedding, OriginalWaitsForAFractionOfItsClientsTimeOnly) {
    for (const long left : {1000, 100}) {
        PolicyRig rig;
        rig.list(ListKind::full, {PolicyRig::entry(1, 0, UpstreamState::draining)});
        const auto id = rig.request(safe, ms(left));
        const auto asked = rig.now;
        while (rig.sink.answers(id) == 0) rig.run(rig.now + ms(1));
        EXPECT_EQ(rig.sink.sends(id), 0U);
        EXPECT_LE(rig.now - asked, std::min(ms(left) * 45 / 100, ms(80)));
    }
}

// If upstreams that were ejected and then left the list counted as missing, the fleet would seem to shrink
// over a long run, and the concurrency limit with it.
TEST(LoadShedding, RemovedUpstreamsDoNotCountAsMissing) {
    const auto held_under_congestion_after = [](UpstreamId removed) {
        Settings settings = plain_settings();
        settings.balancers = 4;
        PolicyRig rig(settings);
        for (UpstreamId upstream = 1000; upstream < 1000 + removed; ++upstream) {
            rig.list(ListKind::full, {PolicyRig::entry(upstream)});
            for (int i = 0; i < 4; ++i) {
                const auto request = rig.request(unsafe);
                for (std::size_t attempt = 0; attempt < rig.sink.sends(request); ++attempt) {
                    rig.end(request, static_cast<int>(attempt), Outcome::connect_failed, ms(1));
                }
            }
            rig.now += ms(1000);
        }
        rig.fleet(20);
        for (int i = 0; i < 100; ++i) rig.served_wave(unsafe, 60, ms(4));
        for (int i = 0; i < 30; ++i) rig.served_wave(unsafe, 60, ms(30));
        return rig.wave(unsafe, 60).size();
    };
    EXPECT_GE(held_under_congestion_after(0), 10U);
    EXPECT_GE(held_under_congestion_after(15), 10U);
}

// The storage of an upstream must not be reused while an open request refers to it: the request's attempt
// must be attributed to the upstream that executed it.
TEST(UpstreamList, PlacesOfRemovedUpstreamsAreReusedOnceUnreferenced) {
    PolicyRig rig;
    rig.list(ListKind::full, {PolicyRig::entry(1)});
    const auto held = rig.request(keyed_zone);
    ASSERT_EQ(rig.sink.sends_to(1), 1U);
    for (UpstreamId upstream = 2; upstream < 50; ++upstream) {
        // In the other zone, where the open request must not go.
        rig.list(ListKind::full, {PolicyRig::entry(upstream, 1)});
        rig.served();
        EXPECT_EQ(rig.sink.submits.back().upstream, upstream);
    }
    rig.end(held, 0, Outcome::error, ms(5));
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(held), 1U);
    EXPECT_EQ(rig.sink.answers(held), 1U);
}

// If every balancer kept at least one attempt in flight, many of them could congest the upstreams. The limit
// must be allowed below one attempt.
TEST(LoadShedding, UnderCongestionABalancerWithALimitBelowOnePauses) {
    Settings settings = plain_settings();
    settings.balancers = 200;
    PolicyRig rig(settings);
    rig.fleet(20);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {  // one at a time, all late, from the first one on
        const auto id = rig.request(unsafe);
        const bool was_sent = rig.sink.sends(id) == 1;
        rig.now += ms(90);
        if (was_sent) rig.end(id, 0, Outcome::ok, ms(90));
        if (i >= 50) sent += was_sent;
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 40);
}

// The outcomes of attempts sent before a cut must not cut the limit again. Otherwise the limit would
// oscillate.
TEST(LoadShedding, OneCongestedWaveCutsTheLimitOnce) {
    Settings settings = plain_settings();
    settings.balancers = 20;
    PolicyRig rig(settings);
    rig.fleet(40);
    const auto wave = [&](Micros latency) { return rig.served_wave(unsafe, 60, latency); };
    for (int i = 0; i < 150; ++i) wave(ms(4));
    const auto open = wave(ms(4));
    EXPECT_EQ(open, 60u);
    wave(ms(30));
    const auto cut = wave(ms(4));
    EXPECT_LT(cut, 55u);
    EXPECT_GT(cut, 25u);
}

// --- Changes of the settings ---

// Returns when the timer of a request that was just sent fires: the retry timeout of its class.
Micros timer_of(PolicyRig& rig, int class_index) {
    const auto id = rig.request(class_index);
    EXPECT_EQ(rig.sink.sends(id), 1u);
    const Micros timer = rig.sink.timers.back().first - rig.now;
    rig.policy->on_client_gone(rig.now, id);
    rig.end(id, 0, Outcome::cancelled);
    return timer;
}

TEST(OnSettings, InconsistentSettingsChangeNothing) {
    const auto actions_of = [](bool broken) {
        PolicyRig rig;
        rig.fleet(3);
        for (int i = 0; i < 40; ++i) rig.served(i % 5);
        const auto open = rig.request(unsafe);
        Settings settings = plain_settings();
        settings.classes.pop_back();
        settings.zone = 7;
        if (broken) {
            EXPECT_THROW(rig.policy->on_settings(rig.now, settings), std::invalid_argument);
        }
        rig.end(open, 0, Outcome::error);
        for (int i = 0; i < 40; ++i) rig.served(i % 5);
        rig.run(rig.now + ms(1000));
        return rig.sink.action_log;
    };
    EXPECT_EQ(actions_of(true), actions_of(false));
}

TEST(OnSettings, LearnedClassStateMovesWithTheClass) {
    PolicyRig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(30));
    for (int i = 0; i < 100; ++i) rig.served(keyed_all, ms(40));
    const Micros was_safe = timer_of(rig, safe), was_keyed = timer_of(rig, keyed_all);
    EXPECT_LT(was_safe, was_keyed);
    EXPECT_LT(was_keyed, ms(80));  // the value before anything is learned
    Settings settings = plain_settings();
    std::reverse(settings.classes.begin(), settings.classes.end());
    rig.policy->on_settings(rig.now, settings);
    EXPECT_EQ(timer_of(rig, 4 - safe), was_safe);
    EXPECT_EQ(timer_of(rig, 4 - keyed_all), was_keyed);
    settings.classes[4 - safe].name = "new";
    settings.classes[4 - keyed_all].group = DeduplicationScope::zone;
    rig.policy->on_settings(rig.now, settings);
    EXPECT_EQ(timer_of(rig, 4 - safe), ms(80));
    EXPECT_EQ(timer_of(rig, 4 - keyed_all), ms(80));
}

TEST(OnSettings, LearnedClassHealthMovesWithTheClass) {
    PolicyRig rig;
    rig.fleet(4);
    const auto serve = [&](int class_index, bool failing) {
        const auto id = rig.request(class_index);
        const UpstreamId to = rig.sink.submits.back().upstream;
        rig.now += ms(2);
        rig.end(id, 0, failing && to == 1 ? Outcome::error : Outcome::ok, ms(2));
        rig.policy->on_client_gone(rig.now, id);
        return to;
    };
    for (int i = 0; i < 200; ++i) {  // upstream 1 fails all requests of one class and answers the other
        serve(unsafe, true);
        serve(safe, false);
    }
    Settings settings = plain_settings();
    std::rotate(settings.classes.begin(), settings.classes.begin() + 1, settings.classes.end());
    rig.policy->on_settings(rig.now, settings);
    int of_unsafe = 0, of_safe = 0;
    for (int i = 0; i < 60; ++i) {
        of_unsafe += serve(unsafe - 1, true) == 1;
        of_safe += serve(4, false) == 1;
    }
    EXPECT_LE(of_unsafe, 3);
    EXPECT_GE(of_safe, 6);
}

// The index now belongs to another class, which must not affect open requests.
TEST(OnSettings, OpenRequestKeepsItsEffect) {
    for (const int class_index : {static_cast<int>(unsafe), static_cast<int>(keyed_cell)}) {
        PolicyRig rig;
        rig.list(ListKind::full,
                 {PolicyRig::entry(1, 0, UpstreamState::ready, Time{}, 1), PolicyRig::entry(2)});
        const auto id = rig.request(class_index);
        const auto first = rig.sink.submits.back().upstream;
        Settings settings = plain_settings();
        settings.classes = {settings.classes[safe]};
        rig.policy->on_settings(rig.now, settings);
        settings.classes.push_back(settings.classes[safe]);
        settings.classes.back().name = "another";
        rig.policy->on_settings(rig.now, settings);  // a second time
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(1000));
        EXPECT_EQ(rig.sink.sends_to(3 - first), 0u);
        EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{id});
        EXPECT_TRUE(rig.sink.refused.empty());
    }
}

TEST(OnSettings, RemovedClassTakesNoRequestsAndIsForgottenWithItsLast) {
    PolicyRig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(keyed_all, ms(4));
    const auto held = rig.request(keyed_all);
    Settings settings = plain_settings();
    settings.classes = {settings.classes[safe]};
    rig.policy->on_settings(rig.now, settings);
    const auto stray = rig.request(1);  // the index behind the listed classes
    EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{stray});
    rig.end(held, 0, Outcome::ok, ms(4));
    rig.policy->on_settings(rig.now, settings);
    rig.policy->on_settings(rig.now, plain_settings());  // listed again: the class starts anew
    const auto id = rig.request(keyed_all);
    EXPECT_EQ(rig.sink.timers.back().first - rig.now, ms(80));
    EXPECT_EQ(rig.sink.sends(id), 1u);
}

TEST(OnSettings, TenantsKeepTheirTokens) {
    const auto sent_after = [](bool renamed) {
        Settings settings = plain_settings();
        settings.tenants = {{"loud", 100}, {"quiet", 100}};
        settings.over_share_worth = 0.1;
        PolicyRig rig(settings);
        rig.fleet(4);
        for (int round = 0; round < 60; ++round) rig.served_wave(unsafe, 40, ms(4));
        rig.answer(rig.wave(unsafe, 300, 0), ms(4));  // everything that the tenant had saved
        settings.tenants = {{"new", 100}, {"quiet", 100}, {renamed ? "louder" : "loud", 100}};
        rig.policy->on_settings(rig.now, settings);
        return rig.wave(unsafe, 150, 2).size();
    };
    EXPECT_GT(sent_after(true), sent_after(false));
}

TEST(OnSettings, ZoneDrainRuleAndListRequestsFollow) {
    Settings settings = plain_settings();
    PolicyRig rig(settings);
    rig.fleet(3, 3);
    for (int i = 0; i < 30; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102) + rig.sink.sends_to(103), 0u);
    settings.zone = 1;
    rig.policy->on_settings(rig.now, settings);
    const auto before = rig.sink.sends_to(1) + rig.sink.sends_to(2) + rig.sink.sends_to(3);
    for (int i = 0; i < 30; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(1) + rig.sink.sends_to(2) + rig.sink.sends_to(3), before);

    rig.drain({1});
    EXPECT_TRUE(rig.sink.closed.empty());
    settings.drain_close = ms(800);  // the rule is set only now
    settings.must_request_list = true;
    settings.ask_within = ms(500);
    rig.policy->on_settings(rig.now, settings);
    EXPECT_EQ(rig.sink.closed, std::vector<UpstreamId>{1});
    rig.run(rig.now + ms(600));
    const int asked = rig.sink.watches;
    EXPECT_GE(asked, 1);
    settings.must_request_list = false;
    rig.policy->on_settings(rig.now, settings);
    rig.run(rig.now + ms(5000));
    EXPECT_EQ(rig.sink.watches, asked);
}

// --- Unexpected events, unusual settings, determinism ---

TEST(UnexpectedEvents, UnknownOnesAreIgnored) {
    PolicyRig rig;
    rig.fleet(2);
    const auto before = rig.sink.action_log.size();
    rig.end(99, 0, Outcome::ok);
    rig.policy->on_client_gone(rig.now, 99);
    rig.policy->on_started(rig.now, {99, 0, 1, ms(5)});
    rig.policy->on_message(rig.now, 7, "stray");
    rig.policy->on_timer(rig.now, 0);
    rig.policy->on_timer(rig.now, ~std::uint64_t{0});
    rig.policy->on_timer(rig.now, std::uint64_t{1} << 60 | 12345ULL << 32);
    rig.policy->on_probe_result(rig.now, {});
    const auto id = rig.request();
    rig.end(id, 7, Outcome::ok);
    rig.end(id, -1, Outcome::ok);
    EXPECT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::ok);
    rig.end(id, 0, Outcome::error);  // a second outcome
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 0u);
    EXPECT_GT(rig.sink.action_log.size(), before);
}

TEST(UnusualSettings, InconsistenciesAreNamed) {
    const auto error_of = [](auto change) -> std::string {
        Settings settings = plain_settings();
        change(settings);
        Recorder sink;
        try {
            Policy policy(settings, 1, Time{}, sink);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    struct Row {
        const char* expected_word;  // in the message
        void (*change)(Settings&);
    };
    for (const Row& row : std::vector<Row>{
             {"rank", [](Settings& settings) { settings.rank = 5; }},
             {"zone", [](Settings& settings) { settings.zone = 2; }},
             {"tick", [](Settings& settings) { settings.tick = Micros{0}; }},
             {"classes", [](Settings& settings) { settings.classes.clear(); }},
             {"max_attempts", [](Settings& settings) { settings.max_attempts = 0; }},
             {"drain_close", [](Settings& settings) { settings.drain_close = Micros{-1}; }},
             {"cold_share", [](Settings& settings) { settings.cold_share = 0; }},
             {"ask_within", [](Settings& settings) { settings.must_request_list = true; }},
             {"deadline", [](Settings& settings) { settings.classes[0].aim = ms(2000); }},
             {"window", [](Settings& settings) { settings.classes[keyed_zone].window = Micros{0}; }},
         }) {
        EXPECT_NE(error_of(row.change).find(row.expected_word), std::string::npos) << row.expected_word;
    }
    EXPECT_EQ(error_of([](Settings&) {}), "");
}

TEST(UnusualSettings, OneZoneOneUpstreamOneAttemptNoCancelNoReports) {
    Settings settings = plain_settings();
    settings.zones = 1;
    settings.max_attempts = 1;
    settings.may_cancel = settings.parallel_attempts = false;
    settings.classes[safe].streams = true;
    PolicyRig rig(settings);
    rig.fleet(1);
    const auto id = rig.request(safe);
    ASSERT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.submits[0].timeout, ms(1000));
    rig.policy->on_started(rig.now, {id, 0, 1, ms(5)});
    rig.end(id, 0, Outcome::ok, ms(20));
    const auto gone = rig.request(safe);
    rig.policy->on_client_gone(rig.now, gone);
    EXPECT_TRUE(rig.sink.cancelled.empty());
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
    const auto actions_of = [](std::uint64_t seed) {
        PolicyRig rig(plain_settings(), seed);
        rig.fleet(5, 3);
        for (int i = 0; i < 300; ++i) {
            const auto id = rig.request(i % 5);
            rig.now += ms(i % 7);
            constexpr Outcome outcomes[] = {Outcome::ok, Outcome::ok, Outcome::full, Outcome::error,
                                            Outcome::timeout};
            if (rig.sink.sends(id) > 0) rig.end(id, 0, outcomes[i % 5], ms(i % 40));
            rig.run(rig.now + ms(3));
        }
        return rig.sink.action_log;
    };
    EXPECT_EQ(actions_of(3), actions_of(3));
    EXPECT_NE(actions_of(3), actions_of(4));
}

}  // namespace
}  // namespace flaxdoor::test
