// The module's decisions, event by event. Where the code says what it guards against, a test here fails
// without it.
#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <map>
#include <ostream>
#include <set>
#include <stdexcept>

#include "rig.h"

namespace flaxdoor::test {
namespace {

// -------------------------------------------------------------------- rules 1 and 2: one request, its answer

constexpr auto plain = plain_settings;
Settings with(const std::function<void(Settings&)>& change) {
    Settings s = plain_settings();
    change(s);
    return s;
}
Settings one_attempt() {
    return with([](Settings& s) { s.max_attempts = 1; });
}
Settings one_at_a_time() {
    return with([](Settings& s) { s.parallel_attempts = false; });
}
Settings late_is_worth_nothing() {
    return with([](Settings& s) { s.classes[unsafe].late_worth = 0; });
}
Settings narrow_window() {
    return with([](Settings& s) { s.classes[keyed_zone].window = ms(30); });
}  // no gap fits

enum class Answered { not_by_us, refused, failed };

// One request, how its first attempt ends, and what has come of it by its deadline.
struct Story {
    const char* name;
    int class_index;
    std::optional<Outcome> end;  // none: it does not
    std::size_t sends;
    Answered answered;
    Settings (*settings)() = plain;
    Settings (*changed)() = nullptr;  // before the end
    Micros ends_after = ms(1);
    Micros timeout{};  // of its attempt; zero: whatever it is
    Micros left = ms(1000);
};
std::ostream& operator<<(std::ostream& out, const Story& story) { return out << story.name; }

std::vector<Story> stories() {
    using enum Outcome;
    using enum Answered;
    return {
        {"UnknownClass", 77, {}, 0, failed},
        {"NoTimeIsLeft", safe, {}, 0, refused, plain, {}, {}, {}, ms(0)},
        {"Served", safe, ok, 1, not_by_us},
        {"ATimeoutAtTheDeadline", unsafe, timeout, 1, failed, plain, {}, ms(1000)},
        // What may have run is neither sent again nor refused.
        {"UnsafeError", unsafe, error, 1, failed},
        {"UnsafeTimeout", unsafe, timeout, 1, failed},
        {"UnsafeReset", unsafe, reset, 1, failed},
        {"UnsafeCancelled", unsafe, cancelled, 1, failed},
        // What has not run is sent again.
        {"UnsafeFull", unsafe, full, 2, not_by_us},
        {"UnsafeConnectFailed", unsafe, connect_failed, 2, not_by_us},
        {"UnsafeMoot", unsafe, moot, 2, not_by_us},
        {"LastError", unsafe, error, 1, failed, one_attempt},
        {"LastTimeout", unsafe, timeout, 1, failed, one_attempt},
        {"LastReset", unsafe, reset, 1, failed, one_attempt},
        {"LastCancelled", unsafe, cancelled, 1, failed, one_attempt},
        {"LastFull", unsafe, full, 1, refused, one_attempt},
        {"LastConnectFailed", unsafe, connect_failed, 1, refused, one_attempt},
        {"LastMoot", unsafe, moot, 1, refused, one_attempt},
        {"LastOfAZone", keyed_zone, error, 1, failed, one_attempt},
        {"LastOfAllUpstreams", keyed_all, error, 1, refused, one_attempt},
        {"KeyedIsNotSentAfterItsWindow", keyed_zone, error, 1, failed, narrow_window},
        {"TheWindowGrows", keyed_zone, error, 1, failed, narrow_window, plain_settings},
        {"TheWindowShrinks", keyed_zone, error, 1, failed, plain, narrow_window},
        {"NoCopyOfARunningUnsafeOne", unsafe, {}, 1, not_by_us, plain, {}, {}, ms(1000)},
        {"TheTimerEndsTheAttemptWhereNoCopyMayRun", safe, {}, 1, not_by_us, one_at_a_time, {}, {}, ms(80)},
        // Guards against upstreams that are held by work which can no longer count: it ends with its aim.
        {"LateIsWorthNothing", unsafe, timeout, 1, failed, late_is_worth_nothing, {}, ms(100), ms(100)},
        {"LateCounts", keyed_zone, {}, 1, not_by_us, late_is_worth_nothing, {}, {}, ms(1000)},
    };
}

class Stories : public testing::TestWithParam<Story> {};

TEST_P(Stories, EndAsTheyMust) {
    const Story& story = GetParam();
    Rig rig(story.settings());
    rig.fleet(3);
    const Time deadline = rig.now + story.left;
    const auto id = rig.request(story.class_index, story.left);
    if (story.timeout > Micros{0}) {
        ASSERT_EQ(rig.sink.submits.size(), 1u);
        EXPECT_EQ(rig.sink.submits[0].timeout, story.timeout);
    }
    if (story.changed) rig.policy->on_settings(rig.now, story.changed());
    rig.run(std::min(deadline, rig.now + story.ends_after));
    if (story.end) rig.end(id, 0, *story.end, story.ends_after);
    rig.run(deadline);
    EXPECT_EQ(rig.sink.sends(id), story.sends);
    EXPECT_EQ(rig.sink.refused.size(), story.answered == Answered::refused ? 1u : 0u);
    EXPECT_EQ(rig.sink.failed.size(), story.answered == Answered::failed ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(Decide, Stories, testing::ValuesIn(stories()),
                         [](const auto& its) { return its.param.name; });

// ---------------------------------------------------------------------------- rule 1: one answer, in time

TEST(OneAnswer, NoUpstreamAtAll) {
    Rig rig;
    const auto id = rig.request();
    rig.run(rig.now + ms(1000));
    EXPECT_EQ(rig.sink.sends(id), 0u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(OneAnswer, UpstreamThatAppearsWhileARequestWaits) {
    Rig rig;
    const auto id = rig.request();
    rig.fleet(2);
    rig.run(rig.now + ms(900));
    EXPECT_GE(rig.sink.sends(id), 1u);
}

TEST(OneAnswer, NothingSentAfterTheClientLeft) {
    Rig rig;
    rig.fleet(3);
    const auto id = rig.request();
    rig.policy->on_client_gone(rig.now, id);
    ASSERT_EQ(rig.sink.cancelled.size(), 1u);  // what can no longer count is cancelled
    rig.end(id, 0, Outcome::cancelled);
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 0u);
}

TEST(OneAnswer, TheRequestsOwnDeadlineCounts) {
    Rig rig;
    rig.fleet(3);
    const auto id = rig.request(safe, ms(60));
    rig.end(id, 0, Outcome::full, ms(1));
    rig.run(rig.now + ms(60));
    EXPECT_EQ(rig.sink.answers(id) + (rig.sink.sends(id) > 1 ? 1 : 0), 1u);
}

// --------------------------------------------------------------------------- rule 2: no effect twice

TEST(NoEffectTwice, KeyedStaysInItsGroup) {
    Rig rig;
    rig.list(ListKind::full, {Rig::entry(1), Rig::entry(2), Rig::entry(101, 1), Rig::entry(102, 1)});
    for (int i = 0; i < 20; ++i) {
        const auto id = rig.request(keyed_zone);
        ASSERT_EQ(rig.sink.sends(id), 1u);
        const auto first = rig.sink.submits.back().upstream;
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(300));
        for (const auto& s : rig.sink.submits) {
            if (s.request == id) {
                EXPECT_EQ(s.upstream > 100, first > 100);
            }
        }
        rig.policy->on_client_gone(rig.now, id);
        rig.end(id, 1, Outcome::cancelled);
        rig.run(rig.now + ms(20000));
    }
}

// What ran in a zone ran there, wherever its server's name stands by now.
TEST(NoEffectTwice, AServerThatMovesDoesNotTakeItsGroupAlong) {
    for (const int class_index : {static_cast<int>(keyed_zone), static_cast<int>(keyed_cell)}) {
        Rig rig;
        rig.list(ListKind::full, {Rig::entry(1, 0, UpstreamState::ready, Time{}, 7)});
        const auto id = rig.request(class_index);
        ASSERT_EQ(rig.sink.sends(id), 1u);
        rig.list(ListKind::full, {Rig::entry(1, 1, UpstreamState::ready, Time{}, 8),
                                  Rig::entry(2, 1, UpstreamState::ready, Time{}, 8)});
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(1000));
        EXPECT_EQ(rig.sink.sends(id), 1u) << "repeated where nobody drops it";
    }
}

TEST(NoEffectTwice, KeyedCellDiffersFromZone) {
    Rig rig;
    rig.list(ListKind::full, {Rig::entry(1, 0, UpstreamState::ready, Time{}, 7),
                              Rig::entry(2, 0, UpstreamState::ready, Time{}, 8)});
    const auto id = rig.request(keyed_cell);
    ASSERT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::error, ms(1));
    rig.run(rig.now + ms(1000));
    for (const auto& s : rig.sink.submits) EXPECT_EQ(s.upstream, rig.sink.submits[0].upstream);
    EXPECT_TRUE(rig.sink.refused.empty());
}

// ---------------------------------------------------------------------------------- rule 3: drains kept

TEST(Drains, NothingNewToADrainingGoneOrUnlistedUpstream) {
    Rig rig;
    rig.fleet(4);
    rig.list(ListKind::delta,
             {Rig::entry(1, 0, UpstreamState::draining), Rig::entry(2, 0, UpstreamState::gone)});
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(1) + rig.sink.sends_to(2), 0u);
    rig.list(ListKind::full, {Rig::entry(4)});
    const auto before = rig.sink.sends_to(3);
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(3), before);
    EXPECT_GE(rig.sink.sends_to(4), 40u);
}

