// Tests how the policy applies restored state: it never shortens an upstream's slow start or its ejection.
#include <gtest/gtest.h>

#include "policy_rig.h"

namespace flaxdoor::test {
namespace {

UpstreamEntry entry_with(UpstreamId id, LearnedState memory, Time started_at = Time{}) {
    UpstreamEntry entry = PolicyRig::entry(id, 0, UpstreamState::ready, started_at);
    entry.restored = memory;
    return entry;
}

LearnedState ejected_until(Time until, bool died) {
    LearnedState memory;
    memory.ejected = true;
    memory.connect_failed = died;
    memory.consecutive_failures = 5;
    memory.ejected_until = until;
    return memory;
}

TEST(Memory, UnknownUpstreamsHaveNone) {
    PolicyRig rig;
    EXPECT_FALSE(rig.policy->learned_state(1));
    rig.fleet(1);
    ASSERT_TRUE(rig.policy->learned_state(1));
    EXPECT_EQ(*rig.policy->learned_state(1), LearnedState{});
}

TEST(Memory, LearnedStateIsRestoredUnchanged) {
    PolicyRig first;
    first.fleet(4);
    for (int i = 0; i < 300; ++i) first.served();
    std::vector<UpstreamEntry> entries;
    for (UpstreamId id = 1; id <= 4; ++id)
        entries.push_back(entry_with(id, *first.policy->learned_state(id)));
    PolicyRig second;
    second.now = first.now;
    second.list(ListKind::cached, entries);
    for (UpstreamId id = 1; id <= 4; ++id) {
        EXPECT_GT(first.policy->learned_state(id)->own_in_flight, 0);
        EXPECT_EQ(second.policy->learned_state(id), first.policy->learned_state(id));
    }
}

TEST(Memory, AnEjectedUpstreamGetsNothingUntilItsTimeAndThenOneProbe) {
    PolicyRig rig;
    rig.list(ListKind::cached, {entry_with(1, ejected_until(rig.now + ms(500), true)), PolicyRig::entry(2)});
    for (int i = 0; i < 20; ++i) rig.served();
    EXPECT_EQ(rig.sink.sends_to(1), 0U);
    rig.run(rig.now + ms(500));
    rig.request();
    EXPECT_EQ(rig.sink.sends_to(1), 1U);
    rig.request();
    rig.request();
    EXPECT_EQ(rig.sink.sends_to(1), 1U);
}

// A repeated list, or a later list that carries restored state, does not change what the policy has learned
// in the meantime.
TEST(Memory, IsAppliedOnceAndOnlyToNewUpstreams) {
    PolicyRig rig;
    rig.list(ListKind::cached, {entry_with(1, ejected_until(rig.now + ms(50), false)), PolicyRig::entry(2)});
    rig.run(rig.now + ms(60));
    const auto probe = rig.request();
    ASSERT_EQ(rig.sink.submits.back().upstream, 1U);
    rig.end(probe, 0, Outcome::ok);
    EXPECT_FALSE(rig.policy->learned_state(1)->ejected);
    rig.list(ListKind::full,
             {entry_with(1, ejected_until(rig.now + ms(5000), false)), entry_with(2, LearnedState{})});
    EXPECT_FALSE(rig.policy->learned_state(1)->ejected);
    // It does not reinstate an upstream that is ejected here, either.
    PolicyRig other;
    other.list(ListKind::cached,
               {entry_with(1, ejected_until(other.now + ms(5000), true)), PolicyRig::entry(2)});
    other.list(ListKind::cached, {entry_with(1, LearnedState{}), PolicyRig::entry(2)});
    EXPECT_TRUE(other.policy->learned_state(1)->ejected);
}

// A process that started later is another one.
TEST(Memory, IsDroppedWithALaterStartTime) {
    PolicyRig rig;
    rig.list(ListKind::cached, {entry_with(1, ejected_until(rig.now + ms(5000), true)), PolicyRig::entry(2)});
    rig.list(ListKind::full, {PolicyRig::entry(1, 0, UpstreamState::ready, rig.now), PolicyRig::entry(2)});
    EXPECT_FALSE(rig.policy->learned_state(1)->ejected);
    EXPECT_EQ(rig.policy->learned_state(1)->cold_start_at, rig.now);
}

// An upstream that died and answers its probe may be a new process: its slow start begins then.
TEST(Memory, AnUpstreamThatDiedIsReinstatedInSlowStart) {
    PolicyRig rig;
    auto dead = ejected_until(rig.now, true);
    dead.consecutive_failures = 2;
    rig.list(ListKind::cached, {entry_with(1, dead), PolicyRig::entry(2)});
    const auto probe = rig.request();
    ASSERT_EQ(rig.sink.submits.back().upstream, 1U);
    rig.now += ms(10);
    rig.end(probe, 0, Outcome::ok);
    EXPECT_EQ(rig.policy->learned_state(1)->cold_start_at, rig.now);
}

// The later of the two start times counts, and applies to the shared token bucket.
TEST(Memory, TheLatestStartTimeCounts) {
    LearnedState cold;
    cold.cold_start_at = std::chrono::hours(1) - ms(500);
    PolicyRig rig;
    rig.list(ListKind::cached,
             {entry_with(1, cold, rig.now - ms(5000)), entry_with(2, LearnedState{}, rig.now - ms(300))});
    EXPECT_EQ(rig.policy->learned_state(1)->cold_start_at, rig.now - ms(500));
    EXPECT_EQ(rig.policy->learned_state(2)->cold_start_at, rig.now - ms(300));
    // All upstreams are in slow start: the requests sent stay within the smallest token bucket.
    for (int i = 0; i < 50; ++i) rig.request();
    EXPECT_LE(rig.sink.submits.size(), 4U);
}

// Upstreams that were removed do not count as ejected.
TEST(Memory, AnEjectedUpstreamMayBeRemoved) {
    PolicyRig rig;
    std::vector<UpstreamEntry> entries;
    for (UpstreamId id = 1; id <= 4; ++id)
        entries.push_back(entry_with(id, ejected_until(rig.now + ms(5000), false)));
    LearnedState wide;
    wide.concurrency_limit = 50;
    entries.push_back(entry_with(5, wide));
    entries.push_back(entry_with(6, wide));
    rig.list(ListKind::cached, entries);
    rig.list(ListKind::full, {PolicyRig::entry(5), PolicyRig::entry(6)});
    // The capacity is that of two upstreams, not of six.
    const auto sent = rig.wave(safe, 50).size();
    PolicyRig reference;
    reference.list(ListKind::cached, {entry_with(5, wide), entry_with(6, wide)});
    reference.list(ListKind::full, {PolicyRig::entry(5), PolicyRig::entry(6)});
    EXPECT_EQ(sent, reference.wave(safe, 50).size());
    EXPECT_GT(sent, 2U);
}

}  // namespace
}  // namespace flaxdoor::test
