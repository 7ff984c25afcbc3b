// Tests of the restored state, one for each rule of recovery/restored_state.h.
#include "recovery/restored_state.h"

#include <limits>
#include <set>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

const core::Member* find(const core::MemberList& list, UpstreamId id) {
    for (const auto& member : list.members) {
        if (member.entry.id == id) return &member;
    }
    return nullptr;
}
LearnedState memory_of(const RestoredState& restored, UpstreamId id) {
    const auto* const member = find(restored.list, id);
    if (!member || !member->entry.restored) {
        ADD_FAILURE() << "no learned state of " << id;
        return {};
    }
    return *member->entry.restored;
}
bool remembered(const RestoredState& restored, UpstreamId id) {
    const auto* const member = find(restored.list, id);
    return member && member->entry.restored;
}

TEST(Belief, WithoutASnapshotTheConfiguredListIsUsed) {
    const auto restored = restore_at(now0, list(7, {member(1)}), {});
    EXPECT_FALSE(restored.stored);
    EXPECT_EQ(restored.list.version, 7U);
    EXPECT_EQ(restored.list.kind, ListKind::cached);
    EXPECT_FALSE(remembered(restored, 1));
}

// Rule 1.
TEST(Belief, AListFromAnotherOriginIsNotUsedNorIsItsLearnedState) {
    const ListOrigin others[] = {{"127.0.0.1:8501", "api", "n0"}, {"127.0.0.1:8500", "api", "n1"}};
    for (const ListOrigin& other : others) {
        const auto restored =
            restore_at(now0, list(7, {member(1)}),
                       stored_snapshot(99, {member(1), member(2)}, {{1, memory()}}, now0, other));
        EXPECT_FALSE(restored.stored);
        EXPECT_TRUE(restored.different_origin);
        EXPECT_EQ(restored.list.version, 7U);
        EXPECT_EQ(restored.list.members.size(), 1U);
        EXPECT_FALSE(remembered(restored, 1));
    }
    // The keys of another pool are not read.
    MapStore map_store;
    Recorder recorder({"127.0.0.1:8500", "api2", "n0"}, {}, now0);
    map_store.receive_list(recorder, now0, list(99, {member(2)}, ListKind::full));
    EXPECT_FALSE(restore_at(now0, list(7, {member(1)}), map_store.read()).stored);
}

// Rule 2.
TEST(Belief, ACompleteConfiguredListIsUsed) {
    const auto restored = restore_at(now0, list(0, {member(1)}, ListKind::full),
                                     stored_snapshot(99, {member(1), member(2)}, {{1, memory()}}, now0));
    EXPECT_EQ(restored.list.kind, ListKind::full);
    EXPECT_EQ(restored.list.members.size(), 1U);
    EXPECT_TRUE(remembered(restored, 1));
}

// Rules 3 and 4.
TEST(Belief, TheHigherVersionIsUsed) {
    const auto snapshot = [] {
        return stored_snapshot(9, {member(2), member(3, UpstreamState::draining)}, {{2, memory()}}, now0);
    };
    const auto older = restore_at(now0 + seconds(30), list(8, {member(1)}), snapshot());
    EXPECT_TRUE(older.stored);
    EXPECT_EQ(older.list.version, 9U);
    EXPECT_EQ(older.list.kind, ListKind::cached);
    EXPECT_EQ(older.list.age, seconds(30));
    EXPECT_EQ(find(older.list, 1), nullptr);
    EXPECT_EQ(find(older.list, 2)->address, "10.0.0.2:5000");
    EXPECT_EQ(find(older.list, 3)->entry.state,
              UpstreamState::draining);  // a draining upstream is not restored as ready
    EXPECT_TRUE(remembered(older, 2));

    const auto newer = restore_at(now0, list(10, {member(1), member(2), member(3)}), snapshot());
    EXPECT_FALSE(newer.stored);
    EXPECT_EQ(newer.list.version, 10U);
    EXPECT_EQ(find(newer.list, 3)->entry.state,
              UpstreamState::ready);  // the drain was revoked by the newer list
    EXPECT_TRUE(remembered(newer, 2));
}

