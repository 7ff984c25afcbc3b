// Tests of what the recorder writes, and when.
#include "recovery/recorder.h"

#include <random>
#include <set>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

std::vector<Change> take_all_slices(Recorder& recorder, Time now, const Recorder::Learned& learned) {
    std::vector<Change> result;
    for (std::size_t i = 0; i < Recorder::slices; ++i) {
        for (auto& change : recorder.take_memory_changes(now, learned)) result.push_back(std::move(change));
    }
    return result;
}

// An outdated list that is written again would look newer than it is.
TEST(Recorder, WritesNothingBeforeAListIsReceived) {
    Recorder recorder(default_origin, list(7, {member(1)}), now0);
    EXPECT_TRUE(recorder.take_list_changes().empty());
    recorder.on_list(now0, list(0, {}, ListKind::failed));
    recorder.on_list(now0, list(9, {member(2)}, ListKind::cached));
    EXPECT_FALSE(recorder.has_list_changes());
    recorder.on_list(now0, list(7, {}, ListKind::delta));  // confirms the list
    MapStore map_store;
    map_store.apply(recorder.take_list_changes());
    const auto snapshot = map_store.read();
    ASSERT_TRUE(snapshot.list);
    EXPECT_EQ(snapshot.list->head.version, 7U);
    EXPECT_EQ(snapshot.list->members.size(), 1U);
}

TEST(Recorder, AChangeIsASmallWrite) {
    std::vector<core::Member> fleet;
    for (UpstreamId id = 1; id <= 5000; ++id) fleet.push_back(member(id));
    Recorder recorder(default_origin, {}, now0);
    recorder.on_list(now0, list(1, fleet, ListKind::full));
    EXPECT_EQ(recorder.take_list_changes().size(), 1 + parts);
    EXPECT_TRUE(recorder.take_list_changes().empty());
    recorder.on_list(now0, list(2, {member(17, UpstreamState::draining)}, ListKind::delta));
    const auto changes = recorder.take_list_changes();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].key, "api/head");
    EXPECT_EQ(changes[1].key, list_key("api", part_of(17)));
    recorder.on_list(now0, list(3, fleet, ListKind::full));  // 17 is ready again
    EXPECT_EQ(recorder.take_list_changes().size(), 2U);
    recorder.on_list(now0, list(4, fleet, ListKind::full));
    EXPECT_EQ(recorder.take_list_changes().size(), 1U);
    recorder.on_list(now0 + seconds(2), list(4, {}, ListKind::delta));  // no change
    EXPECT_TRUE(recorder.take_list_changes().empty());
    recorder.on_list(now0 + minutes(2), list(4, {}, ListKind::delta));  // updates the time of the list
    EXPECT_EQ(recorder.take_list_changes().size(), 1U);
}

// Random complete lists and changes, with lost writes: the store holds the last list.
TEST(Recorder, StoresTheLastList) {
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t bound) { return static_cast<std::uint32_t>(random() % bound); };
        MapStore map_store;
        std::map<UpstreamId, core::Member> model;
        Recorder recorder(default_origin, {}, now0);
        for (std::uint64_t version = 1; version < 60; ++version) {
            std::vector<core::Member> listed;
            const bool complete = below(4) == 0 || version == 1;
            if (complete) model.clear();
            for (std::uint32_t i = below(12); i > 0; --i) {
                auto changed =
                    member(1 + below(150), below(4) == 0 ? UpstreamState::draining : UpstreamState::ready,
                           Time(below(3)), below(9) == 0 ? "elsewhere" : "");
                if (!complete && below(4) == 0) changed.entry.state = UpstreamState::gone;
                listed.push_back(changed);
                if (changed.entry.state == UpstreamState::gone) {
                    model.erase(changed.entry.id);
                } else {
                    model[changed.entry.id] = changed;
                }
            }
            recorder.on_list(now0, list(version, listed, complete ? ListKind::full : ListKind::delta));
            if (below(3) == 0) continue;  // written together with the next list
            const auto changes = recorder.take_list_changes();
            if (below(5) == 0) {
                recorder.on_write_lost();  // a write is applied completely or not at all: here not at all
                map_store.apply(recorder.take_list_changes());
            } else {
                map_store.apply(changes);
            }
            const auto snapshot = map_store.read();
            ASSERT_TRUE(snapshot.list) << "seed " << seed;
            ASSERT_TRUE(snapshot.faults.empty());
            ASSERT_EQ(snapshot.list->head.version, version);
            ASSERT_EQ(snapshot.list->members.size(), model.size()) << "seed " << seed;
            for (const auto& member : snapshot.list->members) {
                const auto& expected = model.at(member.entry.id);
                ASSERT_EQ(member.entry.state, expected.entry.state) << "seed " << seed;
                ASSERT_EQ(member.address, expected.address);
                ASSERT_EQ(member.entry.started_at, expected.entry.started_at);
            }
        }
    }
}

