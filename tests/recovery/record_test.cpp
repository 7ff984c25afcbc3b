// Values: round trips, damage, other versions.
#include "recovery/record.h"

#include <random>

#include "samples.h"

namespace flaxdoor::recovery::test {
namespace {

core::Member odd_member(UpstreamId id) {
    core::Member m = member(id, id % 3 == 0 ? UpstreamState::draining : UpstreamState::ready,
                            Time(static_cast<std::int64_t>(id * 1'000'003)));
    m.name = "näme \"" + std::to_string(id) + "\n";
    m.entry.zone = static_cast<int>(id % 5);
    m.entry.kind = static_cast<int>(id % 7);
    m.entry.cell = -1 - static_cast<int>(id % 11);
    m.entry.weight = 1.0 / static_cast<double>(id + 3);
    return m;
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

TEST(Record, ComesBackAsItWent) {
    std::mt19937_64 random(11);
    std::vector<core::Member> members;
    std::map<UpstreamId, UpstreamMemory> memories;
    for (int i = 0; i < 300; ++i) {
        members.push_back(odd_member(random()));
        UpstreamMemory m;
        m.latency_us = static_cast<double>(random() % 100000) / 7;
        m.idle_us = m.latency_us / 3;
        m.ours = 1.0 / 3 + i;
        m.limit = 1 + static_cast<double>(random() % 1000) / 9;
        m.limited = i % 2;
        m.strikes = i % 7;
        m.out = i % 3 == 0;
        m.died = i % 6 == 0;
        m.out_until = now0 + ms(i);
        m.answered_at = now0 - ms(i);
        m.cold_since = i % 4 == 0 ? Time{} : now0 - seconds(i);
        memories[members.back().entry.id] = m;
    }
    const StoredSnapshot back = stored(~0ULL, members, memories, now0);
    EXPECT_TRUE(back.faults.empty()) << back.faults.front();
    ASSERT_TRUE(back.list);
    EXPECT_EQ(back.list->head.version, ~0ULL);
    EXPECT_EQ(back.list->head.told_at, now0);
    EXPECT_EQ(back.list->head.history, here);
    ASSERT_EQ(back.list->members.size(), members.size());
    std::map<UpstreamId, core::Member> by_id;
    for (const auto& m : back.list->members) by_id[m.entry.id] = m;
    for (const auto& m : members) expect_same(by_id.at(m.entry.id), m);
    ASSERT_EQ(back.remembered.size(), memories.size());
    for (const auto& [id, m] : memories) EXPECT_EQ(back.remembered.at(id).memory, m);
}

Shelf some_shelf() {
    Shelf shelf;
    Recorder recorder(here, {}, now0);
    shelf.tell(recorder, now0, list(9, {odd_member(1), odd_member(2), odd_member(65)}, ListKind::full));
    shelf.learn(recorder, now0, always(memory()));
    return shelf;
}

// Every byte of every value, changed in three ways; every length that is too short: the value is not heeded,
// and says so. A damaged memory takes nothing else with it; a damaged list is none.
TEST(Record, EveryDamagedByteIsSeen) {
    const Shelf whole = some_shelf();
    ASSERT_EQ(whole.read().remembered.size(), 3U);
    std::size_t tried = 0;
    for (const auto& item : whole.values) {
        const std::string &key = item.first, &value = item.second;
        if (value.find('{') == std::string::npos && key != "api/list/00") continue;  // empty parts are alike
        const bool memory_part = key.find("/memory/") != std::string::npos;
        const auto judge = [&](std::string damaged, const std::string& what) {
            if (damaged == value) return;
            Shelf shelf = whole;
            shelf.values[key] = std::move(damaged);
            const StoredSnapshot back = shelf.read();
            ASSERT_FALSE(back.faults.empty()) << key << ": " << what;
            ASSERT_EQ(back.list.has_value(), memory_part) << key << ": " << what;
            if (memory_part) {
                ASSERT_LT(back.remembered.size(), 3U) << key << ": " << what;
            }
            ++tried;
        };
        for (std::size_t at = 0; at < value.size(); ++at) {
            for (const unsigned char change : {0x01, 0x80, 0xff}) {
                std::string damaged = value;
                damaged[at] = static_cast<char>(damaged[at] ^ change);
                judge(std::move(damaged), "byte " + std::to_string(at));
            }
            judge(value.substr(0, at), "cut at " + std::to_string(at));
        }
        judge(value + " ", "longer");
        judge(std::string(value.size(), '\0'), "zeros");
    }
    EXPECT_GT(tried, 2000U);
}

TEST(Record, AValueUnderAnotherKeyIsSeen) {
    Shelf shelf = some_shelf();
    std::swap(shelf.values["api/list/03"], shelf.values["api/list/04"]);  // both empty
    const StoredSnapshot back = shelf.read();
    EXPECT_EQ(back.faults.size(), 3U);
    EXPECT_FALSE(back.list);
}

TEST(Record, UnknownVersionsAreRefused) {
    for (const char* version : {"2", "10", "x", "0"}) {
        Shelf shelf = some_shelf();
        std::string& head = shelf.values["api/head"];
        head = version + head.substr(1);
        const StoredSnapshot back = shelf.read();
        EXPECT_FALSE(back.list);
        ASSERT_FALSE(back.faults.empty());
        EXPECT_NE(back.faults[0].find(std::string("of version ") + version), std::string::npos)
            << back.faults[0];
    }
}

// A list with a hole is no list: a server that is missing would look as if it had left.
TEST(Record, AListWithAPartMissingIsNone) {
    for (const char* key : {"api/head", "api/list/01", "api/list/07"}) {
        Shelf shelf = some_shelf();
        shelf.values.erase(key);
        EXPECT_FALSE(shelf.read().list) << key;
    }
    // A part from before, under the same key: the count tells.
    Shelf shelf = some_shelf();
    Recorder recorder(here, {}, now0);
    recorder.on_list(now0, list(8, {odd_member(2)}, ListKind::full));
    Shelf before;
    before.put(recorder.take_list_changes());
    shelf.values["api/list/01"] = before.values["api/list/01"];
    EXPECT_FALSE(shelf.read().list);
}

TEST(Record, PoolsDoNotMeet) {
    const auto [from, to] = keys_of("api");
    EXPECT_TRUE(head_key("api") >= from && head_key("api") < to);
    EXPECT_TRUE(memory_key("api", 63) >= from && memory_key("api", 63) < to);
    EXPECT_FALSE(head_key("api2") >= from && head_key("api2") < to);
    EXPECT_FALSE(head_key("ap") >= from && head_key("ap") < to);
}

}  // namespace
}  // namespace flaxdoor::recovery::test