// Where closing is ruled, idle connections go with the notice, and each one that an outcome frees goes with
// it.
TEST(Drains, ConnectionsAreClosedWhenTheyAreIdle) {
    Settings s = plain_settings();
    s.drain_close = ms(800);
    Rig rig(s);
    rig.fleet(1);
    rig.served();
    const auto out = rig.wave(safe, 2);  // over the aim at most: no copy can go anywhere
    ASSERT_EQ(out.size(), 2u);
    EXPECT_TRUE(rig.sink.closed.empty());
    rig.drain({1});
    EXPECT_EQ(rig.sink.closed.size(), 1u);
    rig.now += ms(5);
    rig.end(out[0], 0, Outcome::ok);
    EXPECT_EQ(rig.sink.closed.size(), 2u);
    rig.now += ms(5);
    rig.end(out[1], 0, Outcome::error);
    EXPECT_EQ(rig.sink.closed, (std::vector<UpstreamId>{1, 1, 1}));
    rig.list(ListKind::full, {Rig::entry(1, 0, UpstreamState::draining)});  // told again: nothing is left
    rig.list(ListKind::full, {});
    EXPECT_EQ(rig.sink.closed.size(), 3u);
}

TEST(Drains, NothingIsClosedThatWasNotOpenedOrWhereNoRuleSaysSo) {
    for (const bool told : {false, true}) {
        Settings s = plain_settings();
        s.drain_close = told ? ms(800) : ms(0);
        Rig rig(s);
        rig.fleet(told ? 0 : 2);
        rig.served();
        rig.drain({1});
        EXPECT_TRUE(rig.sink.closed.empty());
    }
}

