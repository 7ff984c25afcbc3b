// Tests of the stored values: round trips, damage, and other versions.
#include "recovery/record.h"

#include <random>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

core::Member odd_member(UpstreamId id) {
    core::Member result = member(id, id % 3 == 0 ? UpstreamState::draining : UpstreamState::ready,
                                 Time(static_cast<std::int64_t>(id * 1'000'003)));
    result.name = "näme \"" + std::to_string(id) + "\n";
    result.entry.zone = static_cast<int>(id % 5);
    result.entry.kind = static_cast<int>(id % 7);
    result.entry.cell = -1 - static_cast<int>(id % 11);
    result.entry.weight = 1.0 / static_cast<double>(id + 3);
    return result;
}

void expect_same(const core::Member& a, const core::Member& b) {
    EXPECT_EQ(a.name, b.name);
    EXPECT_EQ(a.address, b.address);
    EXPECT_EQ(a.entry.id, b.entry.id);
    EXPECT_EQ(a.entry.zone, b.entry.zone);
    EXPECT_EQ(a.entry.kind, b.entry.kind);
    EXPECT_EQ(a.entry.cell, b.entry.cell);
    EXPECT_EQ(a.entry.state, b.entry.state);
    EXPECT_EQ(a.entry.weight, b.entry.weight);
    EXPECT_EQ(a.entry.started_at, b.entry.started_at);
}

TEST(Record, RoundTripPreservesAllValues) {
    std::mt19937_64 random(11);
    std::vector<core::Member> members;
    std::map<UpstreamId, LearnedState> memories;
    for (int i = 0; i < 300; ++i) {
        members.push_back(odd_member(random()));
        LearnedState learned;
        learned.latency_us = static_cast<double>(random() % 100000) / 7;
        learned.unloaded_latency_us = learned.latency_us / 3;
        learned.own_in_flight = 1.0 / 3 + i;
        learned.concurrency_limit = 1 + static_cast<double>(random() % 1000) / 9;
        learned.limit_was_reduced = i % 2;
        learned.consecutive_failures = i % 7;
        learned.ejected = i % 3 == 0;
        learned.connect_failed = i % 6 == 0;
        learned.ejected_until = now0 + ms(i);
        learned.answered_at = now0 - ms(i);
        learned.cold_start_at = i % 4 == 0 ? Time{} : now0 - seconds(i);
        memories[members.back().entry.id] = learned;
    }
    const StoredSnapshot decoded = stored_snapshot(~0ULL, members, memories, now0);
    EXPECT_TRUE(decoded.faults.empty()) << decoded.faults.front();
    ASSERT_TRUE(decoded.list);
    EXPECT_EQ(decoded.list->head.version, ~0ULL);
    EXPECT_EQ(decoded.list->head.told_at, now0);
    EXPECT_EQ(decoded.list->head.history, default_origin);
    ASSERT_EQ(decoded.list->members.size(), members.size());
    std::map<UpstreamId, core::Member> by_id;
    for (const auto& member : decoded.list->members) by_id[member.entry.id] = member;
    for (const auto& member : members) expect_same(by_id.at(member.entry.id), member);
    ASSERT_EQ(decoded.remembered.size(), memories.size());
    for (const auto& [id, learned] : memories) EXPECT_EQ(decoded.remembered.at(id).memory, learned);
}

MapStore sample_store() {
    MapStore map_store;
    Recorder recorder(default_origin, {}, now0);
    map_store.receive_list(recorder, now0,
                           list(9, {odd_member(1), odd_member(2), odd_member(65)}, ListKind::full));
    map_store.write_memory(recorder, now0, always_learned(memory()));
    return map_store;
}