TEST(Belief, OfEqualVersionsTheConfiguredListIsUsedAndAllDrainsApply) {
    const auto same =
        restore_at(now0, list(9, {member(2), member(3), member(4, UpstreamState::ready, now0)}),
                   stored_snapshot(
                       9, {member(2), member(3, UpstreamState::draining), member(4, UpstreamState::draining)},
                       {}, now0));
    EXPECT_FALSE(same.stored);
    EXPECT_EQ(find(same.list, 2)->entry.state, UpstreamState::ready);
    EXPECT_EQ(find(same.list, 3)->entry.state, UpstreamState::draining);
    EXPECT_EQ(find(same.list, 4)->entry.state, UpstreamState::ready);  // a later process
}

// Rule 5.
TEST(Belief, LearnedStateBelongsToAnAddressAndAStartTime) {
    const auto snapshot = [] {
        return stored_snapshot(9, {member(1), member(2), member(3, UpstreamState::ready, now0 - minutes(5))},
                               {{1, memory()}, {2, memory()}, {3, memory()}}, now0);
    };
    const auto restored = restore_at(now0 + seconds(1),
                                     list(10, {member(1, UpstreamState::ready, Time{}, "10.0.0.77:5000"),
                                               member(2, UpstreamState::ready, now0 + ms(500)),
                                               member(3, UpstreamState::ready, now0 - minutes(5))}),
                                     snapshot());
    EXPECT_FALSE(remembered(restored, 1));
    EXPECT_FALSE(remembered(restored, 2));
    EXPECT_TRUE(remembered(restored, 3));
}

// Rule 6.
TEST(Belief, LearnedStateDecaysByHalfInEachHalfLife) {
    const auto after = [](Micros age) {
        return memory_of(restore_at(now0 + age, list(1, {}),
                                    stored_snapshot(9, {member(1)}, {{1, memory(8000, 18)}}, now0)),
                         1);
    };
    EXPECT_DOUBLE_EQ(after(Micros{0}).latency_us, 8000);
    EXPECT_DOUBLE_EQ(after(Micros{0}).concurrency_limit, 18);
    EXPECT_DOUBLE_EQ(after(minutes(10)).latency_us, 4000);
    EXPECT_DOUBLE_EQ(after(minutes(10)).unloaded_latency_us, 2000);
    EXPECT_DOUBLE_EQ(after(minutes(10)).concurrency_limit, 10);  // halfway to the limit of a new upstream
    EXPECT_DOUBLE_EQ(after(minutes(30)).concurrency_limit, 4);
    double last = 1e9;
    for (int age = 0; age <= 60; ++age) {
        const auto memory_after = after(minutes(age));
        EXPECT_LE(memory_after.concurrency_limit, last);
        last = memory_after.concurrency_limit;
    }
    EXPECT_EQ(after(minutes(41)), LearnedState{});
    EXPECT_EQ(after(std::chrono::hours(24 * 365)), LearnedState{});
}

// State that was restored, and not changed since, neither decays twice nor becomes newer by being written
// again.
TEST(Belief, DecayIsTheSameOverTwoRestartsAsOverOne) {
    const auto first = restore_at(now0 + minutes(6), list(1, {}),
                                  stored_snapshot(9, {member(1)}, {{1, memory(8000, 18)}}, now0));
    MapStore map_store;
    Recorder recorder(default_origin, first.list, now0 + minutes(6));
    map_store.receive_list(recorder, now0 + minutes(8), list(9, {}, ListKind::delta));
    map_store.write_memory(recorder, now0 + minutes(8),
                           [&](UpstreamId id) { return std::optional(memory_of(first, id)); });
    const auto second = memory_of(restore_at(now0 + minutes(10), list(1, {}), map_store.read()), 1);
    EXPECT_NEAR(second.concurrency_limit, 10, 1e-6);
    EXPECT_NEAR(second.latency_us, 4000, 1e-6);
}

