// What is believed after a start: a test above each rule of recovery/belief.h.
#include "recovery/belief.h"

#include <limits>
#include <set>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

const core::Member* find(const core::MemberList& list, UpstreamId id) {
    for (const auto& m : list.members) {
        if (m.entry.id == id) return &m;
    }
    return nullptr;
}
UpstreamMemory memory_of(const Belief& belief, UpstreamId id) {
    const auto* const m = find(belief.list, id);
    if (!m || !m->entry.memory) {
        ADD_FAILURE() << "no memory of " << id;
        return {};
    }
    return *m->entry.memory;
}
bool remembered(const Belief& belief, UpstreamId id) {
    const auto* const m = find(belief.list, id);
    return m && m->entry.memory;
}

TEST(Belief, NothingStoredLeavesTheConfigurationsListAlone) {
    const auto belief = believe_at(now0, list(7, {member(1)}), {});
    EXPECT_FALSE(belief.stored);
    EXPECT_EQ(belief.list.version, 7U);
    EXPECT_EQ(belief.list.kind, ListKind::cached);
    EXPECT_FALSE(remembered(belief, 1));
}

// Rule 1.
TEST(Belief, AnotherHistoryIsNotUsedNorWhatWasLearnedWithIt) {
    const History others[] = {{"127.0.0.1:8501", "api", "n0"}, {"127.0.0.1:8500", "api", "n1"}};
    for (const History& other : others) {
        const auto belief = believe_at(now0, list(7, {member(1)}),
                                       stored(99, {member(1), member(2)}, {{1, memory()}}, now0, other));
        EXPECT_FALSE(belief.stored);
        EXPECT_TRUE(belief.other_history);
        EXPECT_EQ(belief.list.version, 7U);
        EXPECT_EQ(belief.list.members.size(), 1U);
        EXPECT_FALSE(remembered(belief, 1));
    }
    // Of another pool there is nothing under this one's keys.
    Shelf shelf;
    Recorder recorder({"127.0.0.1:8500", "api2", "n0"}, {}, now0);
    shelf.tell(recorder, now0, list(99, {member(2)}, ListKind::full));
    EXPECT_FALSE(believe_at(now0, list(7, {member(1)}), shelf.read()).stored);
}

// Rule 2.
TEST(Belief, AllThereIsToKnowStaysSo) {
    const auto belief = believe_at(now0, list(0, {member(1)}, ListKind::full),
                                   stored(99, {member(1), member(2)}, {{1, memory()}}, now0));
    EXPECT_EQ(belief.list.kind, ListKind::full);
    EXPECT_EQ(belief.list.members.size(), 1U);
    EXPECT_TRUE(remembered(belief, 1));
}

// Rules 3 and 4.
TEST(Belief, TheNewerSequenceWins) {
    const auto from = [] {
        return stored(9, {member(2), member(3, UpstreamState::draining)}, {{2, memory()}}, now0);
    };
    const auto older = believe_at(now0 + seconds(30), list(8, {member(1)}), from());
    EXPECT_TRUE(older.stored);
    EXPECT_EQ(older.list.version, 9U);
    EXPECT_EQ(older.list.kind, ListKind::cached);
    EXPECT_EQ(older.list.age, seconds(30));
    EXPECT_EQ(find(older.list, 1), nullptr);
    EXPECT_EQ(find(older.list, 2)->address, "10.0.0.2:5000");
    EXPECT_EQ(find(older.list, 3)->entry.state, UpstreamState::draining);  // nor a drained one as ready
    EXPECT_TRUE(remembered(older, 2));

    const auto newer = believe_at(now0, list(10, {member(1), member(2), member(3)}), from());
    EXPECT_FALSE(newer.stored);
    EXPECT_EQ(newer.list.version, 10U);
    EXPECT_EQ(find(newer.list, 3)->entry.state, UpstreamState::ready);  // told since: it was taken back
    EXPECT_TRUE(remembered(newer, 2));
}

TEST(Belief, OfEqualSequencesTheConfigurationsButWhoDrainsDrains) {
    const auto same = believe_at(
        now0, list(9, {member(2), member(3), member(4, UpstreamState::ready, now0)}),
        stored(9, {member(2), member(3, UpstreamState::draining), member(4, UpstreamState::draining)}, {},
               now0));
    EXPECT_FALSE(same.stored);
    EXPECT_EQ(find(same.list, 2)->entry.state, UpstreamState::ready);
    EXPECT_EQ(find(same.list, 3)->entry.state, UpstreamState::draining);
    EXPECT_EQ(find(same.list, 4)->entry.state, UpstreamState::ready);  // a later process
}