// Changes each byte of each value in three ways, and cuts each value at every length. The value must be
// ignored, and reported as a fault. A damaged part of the learned state must not affect any other value. A
// damaged list must be ignored.
TEST(Record, EveryDamagedByteIsDetected) {
    const MapStore undamaged = sample_store();
    ASSERT_EQ(undamaged.read().remembered.size(), 3U);
    std::size_t tested = 0;
    for (const auto& item : undamaged.values) {
        const std::string &key = item.first, &value = item.second;
        if (value.find('{') == std::string::npos && key != "api/list/00")
            continue;  // one empty part stands for all
        const bool memory_part = key.find("/memory/") != std::string::npos;
        const auto expect_fault = [&](std::string damaged, const std::string& description) {
            if (damaged == value) return;
            MapStore map_store = undamaged;
            map_store.values[key] = std::move(damaged);
            const StoredSnapshot decoded = map_store.read();
            ASSERT_FALSE(decoded.faults.empty()) << key << ": " << description;
            ASSERT_EQ(decoded.list.has_value(), memory_part) << key << ": " << description;
            if (memory_part) {
                ASSERT_LT(decoded.remembered.size(), 3U) << key << ": " << description;
            }
            ++tested;
        };
        for (std::size_t offset = 0; offset < value.size(); ++offset) {
            for (const unsigned char change : {0x01, 0x80, 0xff}) {
                std::string damaged = value;
                damaged[offset] = static_cast<char>(damaged[offset] ^ change);
                expect_fault(std::move(damaged), "byte " + std::to_string(offset));
            }
            expect_fault(value.substr(0, offset), "cut at " + std::to_string(offset));
        }
        expect_fault(value + " ", "longer");
        expect_fault(std::string(value.size(), '\0'), "zeros");
    }
    EXPECT_GT(tested, 2000U);
}

TEST(Record, AValueUnderAnotherKeyIsDetected) {
    MapStore map_store = sample_store();
    std::swap(map_store.values["api/list/03"], map_store.values["api/list/04"]);  // both empty
    const StoredSnapshot decoded = map_store.read();
    EXPECT_EQ(decoded.faults.size(), 3U);
    EXPECT_FALSE(decoded.list);
}

TEST(Record, UnknownVersionsAreRejected) {
    for (const char* version : {"2", "10", "x", "0"}) {
        MapStore map_store = sample_store();
        std::string& head = map_store.values["api/head"];
        head = version + head.substr(1);
        const StoredSnapshot decoded = map_store.read();
        EXPECT_FALSE(decoded.list);
        ASSERT_FALSE(decoded.faults.empty());
        EXPECT_NE(decoded.faults[0].find(std::string("of version ") + version), std::string::npos)
            << decoded.faults[0];
    }
}

// An incomplete list must be ignored: a missing server would look as if it had been removed.
TEST(Record, AListWithoutOneOfItsPartsIsIgnored) {
    for (const char* key : {"api/head", "api/list/01", "api/list/07"}) {
        MapStore map_store = sample_store();
        map_store.values.erase(key);
        EXPECT_FALSE(map_store.read().list) << key;
    }
    // A part of an earlier list under the same key is detected by the number of members.
    MapStore map_store = sample_store();
    Recorder recorder(default_origin, {}, now0);
    recorder.on_list(now0, list(8, {odd_member(2)}, ListKind::full));
    MapStore before;
    before.apply(recorder.take_list_changes());
    map_store.values["api/list/01"] = before.values["api/list/01"];
    EXPECT_FALSE(map_store.read().list);
}

TEST(Record, KeyRangesOfPoolsDoNotOverlap) {
    const auto [from, to] = keys_of("api");
    EXPECT_TRUE(head_key("api") >= from && head_key("api") < to);
    EXPECT_TRUE(memory_key("api", 63) >= from && memory_key("api", 63) < to);
    EXPECT_FALSE(head_key("api2") >= from && head_key("api2") < to);
    EXPECT_FALSE(head_key("ap") >= from && head_key("ap") < to);
}

}  // namespace
}  // namespace flaxdoor::recovery::test