TEST(Drains, RetriesKeepThemToo) {
    Rig rig;
    rig.fleet(3);
    const auto id = rig.request();
    const auto first = rig.sink.submits[0].upstream;
    rig.end(id, 0, Outcome::error, ms(1));
    for (UpstreamId u = 1; u <= 3; ++u) {
        if (u != first) rig.drain({u});
    }
    rig.run(rig.now + ms(1000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(TheList, AskedAtStartOneInstanceAfterAnother) {
    Time last{};
    for (int rank = 0; rank < 3; ++rank) {
        Settings s = plain_settings();
        s.must_ask_list = true;
        s.ask_within = std::chrono::seconds(10);
        s.balancers = 3;
        s.rank = rank;
        Rig rig(s);
        rig.list(ListKind::cached, {Rig::entry(1)});
        ASSERT_EQ(rig.sink.timers.size(), 2u);  // the first beat, and the call
        if (rank > 0) {
            EXPECT_GT(rig.sink.timers[1].first, last);
        }
        last = rig.sink.timers[1].first;
        rig.run(rig.now + s.ask_within);
        EXPECT_GE(rig.sink.watches, 1);
    }
}

// Three fit into the 6 s after which a change counts as told, once it could have been heard: however long discovery
// was away, and whatever the settings give for asking.
TEST(TheList, FailedCallsAreRepeatedWithGrowingGapsInTime) {
    for (const int within : {2, 10, 60}) {
        SCOPED_TRACE(within);
        Settings s = plain_settings();
        s.must_ask_list = true;
        s.ask_within = std::chrono::seconds(within);
        Rig rig(s);
        rig.list(ListKind::cached, {Rig::entry(1)});
        rig.run(rig.now);
        std::vector<Time> asked;
        for (int i = 0; i < 8; ++i) {
            const int before = rig.sink.watches;
            rig.list(ListKind::failed, {});
            const Time failed = rig.now;
            while (rig.sink.watches == before) rig.run(rig.now + ms(50));
            asked.push_back(rig.now - failed);
            EXPECT_LE(asked.back(), ms(2050));
        }
        EXPECT_GE(asked[0], within < 10 ? ms(50) : ms(400));
        EXPECT_GE(asked[7], ms(1000));
        if (within <= 10) {
            EXPECT_GT(asked[7], asked[0]);
        }
        rig.list(ListKind::full, {Rig::entry(1)});  // subscribed: no further calls
        const int before = rig.sink.watches;
        rig.run(rig.now + std::chrono::seconds(60));
        EXPECT_EQ(rig.sink.watches, before);
    }
}

TEST(TheList, PushedListsAreNeverAskedFor) {
    Rig rig;
    rig.fleet(2);
    rig.list(ListKind::failed, {});
    rig.run(rig.now + std::chrono::seconds(60));
    EXPECT_EQ(rig.sink.watches, 0);
}

// ----------------------------------------------------------------------------- rule 4: cold upstreams

TEST(Cold, ARestartedUpstreamGetsLittleAtFirst) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 400; ++i) rig.served();
    rig.restart(1);
    const auto before = rig.sink.sends_to(1);
    const auto warm_before = rig.sink.sends_to(2);
    for (int i = 0; i < 200; ++i) rig.served();  // two seconds: one fall span
    const auto cold = rig.sink.sends_to(1) - before;
    const auto warm = rig.sink.sends_to(2) - warm_before;
    EXPECT_GE(cold, 1u);
    EXPECT_LT(cold, warm / 2 + 1);
    rig.now += std::chrono::seconds(8);
    for (int i = 0; i < 100; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(1) - before - cold, 10u);  // warm again
}

// 200 balancers with a request every `gap` each: what a restarted upstream and a warm one get in the next
// ones.
void expect_little_for_the_cold_one(Micros gap, int requests, std::size_t share) {
    Settings s = plain_settings();
    s.balancers = 200;
    std::size_t cold = 0, warm = 0;
    for (s.rank = 0; s.rank < s.balancers; ++s.rank) {
        Rig rig(s, static_cast<std::uint64_t>(s.rank) + 1);
        rig.fleet(4);
        const auto traffic = [&](int count) {
            for (int i = 0; i < count; ++i) {
                rig.served();
                rig.now += gap;
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
    EXPECT_LT(share * cold,
              warm);  // it can do a quarter of what a warm one can, and falls at three times that
}

TEST(Cold, ManyBalancersTogetherSendItNoMoreThanItsPart) {
    expect_little_for_the_cold_one(ms(490), 4, 2);  // no request for each at once, in one fall span
}

TEST(Cold, BalancersThatSendLittleSendItStillLess) {
    expect_little_for_the_cold_one(ms(3990), 2, 4);  // no floor above their own part of the work
}

// Guards against budgets that are each measured by the few upstreams that one of many balancers uses.
TEST(Cold, OneOfManyBalancersThatUsesAFewMeasuresItsPartByAll) {
    Settings s = plain_settings();
    s.balancers = 40;
    Rig rig(s);
    rig.fleet(40);
    for (int i = 0; i < 400; ++i) rig.served(safe, ms(20));
    std::set<UpstreamId> used;
    for (const auto& sent : rig.sink.submits) used.insert(sent.upstream);
    ASSERT_LT(used.size(), 20u);
    std::vector<UpstreamEntry> cold;
    for (UpstreamId id = 41; id <= 80; ++id) cold.push_back(Rig::entry(id, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::delta, cold);
    const auto before = rig.sink.submits.size();
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(20));
    std::map<UpstreamId, std::size_t> sends;
    for (auto i = before; i < rig.sink.submits.size(); ++i) ++sends[rig.sink.submits[i].upstream];
    std::size_t most = 0;
    for (const auto& entry : cold) most = std::max(most, sends[entry.id]);
    // Its part of a warm upstream's work is 50 requests a second over 40; a quarter of that for two seconds.
    EXPECT_LE(most, 3u);
}

TEST(Cold, AFleetOfColdUpstreamsIsNotFlooded) {
    Rig rig;
    std::vector<UpstreamEntry> entries;
    for (UpstreamId u = 1; u <= 3; ++u) entries.push_back(Rig::entry(u, 0, UpstreamState::ready, rig.now));
    rig.list(ListKind::full, entries);
    for (int i = 0; i < 100; ++i) rig.request(safe);
    EXPECT_LE(rig.sink.submits.size(), 3u);
    rig.run(rig.now + ms(1000));
    for (RequestId id = 1; id <= 100; ++id) {
        const bool running = rig.sink.sends(id) > 0;
        EXPECT_TRUE(running || rig.sink.answers(id) == 1) << id;
    }
}

TEST(Cold, WithOnlyACachedListWorkIsSpreadOverAllZones) {
    Rig rig;
    rig.list(ListKind::cached, {Rig::entry(1), Rig::entry(2), Rig::entry(101, 1), Rig::entry(102, 1)});
    for (int i = 0; i < 60; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 15u);
    rig.fleet(2, 2);
    const auto before = rig.sink.sends_to(101) + rig.sink.sends_to(102);
    for (int i = 0; i < 60; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102), before);
}

// Guards against a network that breaks connections now and then: upstreams that came back cold from that
// would one after the other be left with hardly any work, and most requests refused.
TEST(Cold, OnlyAnUpstreamThatFailedAgainWhenTriedComesBackCold) {
    const auto sent_after = [](Outcome outcome, int failures) {
        Rig rig;
        rig.fleet(2);
        for (int i = 0; i < 200; ++i) rig.served();
        for (int i = 0; i < 400 && failures > 0; ++i) {  // upstream 1 is put out, and some trials of it fail
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
        rig.served();  // the trial
        const auto before = rig.sink.sends_to(1);
        for (int i = 0; i < 30; ++i) rig.served();
        return rig.sink.sends_to(1) - before;
    };
    EXPECT_LT(sent_after(Outcome::connect_failed, 3), 10U);
    EXPECT_GE(sent_after(Outcome::connect_failed, 2), 10U);
    EXPECT_GE(sent_after(Outcome::reset, 4), 10U);
}

// ------------------------------------------------------------------- a cold account that modules share

Settings of_one_zone() {
    Settings s = plain_settings();
    s.zones = 1;
    return s;
}

// Several modules that list the same addresses, 1 to 3, with or without one account for each address.
struct Modules {
    Modules(std::size_t count, bool shared) {
        for (std::size_t m = 0; m < count; ++m) rigs.push_back(std::make_unique<Rig>(of_one_zone(), m + 1));
        for (auto& account : accounts) account = shared ? std::make_shared<ColdAccount>() : nullptr;
        for (auto& rig : rigs) rig->list(ListKind::full, {entry(1), entry(2), entry(3)});
    }
    UpstreamEntry entry(UpstreamId id, Time started_at = Time{}) const {
        UpstreamEntry e = Rig::entry(id, 0, UpstreamState::ready, started_at);
        e.cold = accounts[id - 1];
        return e;
    }
    // One request of each module to the upstream, answered after 5 ms: how many were sent.
    std::size_t round(UpstreamId to) {
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
    std::size_t rounds(UpstreamId to, int count) {
        std::size_t sent = 0;
        for (int i = 0; i < count; ++i) sent += round(to);
        return sent;
    }
    void restart(Rig& rig, Time at) { rig.list(ListKind::delta, {entry(1, at)}); }

    std::vector<std::unique_ptr<Rig>> rigs;
    std::array<std::shared_ptr<ColdAccount>, 3> accounts;
};

TEST(ColdAccount, ModulesThatShareItSendTogetherWhatOneMay) {
    const auto sent = [](std::size_t modules, bool shared) {
        Modules m(modules, shared);
        m.rounds(2, 800);
        m.rounds(3, 800);
        for (auto& rig : m.rigs) m.restart(*rig, rig->now);
        return m.rounds(1, 400);  // one fall span
    };
    const auto alone = sent(1, true);
    EXPECT_GE(alone, 5u);
    EXPECT_EQ(sent(1, false), alone);
    EXPECT_LE(sent(4, true), alone + 1);
    EXPECT_GE(sent(4, false), 3 * alone);  // what it guards against
}

TEST(ColdAccount, AModuleThatDidNotHearOfTheStartSeesIt) {
    const auto sent = [](bool shared) {
        Modules m(2, shared);
        m.rounds(2, 200);
        m.restart(*m.rigs[0], m.rigs[0]->now);
        m.rigs.erase(m.rigs.begin());
        return m.rounds(1, 100);
    };
    EXPECT_LE(sent(true), 12u);
    EXPECT_GE(sent(false), 90u);
}

TEST(ColdAccount, HearingOfTheSameStartAgainAddsNothing) {
    Modules m(4, true);
    m.rounds(2, 100);
    const Time at = m.rigs[0]->now;
    ColdAccount& account = *m.accounts[0];
    m.restart(*m.rigs[0], at);
    EXPECT_EQ(account.since, at);
    account.tokens = -3;
    m.restart(*m.rigs[1], at);
    EXPECT_EQ(account.tokens, -3);  // what was spent stays spent
    account.tokens = 5;
    m.restart(*m.rigs[2], at - ms(1));  // an earlier one does not end this one
    EXPECT_LT(account.tokens, 1);       // what was saved up is not kept
    EXPECT_EQ(account.since, at);
    account.tokens = -3;
    m.restart(*m.rigs[3], at + ms(1));  // a new process has a first part of its own
    EXPECT_GE(account.tokens, 0);
    EXPECT_LT(account.tokens, 1);
    EXPECT_EQ(account.since, at + ms(1));
}

TEST(ColdAccount, ALaterEntryMayBringAnotherOne) {
    Modules m(1, false);
    Rig& rig = *m.rigs[0];
    m.rounds(2, 200);
    m.restart(rig, rig.now);
    m.accounts[0] = std::make_shared<ColdAccount>();
    m.restart(rig, rig.now);  // the same start: what is cold stays cold
    EXPECT_GT(m.accounts[0]->since, Time{});
    EXPECT_LE(m.rounds(1, 100), 12u);
    const auto first = std::exchange(m.accounts[0], std::make_shared<ColdAccount>());
    m.accounts[0]->since = rig.now + ms(1);  // another module has met a later start
    m.restart(rig, rig.now);
    const auto tokens = first->tokens;
    m.rounds(1, 100);
    EXPECT_EQ(first->tokens, tokens);
    m.accounts[0] = nullptr;  // told no more: the last one is kept
    m.restart(rig, Time{});
    EXPECT_LE(m.rounds(1, 100), 12u);
}

// --------------------------------------------------------------------------------- the ordinary path

TEST(Originals, StayInTheZoneAndSpreadOverIt) {
    Rig rig;
    rig.fleet(4, 4);
    for (int i = 0; i < 100; ++i) rig.served();
    for (UpstreamId u = 1; u <= 4; ++u) EXPECT_GT(rig.sink.sends_to(u), 8u);
    for (UpstreamId u = 101; u <= 104; ++u) EXPECT_EQ(rig.sink.sends_to(u), 0u);
}

TEST(Originals, FewerOfOursInFlightWins) {
    Rig rig;
    rig.fleet(2);  // the pair is always the same two
    for (int i = 0; i < 4; ++i) rig.request(unsafe);
    EXPECT_EQ(rig.sink.sends_to(1), 2u);
    EXPECT_EQ(rig.sink.sends_to(2), 2u);
}

// With many balancers hardly any has one of its own in flight: slow upstreams would get as much as fast ones.
TEST(Originals, OfAnEqualPairTheOneWithShorterAnswersUntilThatIsLongAgo) {
    Rig rig;
    rig.fleet(2);  // the pair is always the same two
    const auto lone = [&](Micros slow) {
        const auto id = rig.request(unsafe);
        const bool first = rig.sink.submits.back().upstream == 1;
        const Micros latency = first ? slow : ms(10);
        rig.now += latency;
        rig.end(id, 0, Outcome::ok, latency);
        rig.now += ms(200);
        return first;
    };
    for (int i = 0; i < 20; ++i) lone(ms(25));
    int slow = 0;
    for (int i = 0; i < 40; ++i) slow += lone(ms(25));
    EXPECT_GT(slow, 0);                         // what is long ago is asked again
    EXPECT_LT(slow, 10);                        // of 40: 20 by chance alone
    for (int i = 0; i < 300; ++i) lone(ms(5));  // it has become the faster one
    slow = 0;
    for (int i = 0; i < 40; ++i) slow += lone(ms(5));
    EXPECT_GT(slow, 30);
}

// A full refusal is quick, and costs the request a gap elsewhere.
TEST(Originals, OfAnEqualPairTheOneThatTurnsLessAwayThoughItIsSlower) {
    Rig rig;
    rig.fleet(2);
    int full = 0, of = 0;
    for (int i = 0; i < 400; ++i) {
        const auto id = rig.request(unsafe);
        const bool first = rig.sink.submits.back().upstream == 1;
        const Micros latency = first ? ms(10) : ms(14);
        rig.now += latency;
        const bool turned_away = first && i % 2 == 0;
        rig.end(id, 0, turned_away ? Outcome::full : Outcome::ok, latency);
        if (turned_away && rig.sink.sends(id) == 2) rig.end(id, 1, Outcome::ok, latency);
        full += first;
        ++of;
    }
    EXPECT_LT(full, of / 3);
}

// A hair's breadth would draw all work to one of two that are as good as like.
TEST(Originals, OfAnEqualPairThatIsAsGoodAsLikeChanceDecides) {
    Rig rig;
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
    Rig rig;
    rig.fleet(4, 2);
    rig.drain({1, 2, 3});
    for (int i = 0; i < 40; ++i) rig.served();
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 10u);
}

// A release starts most of a zone anew: what is cold and may not get more just now is ready all the same, and
// what drains behind it is not missing.
TEST(Originals, NoSpillDuringARelease) {
    Rig rig;
    rig.fleet(4, 2);
    for (int i = 0; i < 200; ++i) rig.served();
    rig.list(ListKind::delta, {Rig::entry(5, 0, UpstreamState::ready, rig.now),
                               Rig::entry(6, 0, UpstreamState::ready, rig.now),
                               Rig::entry(7, 0, UpstreamState::ready, rig.now)});
    for (int i = 0; i < 50; ++i) rig.served();
    rig.drain({1, 2, 3});
    for (int i = 0; i < 50; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102), 0u);
    EXPECT_GT(rig.sink.sends_to(4), 60u);
}

TEST(Originals, SpillWhenEveryUpstreamOfTheZoneIsSlow) {
    Rig rig;
    rig.fleet(2, 2);
    for (int i = 0; i < 60; ++i) rig.served(unsafe, ms(300));
    EXPECT_GT(rig.sink.sends_to(101) + rig.sink.sends_to(102), 5u);
}

TEST(Originals, SpillWhenTheZoneIsKnownToBeFull) {
    Rig rig;
    rig.fleet(1, 1);
    const auto a = rig.request(unsafe);
    const auto b = rig.request(unsafe);
    rig.end(b, 0, Outcome::full, ms(1));  // holds one of ours, takes no second
    const auto c = rig.request(unsafe);
    EXPECT_EQ(rig.sink.submits.back().request, c);
    EXPECT_EQ(rig.sink.submits.back().upstream, 101u);
    rig.end(a, 0, Outcome::ok, ms(10));
}

TEST(Originals, ManyBalancersEachUseAShareOfTheZoneAndAllUpstreamsAlike) {
    Settings s = plain_settings();
    s.balancers = 40;
    std::vector<int> users(41);
    for (s.rank = 0; s.rank < s.balancers; ++s.rank) {
        Rig rig(s, static_cast<std::uint64_t>(s.rank) + 1);
        rig.fleet(40);
        for (int i = 0; i < 60; ++i) {
            rig.served();
            rig.now += ms(200);
        }
        std::size_t used = 0;
        for (UpstreamId u = 1; u <= 40; ++u) {
            const bool uses = rig.sink.sends_to(u) > 0;
            used += uses;
            users[u] += uses;
        }
        EXPECT_LE(used, 5u);
    }
    const auto [fewest, most] = std::minmax_element(users.begin() + 1, users.end());
    EXPECT_GE(*fewest, 2);
    EXPECT_LE(*most, 8);
}

TEST(Originals, KeysOfOneOfManyBalancersDrawAmongAFewShares) {
    Settings s = plain_settings();
    s.balancers = 40;
    s.warm_keys = true;
    Rig rig(s);
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

TEST(Originals, ABusyBalancerUsesTheWholeZone) {
    Rig rig;
    rig.fleet(12);
    for (int i = 0; i < 400; ++i) rig.served(safe, ms(2));
    for (UpstreamId u = 1; u <= 12; ++u) EXPECT_GT(rig.sink.sends_to(u), 0u) << u;
}

TEST(Originals, AShareWithoutFitUpstreamsIsFilledFromTheRestOfTheZone) {
    Settings s = plain_settings();
    s.balancers = 40;
    Rig rig(s);
    rig.fleet(12, 12);
    std::set<UpstreamId> dead;
    for (int i = 0; i < 60; ++i) {
        const auto id = rig.request();
        ASSERT_EQ(rig.sink.sends(id), 1u);
        const auto to = rig.sink.submits.back().upstream;
        if (dead.size() < 3) dead.insert(to);
        rig.now += ms(20);
        rig.end(id, 0, dead.count(to) ? Outcome::connect_failed : Outcome::ok, ms(20));
        rig.run(rig.now + ms(100));
        for (int a = 1; a < static_cast<int>(rig.sink.sends(id)); ++a) rig.end(id, a, Outcome::ok, ms(20));
    }
    std::size_t living = 0;
    for (UpstreamId u = 1; u <= 12; ++u) living += dead.count(u) == 0 && rig.sink.sends_to(u) > 0;
    EXPECT_GE(living, 3u);
}

TEST(Originals, KeysDrawTheirPairWhereWarmKeysSaveWork) {
    Settings s = plain_settings();
    s.warm_keys = true;
    Rig rig(s), other(s, 2);
    std::set<UpstreamId> used;
    for (Rig* r : {&rig, &other}) {  // the same at every balancer
        r->fleet(8);
        for (int i = 0; i < 50; ++i) {
            const auto id = r->request(safe, ms(1000), 4711);
            used.insert(r->sink.submits.back().upstream);
            r->end(id, 0, Outcome::ok, ms(10));
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

TEST(Retries, WhatWasTurnedAwayUnseenGoesOnAtOnceAndThenWaits) {
    Rig rig;
    rig.fleet(6);
    const auto id = rig.request(unsafe);
    rig.now += ms(1);
    rig.end(id, 0, Outcome::full, ms(1));
    ASSERT_EQ(rig.sink.sends(id), 2u);
    rig.end(id, 1, Outcome::full, ms(1));
    ASSERT_EQ(rig.sink.sends(id), 3u);
    rig.end(id, 2, Outcome::full, ms(1));
    EXPECT_EQ(rig.sink.sends(id), 3u);  // a gap now
    rig.run(rig.now + ms(200));
    EXPECT_EQ(rig.sink.sends(id), 4u);
    std::set<UpstreamId> met;
    for (const auto& sent : rig.sink.submits) met.insert(sent.upstream);
    EXPECT_GE(met.size(), 2u);
}

TEST(Retries, EarlyFailuresWaitOutTheirGapAndGapsDouble) {
    Rig rig;
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
    EXPECT_EQ(sent[1] - sent[0], ms(80));  // most of the aim before anything is learned
    EXPECT_EQ(sent[2] - sent[1], ms(160));
    EXPECT_EQ(sent[3] - sent[2], ms(320));
}

TEST(Retries, GoToAnUpstreamThatHasNotJustFailed) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Rig rig(plain_settings(), seed);
        rig.fleet(2);
        const auto id = rig.request(safe);
        rig.end(id, 0, Outcome::error, ms(1));
        rig.run(rig.now + ms(90));
        ASSERT_EQ(rig.sink.sends(id), 2u);
        EXPECT_NE(rig.sink.submits[1].upstream, rig.sink.submits[0].upstream);
    }
}

TEST(Retries, TheAttemptLimitHolds) {
    Rig rig;
    rig.fleet(6);
    const auto id = rig.request(safe, std::chrono::seconds(100));
    for (int attempt = 0; attempt < 10; ++attempt) {
        rig.end(id, attempt, Outcome::error, ms(1));
        rig.run(rig.now + std::chrono::seconds(2));
    }
    EXPECT_EQ(rig.sink.sends(id), 4u);
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(Retries, ACopyOfAnOverdueRequestLeavesTheFirstRunning) {
    Settings s = plain_settings();
    s.report_fields = {ReportField::in_flight};
    Rig rig(s);
    rig.fleet(3);
    const auto id = rig.request(safe);
    rig.run(rig.now + ms(60));
    for (const auto other : rig.wave(unsafe, 6)) {  // the others tell that they hold nothing
        rig.end(other, 0, Outcome::ok, ms(1), {0.0F});
    }
    rig.run(rig.now + ms(30));
    ASSERT_EQ(rig.sink.sends(id), 2u);
    EXPECT_NE(rig.sink.submits.front().upstream, rig.sink.submits.back().upstream);
    EXPECT_TRUE(rig.sink.cancelled.empty());
    rig.end(id, 0, Outcome::ok, ms(90));
    ASSERT_EQ(rig.sink.cancelled.size(), 1u);  // the other can no longer count
    EXPECT_EQ(rig.sink.cancelled[0].second, 1);
}

// Guards against taking silence for idleness.
TEST(Retries, NoCopyGoesToAnUpstreamNotHeardFromLately) {
    Rig rig;
    rig.fleet(3);
    const auto id = rig.request(safe);
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    rig.end(id, 0, Outcome::error, ms(900));  // but a retry of an ended attempt does
    rig.run(rig.now + ms(99));
    EXPECT_EQ(rig.sink.sends(id), 2u);
}

// Guards against copies that double the work of late requests and so make others late.
TEST(Retries, ACopyNeedsFarLessDelayThanARetry) {
    int copies = 0, retries = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Rig rig(plain_settings(), seed);
        rig.fleet(3);
        for (int i = 0; i < 60; ++i) rig.served(safe, ms(10));  // T1 25 ms, delay 10 ms everywhere
        const auto id = rig.request(safe);
        rig.run(rig.now + ms(30));
        copies += rig.sink.sends(id) == 2;
        rig.end(id, 0, Outcome::error, ms(30));
        rig.run(rig.now + ms(30));
        retries += rig.sink.sends(id) == 2;
    }
    EXPECT_EQ(copies, 0);
    EXPECT_GE(retries, 8);
}

TEST(Retries, TheGateStopsThemWhenEveryTargetIsSlow) {
    Rig rig;
    rig.fleet(3);
    std::vector<RequestId> ids;
    for (int i = 0; i < 60; ++i) {  // latency far above T1 everywhere
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

// ------------------------------------------------------------------------------------------- health

TEST(Health, FailedConnectionsPutOutAndATrialBringsBack) {
    Rig rig;
    rig.fleet(4);
    EXPECT_LE(rig.all_but(1, 60, Outcome::connect_failed), 3);
    rig.now += std::chrono::seconds(5);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 5; ++i) rig.request(safe);
    EXPECT_EQ(rig.sink.sends_to(1) - before, 1u);  // one trial, no more
}

TEST(Health, TrialsReachOtherZonesToo) {
    Rig rig;
    rig.list(ListKind::cached, {Rig::entry(1), Rig::entry(101, 1)});
    rig.all_but(101, 60, Outcome::connect_failed);
    rig.fleet(1, 1);
    rig.now += std::chrono::seconds(5);
    const auto before = rig.sink.sends_to(101);
    rig.request(safe);
    EXPECT_EQ(rig.sink.sends_to(101) - before, 1u);
}

TEST(Health, ProbesReadmitWhereTheyAreAllowed) {
    Settings s = plain_settings();
    s.may_probe = true;
    Rig rig(s);
    rig.fleet(2);
    rig.all_but(1, 30, Outcome::connect_failed);
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

TEST(Health, AnUpstreamThatTurnsEverythingAwayIsPutOut) {
    Rig rig;
    rig.fleet(4);
    EXPECT_LE(rig.all_but(1, 200, Outcome::full, ms(1)), 6);
}

// Sends waves until the upstreams are known to take several at once.
void warm_up(Rig& rig) {
    for (int round = 0; round < 40; ++round) rig.served_wave(unsafe, 24, ms(4));
}

TEST(Health, ASilentUpstreamIsLeftAlone) {
    Rig rig;
    rig.fleet(3);
    warm_up(rig);
    std::vector<RequestId> others;  // upstream 1 answers nothing more; the others hold about as many of ours
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

// Guards against upstreams that fail one class only, whose other answers would hide it.
TEST(Health, AnUpstreamThatFailsOneClassGetsNoMoreOfItAndAllOfTheOthers) {
    Rig rig;
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
    EXPECT_LE(of_unsafe[1], 3);  // a try now and then
    EXPECT_GE(of_unsafe[2] + of_unsafe[3] + of_unsafe[4], 95);
    EXPECT_GE(of_safe[1], 10);
}

// Guards against idle connections that are dropped unseen: old ones get no answer, young ones do.
TEST(Connections, ThoseOfAnAgeThatGetsNoAnswerAreClosedBeforeASend) {
    // How often they were closed before an old one was used, and before a young one, in 20 rounds of both.
    const auto closes = [](Outcome old, Outcome young) {
        Rig rig;
        rig.fleet(1);
        for (int i = 0; i < 80; ++i) rig.served();
        std::pair<std::size_t, std::size_t> counts;
        const auto one = [&](Micros pause, Outcome outcome) {
            rig.run(rig.now + pause);
            const auto before = rig.sink.closed.size();
            const auto id = rig.request(unsafe);
            const auto renewed = rig.sink.closed.size() - before;
            rig.now += ms(10);
            if (rig.sink.sends(id) == 1) rig.end(id, 0, renewed > 0 ? Outcome::ok : outcome);
            return renewed;
        };
        for (int i = 0; i < 20; ++i) {
            counts.second += one(ms(2), young);
            counts.first += one(ms(300), old);
        }
        return counts;
    };
    for (const auto lost : {Outcome::timeout, Outcome::reset}) {
        EXPECT_GE(closes(lost, Outcome::ok).first, 5u);
        EXPECT_EQ(closes(lost, Outcome::ok).second, 0u);
        EXPECT_EQ(closes(lost, lost).first, 0u);  // the upstream is ill, not its connections
    }
    EXPECT_EQ(closes(Outcome::ok, Outcome::ok).first, 0u);
}

// Guards against connections that suddenly can't be made: each failed one would send work on to open the
// next.
TEST(Connections, WhileNewOnesFailWorkStaysWhereOneIsOpen) {
    const auto new_upstreams = [](bool failing) {
        Rig rig;
        rig.fleet(3);
        for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
        rig.join(4, 12);
        std::set<UpstreamId> met;
        for (int i = 0; i < 60; ++i) {
            const auto id = rig.request(unsafe);
            if (rig.sink.sends(id) != 1) continue;
            const UpstreamId to = rig.sink.submits.back().upstream;
            rig.now += ms(2);
            const bool fails = failing && to > 3;
            if (to > 3) met.insert(to);
            rig.end(id, 0, fails ? Outcome::connect_failed : Outcome::ok, ms(2));
            rig.policy->on_client_gone(rig.now, id);  // no further attempts
        }
        return met.size();
    };
    EXPECT_GE(new_upstreams(false), 8u);
    EXPECT_LE(new_upstreams(true), 4u);
}

// An attempt that never ran (for want of descriptors, say) says nothing of the upstream.
TEST(Moot, LeavesNoConnectionToClose) {
    Settings s = plain_settings();
    s.drain_close = ms(800);
    Rig rig(s);
    rig.fleet(1);
    const auto ids = rig.wave(unsafe, 2);
    ASSERT_EQ(ids.size(), 2u);
    for (const auto id : ids) rig.end(id, 0, Outcome::moot, ms(1));
    rig.drain({1});
    EXPECT_TRUE(rig.sink.closed.empty());
}

TEST(Moot, DoesNotHideThatNewConnectionsFail) {
    Rig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
    rig.join(4, 40);
    rig.each_ends(4, 9, Outcome::connect_failed);
    rig.each_ends(10, 40, Outcome::moot);
    for (int i = 0; i < 30; ++i) {
        const auto id = rig.request(unsafe);
        EXPECT_LE(rig.sink.submits.back().upstream, 3u);  // work stays where a connection is open
        rig.end(id, 0, Outcome::ok, ms(2));
    }
}

TEST(Moot, DoesNotMakeARefusedConnectionAnOpenOne) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 200; ++i) rig.served(safe, ms(2));
    rig.join(5, 12);
    rig.each_ends(5, 12, Outcome::connect_failed);
    const auto failing = rig.pinned(1, unsafe), moot = rig.pinned(1, unsafe);
    rig.end(failing, 0, Outcome::connect_failed, ms(1));
    rig.end(moot, 0, Outcome::moot, ms(1));
    rig.policy->on_client_gone(rig.now, failing);
    rig.policy->on_client_gone(rig.now, moot);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 30; ++i) rig.end(rig.request(unsafe), 0, Outcome::ok, ms(2));
    EXPECT_EQ(rig.sink.sends_to(1), before);
}

TEST(Moot, DoesNotMakeAnIdleConnectionYoung) {
    const auto renewed = [](bool moots) {
        Rig rig;
        rig.fleet(1);
        for (int i = 0; i < 80; ++i) rig.served();
        const auto one = [&](Micros pause, Outcome outcome) {
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
            one(ms(2), Outcome::ok);
            rig.run(rig.now + ms(290));
            if (moots) one(ms(2), Outcome::moot);
            closed += one(ms(2), Outcome::timeout);  // old ones get no answer
        }
        return closed;
    };
    EXPECT_GE(renewed(false), 5u);
    EXPECT_GE(renewed(true), 5u);
}

TEST(Moot, DoesNotMakeAFullUpstreamSeemFree) {
    Rig rig;
    rig.fleet(1);
    for (int i = 0; i < 60; ++i) rig.served_wave(unsafe, 1, ms(66));  // little to spare to the aim
    const auto sent = [&](Outcome outcome) {
        const auto id = rig.request(unsafe);
        if (rig.sink.sends(id) == 0) return false;
        rig.end(id, 0, outcome, ms(1));
        rig.policy->on_client_gone(rig.now, id);
        return true;
    };
    ASSERT_TRUE(sent(Outcome::full) && sent(Outcome::full));
    for (int i = 0; i < 10; ++i) ASSERT_TRUE(sent(Outcome::moot));
    ASSERT_TRUE(sent(Outcome::full));
    EXPECT_FALSE(sent(Outcome::ok));  // to be turned away would cost the aim
}

TEST(Health, ASlowFleetIsNotAManyTimesSickOne) {
    Rig rig;
    rig.fleet(4);
    warm_up(rig);
    for (int i = 0; i < 8; ++i) rig.request(unsafe);
    rig.now += ms(300);  // nobody answers for long: somebody must still be sent to
    const auto id = rig.request(unsafe);
    EXPECT_EQ(rig.sink.sends(id), 1u);
}

// --------------------------------------------------------------------------------- pinned requests

// Where the attempts of one request went.
std::set<UpstreamId> places(const Rig& rig, RequestId id) {
    std::set<UpstreamId> to;
    for (const auto& s : rig.sink.submits) {
        if (s.request == id) to.insert(s.upstream);
    }
    return to;
}

TEST(Pinned, GoesToItsUpstreamOfWhateverZoneOrNowhere) {
    for (const UpstreamId to : {3, 102}) {
        for (const auto outcome : {Outcome::ok, Outcome::error, Outcome::full, Outcome::connect_failed}) {
            Rig rig;
            rig.fleet(6, 4);
            for (int i = 0; i < 60; ++i) rig.served();
            const auto id = rig.pinned(to);
            ASSERT_EQ(rig.sink.sends(id), 1u);
            rig.end(id, 0, outcome, ms(5));
            rig.run(rig.now + ms(900));
            EXPECT_EQ(places(rig, id), std::set<UpstreamId>{to});
            EXPECT_EQ(rig.sink.sends(id) > 1, outcome != Outcome::ok);
        }
    }
}

TEST(Pinned, ToAnUpstreamThatIsNotListedDrainsOrIsGoneIsRefusedAtOnce) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 100; ++i) rig.served(unsafe, ms(4));  // a gap would fit before the aim
    rig.list(ListKind::delta,
             {Rig::entry(1, 0, UpstreamState::draining), Rig::entry(2, 0, UpstreamState::gone)});
    for (const UpstreamId to : {1, 2, 77}) {
        const auto id = rig.pinned(to, unsafe);
        EXPECT_EQ(rig.sink.sends(id), 0u);
        EXPECT_EQ(rig.sink.answers(id), 1u);
    }
    EXPECT_EQ(rig.sink.sends(rig.pinned(3)), 1u);
}

TEST(Pinned, WhatItsUpstreamTurnsAwayWaitsForItAndDoesNotHammerIt) {
    Rig rig;
    rig.fleet(6);
    for (int i = 0; i < 100; ++i) rig.served(unsafe, ms(4));
    const auto id = rig.pinned(3, unsafe);
    rig.end(id, 0, Outcome::full, ms(1));
    EXPECT_EQ(rig.sink.sends(id), 1u);  // others go on at once, elsewhere
    rig.run(rig.now + ms(900));
    EXPECT_GE(rig.sink.sends(id), 2u);
    EXPECT_EQ(places(rig, id), std::set<UpstreamId>{3});
}

TEST(Pinned, NoEffectTwiceHereEither) {
    Rig rig;
    rig.fleet(3);
    const auto id = rig.pinned(2, unsafe);
    rig.end(id, 0, Outcome::reset, ms(1));
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{id});
}

// A fleet that looks unfit altogether still gets ordinary work; a pinned request waits for its own upstream.
TEST(Pinned, IsNotSentToAnUpstreamThatIsPutOut) {
    Rig rig;
    rig.fleet(1);
    for (int i = 0; i < 4; ++i) rig.end(rig.request(unsafe), 0, Outcome::error, ms(1));
    const auto id = rig.pinned(1, unsafe);
    EXPECT_EQ(rig.sink.sends(id), 0u);
    EXPECT_EQ(rig.sink.sends(rig.request(unsafe)), 1u);
    rig.run(rig.now + ms(900));
    EXPECT_EQ(rig.sink.answers(id), 1u);
}

TEST(Pinned, IsATrialOfItsOwnUpstreamOnly) {
    Rig rig;
    rig.fleet(3);
    rig.all_but(1, 60, Outcome::connect_failed);
    rig.now += std::chrono::seconds(5);  // 1 is out, and due for a trial
    EXPECT_EQ(places(rig, rig.pinned(2)), std::set<UpstreamId>{2});
    EXPECT_EQ(places(rig, rig.pinned(1)), std::set<UpstreamId>{1});
    EXPECT_EQ(places(rig, rig.pinned(1)), std::set<UpstreamId>{});  // one trial at a time
}

TEST(Pinned, KeepsToTheColdBudget) {
    Rig rig;
    rig.fleet(4);
    for (int i = 0; i < 400; ++i) rig.served();
    rig.restart(1);
    const auto before = rig.sink.sends_to(1);
    for (int i = 0; i < 400; ++i) {  // one fall span
        const auto id = rig.pinned(1, unsafe, ms(60));
        rig.run(rig.now + ms(5));
        if (rig.sink.sends(id) == 1) rig.end(id, 0, Outcome::ok, ms(5));
    }
    // Warm ones answered 25 a second for us; a quarter of that for two seconds, and as much saved up for one.
    EXPECT_GE(rig.sink.sends_to(1) - before, 2u);
    EXPECT_LE(rig.sink.sends_to(1) - before, 25u);
}

// Where new connections fail, work stays where one is open; a pinned request has no such choice.
TEST(Pinned, MayOpenAConnectionWhileOthersKeepToOpenOnes) {
    Rig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(2));
    rig.join(4, 12);
    rig.each_ends(4, 9, Outcome::connect_failed);
    for (int i = 0; i < 30; ++i) {
        const auto id = rig.request(unsafe);
        EXPECT_LE(rig.sink.submits.back().upstream, 3u);
        rig.end(id, 0, Outcome::ok, ms(2));
    }
    EXPECT_EQ(places(rig, rig.pinned(11)), std::set<UpstreamId>{11});
}

// ------------------------------------------------------------------------------------------- refusal

TEST(Refusal, RoomIsKeptForTheClassWorthMostForItsWork) {
    Settings s = plain_settings();
    s.classes[unsafe].worth = 10;
    Rig rig(s);
    rig.fleet(2);
    for (int round = 0; round < 20; ++round) {  // both are met, several at once
        const auto a = rig.wave(safe, 4), b = rig.wave(unsafe, 4);
        rig.now += ms(10);
        rig.answer(a, ms(10));
        rig.answer(b, ms(10));
    }
    const auto poor = rig.wave(safe, 40);
    const auto rich = rig.wave(unsafe, 40);
    EXPECT_GT(poor.size(), 0u);
    EXPECT_LT(poor.size(), 40u);
    EXPECT_GT(rich.size(), 0u);
}

// Guards against a tenant that crowds out the others.
TEST(Refusal, WhatATenantSendsBeyondItsShareIsShedFirst) {
    Settings s = plain_settings();
    s.tenants = {{"loud", 10}, {"quiet", 10}};
    s.over_share_worth = 0.1;
    Rig rig(s);
    rig.fleet(4);
    for (int round = 0; round < 40; ++round) {  // far beyond one share, within the other
        const auto loud = rig.wave(unsafe, 8, 0), quiet = rig.wave(unsafe, 1, 1);
        rig.now += ms(100);
        rig.answer(loud, ms(10));
        rig.answer(quiet, ms(10));
    }
    const auto loud = rig.wave(unsafe, 60, 0).size();
    EXPECT_GT(loud, 0u);
    EXPECT_GT(rig.wave(unsafe, 4, 1).size(), 0u);  // where the loud one gets no more, the quiet one does
    EXPECT_EQ(rig.wave(unsafe, 4, 0).size(), 0u);
}

// Guards against upstreams that get less done the more they hold.
TEST(Refusal, ACrowdedUpstreamGetsLessAtATime) {
    Rig rig;
    rig.fleet(1);
    const auto wave = [&](Micros latency) {
        const auto sent = rig.served_wave(unsafe, 30, latency);
        rig.now += std::chrono::seconds(2);
        return sent;
    };
    EXPECT_EQ(wave(ms(4)), 2u);  // nothing is known of it yet
    for (int i = 0; i < 80; ++i) wave(ms(4));
    const auto before = wave(ms(4));
    EXPECT_GT(before, 2u);
    for (int i = 0; i < 60; ++i) wave(ms(20));
    EXPECT_LT(wave(ms(20)), before);
}

// Guards against many balancers that each send just a little to every upstream and together jam them all.
// Guards against a room that shrinks only slowly while nothing is answered any more.
TEST(Refusal, TimeOutsCutTheRoomLikeFullRefusals) {
    const auto sent_after = [](Outcome outcome) {
        Settings s = plain_settings();
        s.balancers = 10;
        Rig rig(s);
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

TEST(Refusal, OneOfManyBalancersKeepsBelowOneAnUpstreamInAJam) {
    Settings s = plain_settings();
    s.balancers = 20;
    Rig rig(s);
    rig.fleet(20, 20);
    const auto wave = [&](Micros latency) { return rig.served_wave(unsafe, 60, latency); };
    for (int i = 0; i < 100; ++i) wave(ms(4));
    EXPECT_GE(wave(ms(4)), 20u);
    for (int i = 0; i < 30; ++i) wave(ms(30));  // each holds little of ours, and still all are slow
    const auto jammed = wave(ms(30));
    EXPECT_LT(jammed, 20u);
    EXPECT_GE(jammed, 3u);  // but never below the fair share
    for (int i = 0; i < 300; ++i) wave(ms(4));
    EXPECT_GE(wave(ms(4)), 20u);  // and it comes back
}

// Guards against a start into a crowd, which would teach its latencies as the usual ones.
// Guards against a stall of the balancer itself: what waited meanwhile ends with the aim that it came with.
TEST(AttemptLife, WhatWaitedInAStallOfOurOwnEndsWithItsTrueAim) {
    Settings s = plain_settings();
    for (auto& c : s.classes) c.late_worth = 0;
    const auto stalled = [&](Micros stall, Micros left) {
        Rig rig(s);
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
    EXPECT_EQ(stalled(ms(0), ms(1000)), ms(100));    // no stall: the whole aim is left
    EXPECT_EQ(stalled(ms(500), ms(1000)), ms(100));  // came in after it
    EXPECT_GT(stalled(ms(500), ms(960)), ms(55));    // waited 40 ms
    EXPECT_LT(stalled(ms(500), ms(960)), ms(65));
    EXPECT_EQ(stalled(ms(500), ms(800)), ms(0));  // past its aim before it was seen
    EXPECT_EQ(stalled(ms(0), ms(800)), ms(100));  // a client's short try, no stall
}

TEST(Refusal, AtTheStartAllBalancersTogetherHoldFew) {
    Settings s = plain_settings();
    s.balancers = 10;
    Rig rig(s);
    rig.fleet(10);
    const auto sent = rig.wave(unsafe, 20);
    EXPECT_GE(sent.size(), 3u);
    EXPECT_LE(sent.size(), 9u);
    rig.answer(sent, ms(4));
    for (int i = 0; i < 100; ++i) rig.served_wave(unsafe, 20, ms(4));
    EXPECT_EQ(rig.served_wave(unsafe, 20, ms(4)), 20u);
}

// Guards against a refusal that comes late and with nothing sent: the client has lost the time to ask
// elsewhere.
TEST(Refusal, AnOriginalWaitsNoLongerThanItsClientCanSpare) {
    for (const long left : {1000, 100}) {
        Rig rig;
        rig.list(ListKind::full, {Rig::entry(1, 0, UpstreamState::draining)});
        const auto id = rig.request(safe, ms(left));
        const auto asked = rig.now;
        while (rig.sink.answers(id) == 0) rig.run(rig.now + ms(1));
        EXPECT_EQ(rig.sink.sends(id), 0U);
        EXPECT_LE(rig.now - asked, std::min(ms(left) * 45 / 100, ms(80)));
    }
}

// Guards against a long day on which every upstream that ever died and left counts as missing: the fleet
// would seem smaller and smaller, and the room with it.
TEST(Refusal, WhoHasLeftIsNotMissed) {
    const auto in_a_jam_after = [](UpstreamId left) {
        Settings s = plain_settings();
        s.balancers = 4;
        Rig rig(s);
        for (UpstreamId id = 1000; id < 1000 + left; ++id) {
            rig.list(ListKind::full, {Rig::entry(id)});
            for (int i = 0; i < 4; ++i) {
                const auto request = rig.request(unsafe);
                for (std::size_t a = 0; a < rig.sink.sends(request); ++a) {
                    rig.end(request, static_cast<int>(a), Outcome::connect_failed, ms(1));
                }
            }
            rig.now += ms(1000);
        }
        rig.fleet(20);
        for (int i = 0; i < 100; ++i) rig.served_wave(unsafe, 60, ms(4));
        for (int i = 0; i < 30; ++i) rig.served_wave(unsafe, 60, ms(30));
        return rig.wave(unsafe, 60).size();
    };
    EXPECT_GE(in_a_jam_after(0), 10U);
    EXPECT_GE(in_a_jam_after(15), 10U);
}

// Guards against a place given to a newcomer while a request still remembers who had it: its attempt must
// count where it ran.
TEST(TheList, PlacesOfThoseThatLeftAreUsedAgainOnceNothingRemembersThem) {
    Rig rig;
    rig.list(ListKind::full, {Rig::entry(1)});
    const auto held = rig.request(keyed_zone);
    ASSERT_EQ(rig.sink.sends_to(1), 1U);
    for (UpstreamId id = 2; id < 50; ++id) {
        rig.list(ListKind::full, {Rig::entry(id, 1)});  // in the other zone: the held one may not go there
        rig.served();
        EXPECT_EQ(rig.sink.submits.back().upstream, id);
    }
    rig.end(held, 0, Outcome::error, ms(5));
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(held), 1U);
    EXPECT_EQ(rig.sink.answers(held), 1U);
}

// Guards against jams of balancers that each hold just one: the room may be less than one attempt.
TEST(Refusal, InAJamABalancerWithLessThanOneAttemptToHoldPausesBetweenThem) {
    Settings s = plain_settings();
    s.balancers = 200;
    Rig rig(s);
    rig.fleet(20);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {  // one at a time, all late, from the first one on
        const auto id = rig.request(unsafe);
        const bool goes = rig.sink.sends(id) == 1;
        rig.now += ms(90);
        if (goes) rig.end(id, 0, Outcome::ok, ms(90));
        if (i >= 50) sent += goes;
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 40);
}

// Guards against cutting again for what was sent before the last cut: the room would swing from end to end.
TEST(Refusal, OneCrowdedWaveCutsTheRoomOnce) {
    Settings s = plain_settings();
    s.balancers = 20;
    Rig rig(s);
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

// ------------------------------------------------------------------------- settings that change meanwhile

// When the timer of a request that was just sent fires: T1 of its class.
Micros timer_of(Rig& rig, int class_index) {
    const auto id = rig.request(class_index);
    EXPECT_EQ(rig.sink.sends(id), 1u);
    const Micros timer = rig.sink.timers.back().first - rig.now;
    rig.policy->on_client_gone(rig.now, id);
    rig.end(id, 0, Outcome::cancelled);
    return timer;
}

TEST(OnSettings, ContradictionsChangeNothing) {
    const auto play = [](bool broken) {
        Rig rig;
        rig.fleet(3);
        for (int i = 0; i < 40; ++i) rig.served(i % 5);
        const auto open = rig.request(unsafe);
        Settings s = plain_settings();
        s.classes.pop_back();
        s.zone = 7;
        if (broken) {
            EXPECT_THROW(rig.policy->on_settings(rig.now, s), std::invalid_argument);
        }
        rig.end(open, 0, Outcome::error);
        for (int i = 0; i < 40; ++i) rig.served(i % 5);
        rig.run(rig.now + ms(1000));
        return rig.sink.script;
    };
    EXPECT_EQ(play(true), play(false));
}

TEST(OnSettings, WhatWasLearnedOfAClassMovesWithIt) {
    Rig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(safe, ms(30));
    for (int i = 0; i < 100; ++i) rig.served(keyed_all, ms(40));
    const Micros was_safe = timer_of(rig, safe), was_keyed = timer_of(rig, keyed_all);
    EXPECT_LT(was_safe, was_keyed);
    EXPECT_LT(was_keyed, ms(80));  // where nothing is known
    Settings s = plain_settings();
    std::reverse(s.classes.begin(), s.classes.end());
    rig.policy->on_settings(rig.now, s);
    EXPECT_EQ(timer_of(rig, 4 - safe), was_safe);
    EXPECT_EQ(timer_of(rig, 4 - keyed_all), was_keyed);
    s.classes[4 - safe].name = "new";
    s.classes[4 - keyed_all].group = Group::zone;
    rig.policy->on_settings(rig.now, s);
    EXPECT_EQ(timer_of(rig, 4 - safe), ms(80));
    EXPECT_EQ(timer_of(rig, 4 - keyed_all), ms(80));
}

TEST(OnSettings, WhatUpstreamsLearnedForAClassMovesWithIt) {
    Rig rig;
    rig.fleet(4);
    const auto serve = [&](int class_index, bool failing) {
        const auto id = rig.request(class_index);
        const UpstreamId to = rig.sink.submits.back().upstream;
        rig.now += ms(2);
        rig.end(id, 0, failing && to == 1 ? Outcome::error : Outcome::ok, ms(2));
        rig.policy->on_client_gone(rig.now, id);
        return to;
    };
    for (int i = 0; i < 200; ++i) {  // 1 loses all of one class and answers the other
        serve(unsafe, true);
        serve(safe, false);
    }
    Settings s = plain_settings();
    std::rotate(s.classes.begin(), s.classes.begin() + 1, s.classes.end());
    rig.policy->on_settings(rig.now, s);
    int of_unsafe = 0, of_safe = 0;
    for (int i = 0; i < 60; ++i) {
        of_unsafe += serve(unsafe - 1, true) == 1;
        of_safe += serve(4, false) == 1;
    }
    EXPECT_LE(of_unsafe, 3);
    EXPECT_GE(of_safe, 6);
}

// The class at the same place is another one now: it must say nothing of what began before.
TEST(OnSettings, AnOpenRequestEndsUnderTheEffectThatItCameWith) {
    for (const int class_index : {static_cast<int>(unsafe), static_cast<int>(keyed_cell)}) {
        Rig rig;
        rig.list(ListKind::full, {Rig::entry(1, 0, UpstreamState::ready, Time{}, 1), Rig::entry(2)});
        const auto id = rig.request(class_index);
        const auto first = rig.sink.submits.back().upstream;
        Settings s = plain_settings();
        s.classes = {s.classes[safe]};
        rig.policy->on_settings(rig.now, s);
        s.classes.push_back(s.classes[safe]);
        s.classes.back().name = "another";
        rig.policy->on_settings(rig.now, s);  // and again
        rig.end(id, 0, Outcome::reset, ms(1));
        rig.run(rig.now + ms(1000));
        EXPECT_EQ(rig.sink.sends_to(3 - first), 0u);
        EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{id});
        EXPECT_TRUE(rig.sink.refused.empty());
    }
}

TEST(OnSettings, AClassThatIsGoneTakesNoNewRequestsAndIsForgottenWithItsLast) {
    Rig rig;
    rig.fleet(3);
    for (int i = 0; i < 100; ++i) rig.served(keyed_all, ms(4));
    const auto held = rig.request(keyed_all);
    Settings s = plain_settings();
    s.classes = {s.classes[safe]};
    rig.policy->on_settings(rig.now, s);
    const auto stray = rig.request(1);  // its place behind the listed ones
    EXPECT_EQ(rig.sink.failed, std::vector<RequestId>{stray});
    rig.end(held, 0, Outcome::ok, ms(4));
    rig.policy->on_settings(rig.now, s);
    rig.policy->on_settings(rig.now, plain_settings());  // back: it starts fresh
    const auto id = rig.request(keyed_all);
    EXPECT_EQ(rig.sink.timers.back().first - rig.now, ms(80));
    EXPECT_EQ(rig.sink.sends(id), 1u);
}

TEST(OnSettings, TenantsKeepWhatTheyHaveLeft) {
    const auto sent_after = [](bool renamed) {
        Settings s = plain_settings();
        s.tenants = {{"loud", 100}, {"quiet", 100}};
        s.over_share_worth = 0.1;
        Rig rig(s);
        rig.fleet(4);
        for (int round = 0; round < 60; ++round) rig.served_wave(unsafe, 40, ms(4));
        rig.answer(rig.wave(unsafe, 300, 0), ms(4));  // all that it had saved up
        s.tenants = {{"new", 100}, {"quiet", 100}, {renamed ? "louder" : "loud", 100}};
        rig.policy->on_settings(rig.now, s);
        return rig.wave(unsafe, 150, 2).size();
    };
    EXPECT_GT(sent_after(true), sent_after(false));
}

TEST(OnSettings, ZonesRulesAndTheListFollow) {
    Settings s = plain_settings();
    Rig rig(s);
    rig.fleet(3, 3);
    for (int i = 0; i < 30; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(101) + rig.sink.sends_to(102) + rig.sink.sends_to(103), 0u);
    s.zone = 1;
    rig.policy->on_settings(rig.now, s);
    const auto before = rig.sink.sends_to(1) + rig.sink.sends_to(2) + rig.sink.sends_to(3);
    for (int i = 0; i < 30; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(1) + rig.sink.sends_to(2) + rig.sink.sends_to(3), before);

    rig.drain({1});
    EXPECT_TRUE(rig.sink.closed.empty());
    s.drain_close = ms(800);  // the rule is told only now
    s.must_ask_list = true;
    s.ask_within = ms(500);
    rig.policy->on_settings(rig.now, s);
    EXPECT_EQ(rig.sink.closed, std::vector<UpstreamId>{1});
    rig.run(rig.now + ms(600));
    const int asked = rig.sink.watches;
    EXPECT_GE(asked, 1);
    s.must_ask_list = false;
    rig.policy->on_settings(rig.now, s);
    rig.run(rig.now + ms(5000));
    EXPECT_EQ(rig.sink.watches, asked);
}

// --------------------------------------------------------------------- odd events, settings, repetition

TEST(OddEvents, UnknownOnesAreIgnored) {
    Rig rig;
    rig.fleet(2);
    const auto before = rig.sink.script.size();
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
    rig.end(id, 0, Outcome::error);  // twice
    rig.run(rig.now + ms(2000));
    EXPECT_EQ(rig.sink.sends(id), 1u);
    EXPECT_EQ(rig.sink.answers(id), 0u);
    EXPECT_GT(rig.sink.script.size(), before);
}

TEST(OddSettings, ContradictionsAreNamed) {
    const auto refused = [](auto change) -> std::string {
        Settings s = plain_settings();
        change(s);
        Recorder sink;
        try {
            Policy policy(s, 1, Time{}, sink);
        } catch (const std::invalid_argument& error) {
            return error.what();
        }
        return "";
    };
    struct Row {
        const char* told;  // a word of it
        void (*change)(Settings&);
    };
    for (const Row& row : std::vector<Row>{
             {"rank", [](Settings& s) { s.rank = 5; }},
             {"zone", [](Settings& s) { s.zone = 2; }},
             {"tick", [](Settings& s) { s.tick = Micros{0}; }},
             {"classes", [](Settings& s) { s.classes.clear(); }},
             {"max_attempts", [](Settings& s) { s.max_attempts = 0; }},
             {"drain_close", [](Settings& s) { s.drain_close = Micros{-1}; }},
             {"cold_share", [](Settings& s) { s.cold_share = 0; }},
             {"ask_within", [](Settings& s) { s.must_ask_list = true; }},
             {"deadline", [](Settings& s) { s.classes[0].aim = ms(2000); }},
             {"window", [](Settings& s) { s.classes[keyed_zone].window = Micros{0}; }},
         }) {
        EXPECT_NE(refused(row.change).find(row.told), std::string::npos) << row.told;
    }
    EXPECT_EQ(refused([](Settings&) {}), "");
}

TEST(OddSettings, OneZoneOneUpstreamOneAttemptNoCancelNoReports) {
    Settings s = plain_settings();
    s.zones = 1;
    s.max_attempts = 1;
    s.may_cancel = s.parallel_attempts = false;
    s.classes[safe].streams = true;
    Rig rig(s);
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

TEST(Repetition, TheSameEventsGiveTheSameActions) {
    const auto play = [](std::uint64_t seed) {
        Rig rig(plain_settings(), seed);
        rig.fleet(5, 3);
        for (int i = 0; i < 300; ++i) {
            const auto id = rig.request(i % 5);
            rig.now += ms(i % 7);
            constexpr Outcome outcomes[] = {Outcome::ok, Outcome::ok, Outcome::full, Outcome::error,
                                            Outcome::timeout};
            if (rig.sink.sends(id) > 0) rig.end(id, 0, outcomes[i % 5], ms(i % 40));
            rig.run(rig.now + ms(3));
        }
        return rig.sink.script;
    };
    EXPECT_EQ(play(3), play(3));
    EXPECT_NE(play(3), play(4));
}

}  // namespace
}  // namespace flaxdoor::test
