// What is written when: enough, and no more.
#include "recovery/recorder.h"

#include <random>
#include <set>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

std::vector<Change> round(Recorder& recorder, Time now, const Recorder::Learned& learned) {
    std::vector<Change> all;
    for (std::size_t i = 0; i < Recorder::slices; ++i) {
        for (auto& change : recorder.take_memory_changes(now, learned)) all.push_back(std::move(change));
    }
    return all;
}

// An old list that is written again would look newer than it is.
TEST(Recorder, WritesNothingBeforeAListHasCome) {
    Recorder recorder(here, list(7, {member(1)}), now0);
    EXPECT_TRUE(recorder.take_list_changes().empty());
    recorder.on_list(now0, list(0, {}, ListKind::failed));
    recorder.on_list(now0, list(9, {member(2)}, ListKind::cached));
    EXPECT_FALSE(recorder.has_list_changes());
    recorder.on_list(now0, list(7, {}, ListKind::delta));  // it still holds
    Shelf shelf;
    shelf.put(recorder.take_list_changes());
    const auto back = shelf.read();
    ASSERT_TRUE(back.list);
    EXPECT_EQ(back.list->head.version, 7U);
    EXPECT_EQ(back.list->members.size(), 1U);
}

TEST(Recorder, AChangeIsASmallWrite) {
    std::vector<core::Member> fleet;
    for (UpstreamId id = 1; id <= 5000; ++id) fleet.push_back(member(id));
    Recorder recorder(here, {}, now0);
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
    recorder.on_list(now0 + seconds(2), list(4, {}, ListKind::delta));  // nothing new
    EXPECT_TRUE(recorder.take_list_changes().empty());
    recorder.on_list(now0 + minutes(2), list(4, {}, ListKind::delta));  // it is not as old as it looks
    EXPECT_EQ(recorder.take_list_changes().size(), 1U);
}

// Random lists, whole ones and changes, with writes that are lost: what is stored is what was told last.
TEST(Recorder, StoresWhatWasToldLast) {
    for (std::uint32_t seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
        Shelf shelf;
        std::map<UpstreamId, core::Member> model;
        Recorder recorder(here, {}, now0);
        for (std::uint64_t version = 1; version < 60; ++version) {
            std::vector<core::Member> told;
            const bool whole = below(4) == 0 || version == 1;
            if (whole) model.clear();
            for (std::uint32_t i = below(12); i > 0; --i) {
                auto m =
                    member(1 + below(150), below(4) == 0 ? UpstreamState::draining : UpstreamState::ready,
                           Time(below(3)), below(9) == 0 ? "elsewhere" : "");
                if (!whole && below(4) == 0) m.entry.state = UpstreamState::gone;
                told.push_back(m);
                if (m.entry.state == UpstreamState::gone) {
                    model.erase(m.entry.id);
                } else {
                    model[m.entry.id] = m;
                }
            }
            recorder.on_list(now0, list(version, told, whole ? ListKind::full : ListKind::delta));
            if (below(3) == 0) continue;  // joined with the next
            const auto changes = recorder.take_list_changes();
            if (below(5) == 0) {
                recorder.on_lost();  // all of it or none: here none
                shelf.put(recorder.take_list_changes());
            } else {
                shelf.put(changes);
            }
            const auto back = shelf.read();
            ASSERT_TRUE(back.list) << "seed " << seed;
            ASSERT_TRUE(back.faults.empty());
            ASSERT_EQ(back.list->head.version, version);
            ASSERT_EQ(back.list->members.size(), model.size()) << "seed " << seed;
            for (const auto& m : back.list->members) {
                const auto& is = model.at(m.entry.id);
                ASSERT_EQ(m.entry.state, is.entry.state) << "seed " << seed;
                ASSERT_EQ(m.address, is.address);
                ASSERT_EQ(m.entry.started_at, is.entry.started_at);
            }
        }
    }
}

TEST(Recorder, MemoryIsWrittenWhereItChangedAndInSlices) {
    std::vector<core::Member> fleet;
    for (UpstreamId id = 0; id < 640; ++id) fleet.push_back(member(id));
    Recorder recorder(here, list(1, fleet), now0);
    EXPECT_EQ(recorder.take_memory_changes(now0, always(memory())).size(), parts / Recorder::slices);
    (void)round(recorder, now0, always(memory()));
    EXPECT_TRUE(round(recorder, now0 + seconds(1), always(memory())).empty());
    auto slightly = memory(8400, 18.9);
    slightly.strikes = 2;  // of one that is not out
    slightly.answered_at = now0 + seconds(1);
    EXPECT_TRUE(round(recorder, now0 + seconds(1), always(slightly)).empty());
    const auto but = [](UpstreamMemory one) {
        return [one](UpstreamId id) { return std::optional(id == 70 ? one : memory()); };
    };
    auto out = memory();
    out.out = true;
    for (const auto& changed : {memory(20000, 18), memory(8000, 30), out}) {
        const auto changes = round(recorder, now0 + seconds(2), but(changed));
        ASSERT_EQ(changes.size(), 1U);
        EXPECT_EQ(changes[0].key, memory_key("api", part_of(70)));
        EXPECT_EQ(round(recorder, now0 + seconds(2), always(memory())).size(), 1U);  // and back
    }
    // What is as it was, and was heard of lately, does not grow old.
    auto fresh = memory();
    fresh.answered_at = now0 + minutes(2);
    EXPECT_EQ(round(recorder, now0 + minutes(2), always(fresh)).size(), parts);
    recorder.on_lost();
    EXPECT_EQ(round(recorder, now0 + minutes(2), always(fresh)).size(), parts);
}