// Rule 5.
TEST(Belief, WhatWasLearnedBelongsToAnAddressAndAStart) {
    const auto from = [] {
        return stored(9, {member(1), member(2), member(3, UpstreamState::ready, now0 - minutes(5))},
                      {{1, memory()}, {2, memory()}, {3, memory()}}, now0);
    };
    const auto belief = believe_at(now0 + seconds(1),
                                   list(10, {member(1, UpstreamState::ready, Time{}, "10.0.0.77:5000"),
                                             member(2, UpstreamState::ready, now0 + ms(500)),
                                             member(3, UpstreamState::ready, now0 - minutes(5))}),
                                   from());
    EXPECT_FALSE(remembered(belief, 1));
    EXPECT_FALSE(remembered(belief, 2));
    EXPECT_TRUE(remembered(belief, 3));
}

// Rule 6.
TEST(Belief, MemoryFadesByHalfWithEachHalfLife) {
    const auto after = [](Micros age) {
        return memory_of(
            believe_at(now0 + age, list(1, {}), stored(9, {member(1)}, {{1, memory(8000, 18)}}, now0)), 1);
    };
    EXPECT_DOUBLE_EQ(after(Micros{0}).latency_us, 8000);
    EXPECT_DOUBLE_EQ(after(Micros{0}).limit, 18);
    EXPECT_DOUBLE_EQ(after(minutes(10)).latency_us, 4000);
    EXPECT_DOUBLE_EQ(after(minutes(10)).idle_us, 2000);
    EXPECT_DOUBLE_EQ(after(minutes(10)).limit, 10);  // half of the way to a new one's
    EXPECT_DOUBLE_EQ(after(minutes(30)).limit, 4);
    double last = 1e9;
    for (int age = 0; age <= 60; ++age) {
        const auto m = after(minutes(age));
        EXPECT_LE(m.limit, last);
        last = m.limit;
    }
    EXPECT_EQ(after(minutes(41)), UpstreamMemory{});
    EXPECT_EQ(after(std::chrono::hours(24 * 365)), UpstreamMemory{});
}

// What has learned nothing new since a start does not fade twice, nor is it made young by being written
// again.
TEST(Belief, FadesTheSameOverTwoStartsAsOverOne) {
    const auto first =
        believe_at(now0 + minutes(6), list(1, {}), stored(9, {member(1)}, {{1, memory(8000, 18)}}, now0));
    Shelf shelf;
    Recorder recorder(here, first.list, now0 + minutes(6));
    shelf.tell(recorder, now0 + minutes(8), list(9, {}, ListKind::delta));
    shelf.learn(recorder, now0 + minutes(8),
                [&](UpstreamId id) { return std::optional(memory_of(first, id)); });
    const auto second = memory_of(believe_at(now0 + minutes(10), list(1, {}), shelf.read()), 1);
    EXPECT_NEAR(second.limit, 10, 1e-6);
    EXPECT_NEAR(second.latency_us, 4000, 1e-6);
}

// Rule 7: a remembered upstream is never warmer than it can be.
TEST(Belief, OneThatMayBeColdGetsNoMoreThanANewOne) {
    struct Line {
        const char* what;
        Time found_cold, stored_start;  // as this balancer found by itself; as the kept list has it
        core::MemberList known;         // by the configuration
        Micros age;
        Time cold_since;
        bool as_new;
    };
    const Time start = now0 - seconds(2);
    const Line lines[] = {
        {"found cold", now0 - seconds(1), Time{}, list(1, {}), seconds(1), now0 - seconds(1), true},
        {"listed as cold", Time{}, start, list(1, {}), seconds(1), start, true},
        {"no configuration makes it older", Time{}, start, list(10, {member(1)}), seconds(1), start, true},
        {"warm by now", Time{}, start, list(1, {}), seconds(7), start, false},
    };
    for (const Line& line : lines) {
        auto was = memory();
        was.cold_since = line.found_cold;
        const auto m = memory_of(
            believe_at(now0 + line.age, line.known,
                       stored(9, {member(1, UpstreamState::ready, line.stored_start)}, {{1, was}}, now0)),
            1);
        EXPECT_EQ(m.cold_since, line.cold_since) << line.what;
        EXPECT_EQ(m.limit == UpstreamMemory{}.limit, line.as_new) << line.what << ": " << m.limit;
    }
}

// Rule 8.
TEST(Belief, WhoWasOutIsOut) {
    auto failing = memory();
    failing.out = true;
    failing.strikes = 5;
    failing.answered_at = now0;
    failing.out_until = now0 + seconds(2);
    auto dead = failing;
    dead.died = true;
    const auto after = [&](Micros age, UpstreamId id) {
        return memory_of(believe_at(now0 + age, list(1, {}),
                                    stored(9, {member(1), member(2)}, {{1, failing}, {2, dead}}, now0)),
                         id);
    };
    EXPECT_TRUE(after(seconds(1), 1).out);
    EXPECT_EQ(after(seconds(1), 1).out_until, now0 + seconds(2));  // not sooner
    EXPECT_EQ(after(seconds(1), 1).strikes, 5);
    EXPECT_TRUE(after(minutes(30), 1).out);
    EXPECT_EQ(after(minutes(30), 1).out_until, now0 + minutes(30));  // its time is over: tried again
    EXPECT_FALSE(after(minutes(50), 1).out);
    EXPECT_EQ(after(minutes(50), 1).strikes, 0);
    EXPECT_TRUE(after(std::chrono::hours(100), 2).out);
    EXPECT_TRUE(after(std::chrono::hours(100), 2).died);
}