TEST(Recorder, LearnedStateIsWrittenInSlicesWhereItChanged) {
    std::vector<core::Member> fleet;
    for (UpstreamId id = 0; id < 640; ++id) fleet.push_back(member(id));
    Recorder recorder(default_origin, list(1, fleet), now0);
    EXPECT_EQ(recorder.take_memory_changes(now0, always_learned(memory())).size(), parts / Recorder::slices);
    (void)take_all_slices(recorder, now0, always_learned(memory()));
    EXPECT_TRUE(take_all_slices(recorder, now0 + seconds(1), always_learned(memory())).empty());
    auto slightly_changed = memory(8400, 18.9);
    slightly_changed.consecutive_failures = 2;  // of an upstream that is not ejected
    slightly_changed.answered_at = now0 + seconds(1);
    EXPECT_TRUE(take_all_slices(recorder, now0 + seconds(1), always_learned(slightly_changed)).empty());
    const auto with_one_changed = [](LearnedState changed_memory) {
        return
            [changed_memory](UpstreamId id) { return std::optional(id == 70 ? changed_memory : memory()); };
    };
    auto ejected = memory();
    ejected.ejected = true;
    for (const auto& changed : {memory(20000, 18), memory(8000, 30), ejected}) {
        const auto changes = take_all_slices(recorder, now0 + seconds(2), with_one_changed(changed));
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes[0].key, memory_key("api", part_of(70)));
        EXPECT_EQ(take_all_slices(recorder, now0 + seconds(2), always_learned(memory())).size(),
                  1U);  // back to the former value
    }
    // Unchanged state that was confirmed recently is written with its new time.
    auto recent = memory();
    recent.answered_at = now0 + minutes(2);
    EXPECT_EQ(take_all_slices(recorder, now0 + minutes(2), always_learned(recent)).size(), parts);
    recorder.on_write_lost();
    EXPECT_EQ(take_all_slices(recorder, now0 + minutes(2), always_learned(recent)).size(), parts);
}

// An upstream without learned state takes no space.
TEST(Recorder, WithoutLearnedStateNothingIsWritten) {
    Recorder recorder(default_origin, list(1, {member(1), member(2)}), now0);
    MapStore map_store;
    map_store.receive_list(recorder, now0, list(1, {}, ListKind::delta));
    map_store.apply(take_all_slices(recorder, now0, [](UpstreamId id) {
        return id == 1 ? std::optional(LearnedState{}) : std::nullopt;
    }));
    EXPECT_TRUE(map_store.read().remembered.empty());
    EXPECT_TRUE(map_store.read().list);
}

TEST(Recorder, AListThatIsTooLargeIsDeleted) {
    MapStore map_store;
    Recorder recorder(default_origin, {}, now0);
    map_store.receive_list(recorder, now0, list(1, {member(1)}, ListKind::full));
    ASSERT_TRUE(map_store.read().list);
    std::vector<core::Member> many;
    for (UpstreamId id = 0; id <= Recorder::max_members; ++id) many.push_back(member(id));
    map_store.receive_list(recorder, now0, list(2, many, ListKind::full));
    EXPECT_TRUE(recorder.too_large());
    EXPECT_FALSE(map_store.read().list);
    EXPECT_TRUE(recorder.take_memory_changes(now0, always_learned(memory())).empty());
    map_store.receive_list(recorder, now0, list(3, {member(2)}, ListKind::full));
    EXPECT_FALSE(recorder.too_large());
    ASSERT_TRUE(map_store.read().list);
    EXPECT_EQ(map_store.read().list->members.size(), 1U);
    std::vector<core::Member> long_addresses;
    for (UpstreamId id = 0; id < 2000; ++id)
        long_addresses.push_back(member(id, UpstreamState::ready, {}, std::string(1000, 'x')));
    recorder.on_list(now0, list(4, long_addresses, ListKind::full));
    EXPECT_EQ(recorder.take_list_changes().size(), 1U);
    EXPECT_TRUE(recorder.too_large());
}