// An upstream of which nothing is known takes no room.
TEST(Recorder, NothingLearnedIsNothingWritten) {
    Recorder recorder(here, list(1, {member(1), member(2)}), now0);
    Shelf shelf;
    shelf.tell(recorder, now0, list(1, {}, ListKind::delta));
    shelf.put(round(recorder, now0,
                    [](UpstreamId id) { return id == 1 ? std::optional(UpstreamMemory{}) : std::nullopt; }));
    EXPECT_TRUE(shelf.read().remembered.empty());
    EXPECT_TRUE(shelf.read().list);
}

TEST(Recorder, AListThatIsTooLargeIsTakenBack) {
    Shelf shelf;
    Recorder recorder(here, {}, now0);
    shelf.tell(recorder, now0, list(1, {member(1)}, ListKind::full));
    ASSERT_TRUE(shelf.read().list);
    std::vector<core::Member> many;
    for (UpstreamId id = 0; id <= Recorder::max_members; ++id) many.push_back(member(id));
    shelf.tell(recorder, now0, list(2, many, ListKind::full));
    EXPECT_TRUE(recorder.too_large());
    EXPECT_FALSE(shelf.read().list);
    EXPECT_TRUE(recorder.take_memory_changes(now0, always(memory())).empty());
    shelf.tell(recorder, now0, list(3, {member(2)}, ListKind::full));
    EXPECT_FALSE(recorder.too_large());
    ASSERT_TRUE(shelf.read().list);
    EXPECT_EQ(shelf.read().list->members.size(), 1U);
    std::vector<core::Member> long_ones;
    for (UpstreamId id = 0; id < 2000; ++id)
        long_ones.push_back(member(id, UpstreamState::ready, {}, std::string(1000, 'x')));
    recorder.on_list(now0, list(4, long_ones, ListKind::full));
    EXPECT_EQ(recorder.take_list_changes().size(), 1U);
    EXPECT_TRUE(recorder.too_large());
}

// The largest that is kept goes into one batch of the store: 4 MiB, and 1 MiB a value.
TEST(Recorder, TheLargestListFitsABatch) {
    std::vector<core::Member> many;
    const std::size_t each = Recorder::max_bytes / Recorder::max_members;
    for (UpstreamId id = 0; id < Recorder::max_members; ++id) {
        auto m = member(id * 0x9e3779b97f4a7c15ULL, UpstreamState::draining, now0);
        m.name = std::string(each - m.address.size(), 'n');
        m.entry.weight = 1.0 / 3;
        many.push_back(m);
    }
    Recorder recorder(here, {}, now0);
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

TEST(Recorder, AnotherDiscoveryIsAnotherHistory) {
    Shelf shelf;
    Recorder recorder(here, {}, now0);
    shelf.tell(recorder, now0, list(5, {member(1)}, ListKind::full));
    recorder.move_to("127.0.0.1:9");
    EXPECT_FALSE(recorder.has_list_changes());  // nothing was told there
    shelf.tell(recorder, now0, list(6, {}, ListKind::delta));
    ASSERT_TRUE(shelf.read().list);
    EXPECT_EQ(shelf.read().list->head.history.discovery, "127.0.0.1:9");
    EXPECT_EQ(shelf.read().list->members.size(), 1U);
}

TEST(Recorder, ANameThatIsNoTextThrowsAndIsNotHalfWritten) {
    Recorder recorder(here, {}, now0);
    auto odd = member(1);
    odd.name = "\xff\xfe";
    recorder.on_list(now0, list(5, {odd}, ListKind::full));
    EXPECT_ANY_THROW((void)recorder.take_list_changes());
    recorder.on_lost();
    recorder.on_list(now0, list(6, {member(1)}, ListKind::full));
    Shelf shelf;
    shelf.put(recorder.take_list_changes());
    EXPECT_TRUE(shelf.read().list);
}

// The first list of a history, and then a cut: what was learned in the one before is not there beside it.
TEST(Recorder, AListOfAnotherHistoryTakesAwayWhatWasLearnedInTheOneBefore) {
    Shelf shelf;
    Recorder former(here, {}, now0);
    shelf.tell(former, now0, list(9, {member(1), member(2)}, ListKind::full));
    shelf.learn(former, now0, always(memory()));
    History other = here;
    other.configuration = "n1";
    auto belief = believe(list(3, {member(1)}), shelf.read(), other, settings(), now0, minutes(10));
    ASSERT_TRUE(belief.other_history);
    EXPECT_EQ(belief.remembered, 0U);
    EXPECT_EQ(history_of("api", {shelf.values.begin(), shelf.values.end()}), here);
    Recorder recorder(other, belief.list, now0);
    recorder.forget_stored();
    // What this one has learned and written stays.
    for (int slice = 0; slice < 2; ++slice) {  // that of 1, and not that of 2
        shelf.put(recorder.take_memory_changes(now0, always(memory())));
    }
    shelf.tell(recorder, now0, list(4, {member(1), member(2)}, ListKind::full));
    const auto stored = shelf.read();
    EXPECT_TRUE(stored.faults.empty());
    EXPECT_TRUE(stored.remembered.contains(1));
    EXPECT_FALSE(stored.remembered.contains(2));
    belief = believe(list(3, {member(1)}), shelf.read(), other, settings(), now0, minutes(10));
    EXPECT_EQ(belief.remembered, 1U);
}

}  // namespace
}  // namespace flaxdoor::recovery::test