TEST(Belief, BalancersTryOneThatWasOutAtTimesOfTheirOwn) {
    auto dead = memory();
    dead.out = dead.died = true;
    dead.out_until = now0 - seconds(1);
    std::set<Time> times;
    for (int rank = 0; rank < 12; ++rank) {
        Settings s = settings();
        s.rank = rank;
        const auto m =
            memory_of(believe_at(now0, list(1, {}), stored(9, {member(1)}, {{1, dead}}, now0), s), 1);
        EXPECT_GE(m.out_until, now0);
        EXPECT_LE(m.out_until, now0 + s.ramp_time);
        times.insert(m.out_until);
    }
    EXPECT_EQ(times.size(), 12U);
    // However long it was to be out: a figure that can't be keeps it out no longer than the longest.
    dead.out_until = now0 + std::chrono::hours(1000);
    const auto m = memory_of(believe_at(now0, list(1, {}), stored(9, {member(1)}, {{1, dead}}, now0)), 1);
    EXPECT_LE(m.out_until, now0 + settings().ramp_time);
}

// Rule 9: an hour back. The server had run for two seconds when it was last heard of: it is that old, not
// older (warm) and not born in the future (cold for an hour).
TEST(Belief, WhenTheClockHasGoneBackNoTimeHasPassed) {
    auto dead = memory();
    dead.out = dead.died = true;
    dead.out_until = now0 + seconds(3);
    const Time back = now0 - std::chrono::hours(1);
    const auto belief = believe_at(back, list(1, {}),
                                   stored(9,
                                          {member(1, UpstreamState::ready, now0 - seconds(2)),
                                           member(2, UpstreamState::draining), member(3), member(4)},
                                          {{1, memory()}, {3, dead}, {4, memory()}}, now0));
    EXPECT_TRUE(belief.clock_went_back);
    EXPECT_TRUE(belief.stored);
    EXPECT_EQ(belief.list.age, Micros{0});
    EXPECT_EQ(find(belief.list, 1)->entry.started_at, back - seconds(2));
    EXPECT_EQ(memory_of(belief, 1).cold_since, back - seconds(2));
    EXPECT_EQ(memory_of(belief, 1).limit, UpstreamMemory{}.limit);
    EXPECT_EQ(find(belief.list, 2)->entry.state, UpstreamState::draining);
    EXPECT_TRUE(memory_of(belief, 3).out);
    EXPECT_EQ(memory_of(belief, 3).out_until, back + seconds(3));
    // How long ago it was can't be told: what fades is forgotten.
    EXPECT_EQ(memory_of(belief, 4).limit, UpstreamMemory{}.limit);
    EXPECT_EQ(memory_of(belief, 4).latency_us, 0);
    for (const auto& m : belief.list.members) {
        if (!m.entry.memory) continue;
        EXPECT_LE(m.entry.memory->answered_at, back);
        EXPECT_LE(m.entry.memory->cold_since, back);
    }
    // A clock that was set by a little is no such clock.
    const auto slight =
        believe_at(now0 - ms(300), list(1, {}), stored(9, {member(1)}, {{1, memory()}}, now0));
    EXPECT_FALSE(slight.clock_went_back);
    EXPECT_EQ(memory_of(slight, 1).limit, memory().limit);
}

// Whole and well sealed, and still nothing that any module writes: no number leaves its range, whatever is
// done with it.
TEST(Belief, AbsurdValuesStayWithinTheirRange) {
    constexpr auto most = std::numeric_limits<std::int64_t>::max();
    for (const double figure : {-1e9, -1.0, 0.0, 0.5, 1e300}) {
        for (const Time time : {Time(most), Time(-most), Time(-1)}) {
            UpstreamMemory absurd = memory(figure, figure);
            absurd.strikes = std::numeric_limits<int>::max();
            absurd.out = true;
            absurd.out_until = absurd.answered_at = absurd.cold_since = time;
            const auto belief = believe_at(
                now0, list(1, {}), stored(9, {member(1, UpstreamState::ready, time)}, {{1, absurd}}, now0));
            const auto m = memory_of(belief, 1);
            EXPECT_GE(m.limit, 1);
            EXPECT_LE(m.limit, 65'535);
            EXPECT_GE(m.latency_us, 0);
            EXPECT_GE(m.idle_us, 0);
            EXPECT_LE(m.strikes, 1000);
            for (const Time each :
                 {belief.list.members[0].entry.started_at, m.out_until, m.answered_at, m.cold_since}) {
                EXPECT_GE(each, Time{});
                EXPECT_LE(each, Time(most / 4 + 1));
            }
        }
    }
}

}  // namespace
}  // namespace flaxdoor::recovery::test