// Rule 7: an upstream is never restored with less of its slow start left than is possible.
TEST(Belief, AnUpstreamThatMayBeInSlowStartGetsTheLimitOfANewOne) {
    struct Case {
        const char* description;
        Time found_cold, stored_start;  // found by this balancer; in the stored list
        core::MemberList configured;
        Micros age;
        Time cold_since;
        bool as_new;
    };
    const Time start = now0 - seconds(2);
    const Case cases[] = {
        {"found in slow start", now0 - seconds(1), Time{}, list(1, {}), seconds(1), now0 - seconds(1), true},
        {"listed in slow start", Time{}, start, list(1, {}), seconds(1), start, true},
        {"the configuration does not make it older", Time{}, start, list(10, {member(1)}), seconds(1), start,
         true},
        {"slow start is over", Time{}, start, list(1, {}), seconds(7), start, false},
    };
    for (const Case& test_case : cases) {
        auto before = memory();
        before.cold_start_at = test_case.found_cold;
        const auto memory_after =
            memory_of(restore_at(now0 + test_case.age, test_case.configured,
                                 stored_snapshot(9, {member(1, UpstreamState::ready, test_case.stored_start)},
                                                 {{1, before}}, now0)),
                      1);
        EXPECT_EQ(memory_after.cold_start_at, test_case.cold_since) << test_case.description;
        EXPECT_EQ(memory_after.concurrency_limit == LearnedState{}.concurrency_limit, test_case.as_new)
            << test_case.description << ": " << memory_after.concurrency_limit;
    }
}

// Rule 8.
TEST(Belief, AnEjectedUpstreamStaysEjected) {
    auto failing = memory();
    failing.ejected = true;
    failing.consecutive_failures = 5;
    failing.answered_at = now0;
    failing.ejected_until = now0 + seconds(2);
    auto dead = failing;
    dead.connect_failed = true;
    const auto after = [&](Micros age, UpstreamId id) {
        return memory_of(
            restore_at(now0 + age, list(1, {}),
                       stored_snapshot(9, {member(1), member(2)}, {{1, failing}, {2, dead}}, now0)),
            id);
    };
    EXPECT_TRUE(after(seconds(1), 1).ejected);
    EXPECT_EQ(after(seconds(1), 1).ejected_until, now0 + seconds(2));  // not earlier
    EXPECT_EQ(after(seconds(1), 1).consecutive_failures, 5);
    EXPECT_TRUE(after(minutes(30), 1).ejected);
    EXPECT_EQ(after(minutes(30), 1).ejected_until, now0 + minutes(30));  // its time has passed: it is probed
    EXPECT_FALSE(after(minutes(50), 1).ejected);
    EXPECT_EQ(after(minutes(50), 1).consecutive_failures, 0);
    EXPECT_TRUE(after(std::chrono::hours(100), 2).ejected);
    EXPECT_TRUE(after(std::chrono::hours(100), 2).connect_failed);
}

TEST(Belief, BalancersProbeAnEjectedUpstreamAtDifferentTimes) {
    auto dead = memory();
    dead.ejected = dead.connect_failed = true;
    dead.ejected_until = now0 - seconds(1);
    std::set<Time> times;
    for (int rank = 0; rank < 12; ++rank) {
        Settings changed = settings();
        changed.rank = rank;
        const auto memory_after = memory_of(
            restore_at(now0, list(1, {}), stored_snapshot(9, {member(1)}, {{1, dead}}, now0), changed), 1);
        EXPECT_GE(memory_after.ejected_until, now0);
        EXPECT_LE(memory_after.ejected_until, now0 + changed.ramp_time);
        times.insert(memory_after.ejected_until);
    }
    EXPECT_EQ(times.size(), 12U);
    // An impossible time is limited to the longest ejection.
    dead.ejected_until = now0 + std::chrono::hours(1000);
    const auto memory_after =
        memory_of(restore_at(now0, list(1, {}), stored_snapshot(9, {member(1)}, {{1, dead}}, now0)), 1);
    EXPECT_LE(memory_after.ejected_until, now0 + settings().ramp_time);
}