// The largest list that is stored fits into one batch of the store, which takes 4 MiB, and 1 MiB per value.
TEST(Recorder, TheLargestListFitsIntoABatch) {
    std::vector<core::Member> many;
    const std::size_t bytes_each = Recorder::max_bytes / Recorder::max_members;
    for (UpstreamId id = 0; id < Recorder::max_members; ++id) {
        auto large = member(id * 0x9e3779b97f4a7c15ULL, UpstreamState::draining, now0);
        large.name = std::string(bytes_each - large.address.size(), 'n');
        large.entry.weight = 1.0 / 3;
        many.push_back(large);
    }
    Recorder recorder(default_origin, {}, now0);
    recorder.on_list(now0, list(~0ULL, many, ListKind::full));
    std::size_t bytes = 0;
    const auto changes = recorder.take_list_changes();
    EXPECT_FALSE(recorder.too_large());
    for (const auto& change : changes) {
        ASSERT_TRUE(change.value);
        EXPECT_LT(change.value->size(), 1024U * 1024);
        bytes += change.key.size() + change.value->size();
    }
    EXPECT_LT(bytes, 4U * 1024 * 1024);
}

TEST(Recorder, AnotherDiscoveryServiceIsAnotherOrigin) {
    MapStore map_store;
    Recorder recorder(default_origin, {}, now0);
    map_store.receive_list(recorder, now0, list(5, {member(1)}, ListKind::full));
    recorder.set_discovery("127.0.0.1:9");
    EXPECT_FALSE(recorder.has_list_changes());  // the new service has sent no list
    map_store.receive_list(recorder, now0, list(6, {}, ListKind::delta));
    ASSERT_TRUE(map_store.read().list);
    EXPECT_EQ(map_store.read().list->head.history.discovery, "127.0.0.1:9");
    EXPECT_EQ(map_store.read().list->members.size(), 1U);
}

TEST(Recorder, ANameThatIsNotUtf8ThrowsAndIsNotPartlyWritten) {
    Recorder recorder(default_origin, {}, now0);
    auto invalid = member(1);
    invalid.name = "\xff\xfe";
    recorder.on_list(now0, list(5, {invalid}, ListKind::full));
    EXPECT_ANY_THROW((void)recorder.take_list_changes());
    recorder.on_write_lost();
    recorder.on_list(now0, list(6, {member(1)}, ListKind::full));
    MapStore map_store;
    map_store.apply(recorder.take_list_changes());
    EXPECT_TRUE(map_store.read().list);
}

// After the first list of a new origin was written, a restart must not find the learned state of the previous
// origin.
TEST(Recorder, AListFromAnotherOriginDeletesThePreviousLearnedState) {
    MapStore map_store;
    Recorder previous(default_origin, {}, now0);
    map_store.receive_list(previous, now0, list(9, {member(1), member(2)}, ListKind::full));
    map_store.write_memory(previous, now0, always_learned(memory()));
    ListOrigin other = default_origin;
    other.configuration = "n1";
    auto restored = restore(list(3, {member(1)}), map_store.read(), other, settings(), now0, minutes(10));
    ASSERT_TRUE(restored.different_origin);
    EXPECT_EQ(restored.remembered, 0U);
    EXPECT_EQ(origin_of("api", {map_store.values.begin(), map_store.values.end()}), default_origin);
    Recorder recorder(other, restored.list, now0);
    recorder.discard_stored_state();
    // State that this recorder has written is kept.
    for (int slice = 0; slice < 2; ++slice) {  // the slice of upstream 1, not that of upstream 2
        map_store.apply(recorder.take_memory_changes(now0, always_learned(memory())));
    }
    map_store.receive_list(recorder, now0, list(4, {member(1), member(2)}, ListKind::full));
    const auto stored = map_store.read();
    EXPECT_TRUE(stored.faults.empty());
    EXPECT_TRUE(stored.remembered.contains(1));
    EXPECT_FALSE(stored.remembered.contains(2));
    restored = restore(list(3, {member(1)}), map_store.read(), other, settings(), now0, minutes(10));
    EXPECT_EQ(restored.remembered, 1U);
}

}  // namespace
}  // namespace flaxdoor::recovery::test