// Rule 9, with a clock that was set back by an hour. The server had run for two seconds when the list was
// stored. It must be restored with that age: neither older, and thus past its slow start, nor with a start
// time in the future, and thus in slow start for an hour.
TEST(Belief, IfTheClockWasSetBackNoTimeHasPassed) {
    auto dead = memory();
    dead.ejected = dead.connect_failed = true;
    dead.ejected_until = now0 + seconds(3);
    const Time set_back = now0 - std::chrono::hours(1);
    const auto restored =
        restore_at(set_back, list(1, {}),
                   stored_snapshot(9,
                                   {member(1, UpstreamState::ready, now0 - seconds(2)),
                                    member(2, UpstreamState::draining), member(3), member(4)},
                                   {{1, memory()}, {3, dead}, {4, memory()}}, now0));
    EXPECT_TRUE(restored.clock_went_back);
    EXPECT_TRUE(restored.stored);
    EXPECT_EQ(restored.list.age, Micros{0});
    EXPECT_EQ(find(restored.list, 1)->entry.started_at, set_back - seconds(2));
    EXPECT_EQ(memory_of(restored, 1).cold_start_at, set_back - seconds(2));
    EXPECT_EQ(memory_of(restored, 1).concurrency_limit, LearnedState{}.concurrency_limit);
    EXPECT_EQ(find(restored.list, 2)->entry.state, UpstreamState::draining);
    EXPECT_TRUE(memory_of(restored, 3).ejected);
    EXPECT_EQ(memory_of(restored, 3).ejected_until, set_back + seconds(3));
    // The elapsed time is unknown: values that decay are dropped.
    EXPECT_EQ(memory_of(restored, 4).concurrency_limit, LearnedState{}.concurrency_limit);
    EXPECT_EQ(memory_of(restored, 4).latency_us, 0);
    for (const auto& member : restored.list.members) {
        if (!member.entry.restored) continue;
        EXPECT_LE(member.entry.restored->answered_at, set_back);
        EXPECT_LE(member.entry.restored->cold_start_at, set_back);
    }
    // A small correction of the clock does not count.
    const auto small_step =
        restore_at(now0 - ms(300), list(1, {}), stored_snapshot(9, {member(1)}, {{1, memory()}}, now0));
    EXPECT_FALSE(small_step.clock_went_back);
    EXPECT_EQ(memory_of(small_step, 1).concurrency_limit, memory().concurrency_limit);
}

// A snapshot with a valid hash may still hold values that no policy writes. All restored values must be
// within their ranges.
TEST(Belief, ImpossibleValuesAreClamped) {
    constexpr auto max_count = std::numeric_limits<std::int64_t>::max();
    for (const double value : {-1e9, -1.0, 0.0, 0.5, 1e300}) {
        for (const Time time : {Time(max_count), Time(-max_count), Time(-1)}) {
            LearnedState absurd = memory(value, value);
            absurd.consecutive_failures = std::numeric_limits<int>::max();
            absurd.ejected = true;
            absurd.ejected_until = absurd.answered_at = absurd.cold_start_at = time;
            const auto restored =
                restore_at(now0, list(1, {}),
                           stored_snapshot(9, {member(1, UpstreamState::ready, time)}, {{1, absurd}}, now0));
            const auto memory_after = memory_of(restored, 1);
            EXPECT_GE(memory_after.concurrency_limit, 1);
            EXPECT_LE(memory_after.concurrency_limit, 65'535);
            EXPECT_GE(memory_after.latency_us, 0);
            EXPECT_GE(memory_after.unloaded_latency_us, 0);
            EXPECT_LE(memory_after.consecutive_failures, 1000);
            for (const Time time_after :
                 {restored.list.members[0].entry.started_at, memory_after.ejected_until,
                  memory_after.answered_at, memory_after.cold_start_at}) {
                EXPECT_GE(time_after, Time{});
                EXPECT_LE(time_after, Time(max_count / 4 + 1));
            }
        }
    }
}

}  // namespace
}  // namespace flaxdoor::recovery::test
