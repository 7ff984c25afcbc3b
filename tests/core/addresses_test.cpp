// Tests of the state that pools share by address, also against a reference model that replays all events.
#include "core/addresses.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "fakes.h"

namespace flaxdoor::core::test {
namespace {

using Change = Addresses::Change;
using EntryKey = std::pair<PoolId, UpstreamId>;

UpstreamEntry entry(UpstreamId id, UpstreamState state = UpstreamState::ready, Time started_at = Time{}) {
    return member(id, "", state, started_at).entry;
}
constexpr auto ready = UpstreamState::ready;
constexpr auto draining = UpstreamState::draining;

struct AddressesTest : testing::Test {
    void update(PoolId pool, const UpstreamEntry& listed, const std::string& address = "a") {
        std::vector<Change> changes;
        addresses.update(address, pool, listed, changes);
    }
    Addresses addresses;
};

TEST_F(AddressesTest, EntriesAtAnAddressShareATokenBucketThatIsRetainedForAWhile) {
    update(1, entry(5), "a");
    update(2, entry(7), "a");
    const auto token_bucket = addresses.token_bucket("a");
    ASSERT_TRUE(token_bucket);
    EXPECT_NE(addresses.token_bucket("b"), token_bucket);
    addresses.remove("a", 1, 5, Time(50));
    addresses.purge(Time(60));
    EXPECT_EQ(addresses.token_bucket("a"), token_bucket) << "an entry is still listed";
    addresses.remove("a", 2, 7, Time(100));
    addresses.purge(Time(99));
    EXPECT_EQ(addresses.token_bucket("a"), token_bucket);
    update(3, entry(9), "a");  // listed again in time
    addresses.purge(Time(100));
    EXPECT_EQ(addresses.token_bucket("a"), token_bucket);
    addresses.remove("a", 3, 9, Time(200));
    addresses.purge(Time(200));
    update(3, entry(9), "a");
    EXPECT_NE(addresses.token_bucket("a"), token_bucket) << "its retention time has passed";
}

// Each removal names a time until which the token bucket is to be retained. The latest one counts, also when
// another pool removes its entry last.
TEST_F(AddressesTest, ATokenBucketIsRetainedForTheLongestTimeThatAnyPoolGave) {
    update(1, entry(5));
    update(2, entry(7));
    const auto token_bucket = addresses.token_bucket("a");
    addresses.remove("a", 1, 5, Time(100));
    addresses.remove("a", 2, 7, Time(20));
    addresses.purge(Time(50));
    update(3, entry(9));
    EXPECT_EQ(addresses.token_bucket("a"), token_bucket);
}

TEST_F(AddressesTest, AddressesWithoutEntriesAreBoundedAndPurged) {
    for (int i = 0; i < 20000; ++i) {
        const std::string address = name_of("a", static_cast<std::uint64_t>(i));
        update(1, entry(5), address);
        (void)addresses.token_bucket(address);
        addresses.remove(address, 1, 5, Time(100 + i));
        EXPECT_LE(addresses.size(), 5000u) << "the number of unlisted addresses is bounded";
    }
    for (int i = 0; i < 20000; ++i) {  // one address that is listed and removed repeatedly
        update(1, entry(5), "b");
        addresses.remove("b", 1, 5, Time(30000 + i));
    }
    addresses.purge(Time(60000));
    EXPECT_EQ(addresses.size(), 0u);
}

// All events of one address, in order. Replays them from the start to find which entries drain.
class ReferenceModel {
public:
    enum class Kind { drains, ready, leaves, orphaned };  // orphaned: the pool was removed
    struct Event {
        PoolId pool;
        UpstreamId id;
        Kind kind;
        Time started_at{};
    };
    void add(Event event) { events_.push_back(event); }

    // Returns the listed entries, and whether each one drains.
    std::map<EntryKey, bool> draining_entries() const {
        struct Listed {
            std::size_t added_at;
            bool draining;
            Time started_at;
        };
        struct Notice {
            std::size_t received_at;
            bool orphaned;
        };
        std::map<EntryKey, Listed> listed;
        std::map<EntryKey, Notice> notices;  // by the entry that reported it
        for (std::size_t index = 0; index < events_.size(); ++index) {
            const Event& event = events_[index];
            const EntryKey key(event.pool, event.id);
            if (event.kind == Kind::orphaned) {
                for (auto& [by, notice] : notices) notice.orphaned |= by.first == event.pool;
            } else if (event.kind == Kind::leaves) {
                listed.erase(key);
            } else {
                const auto known = listed.find(key);
                const bool later = known != listed.end() && event.started_at > known->second.started_at;
                if (later) notices.erase(key);
                if (known == listed.end() || later) listed[key] = {index, false, event.started_at};
                listed[key].draining = event.kind == Kind::drains;
                if (event.kind == Kind::drains) notices.emplace(key, Notice{index, false});
                if (event.kind == Kind::ready) {
                    std::erase_if(notices, [&](const auto& notice) {
                        return notice.first == key || notice.second.orphaned;
                    });
                }
            }
            // Drops the notices that apply to no entry.
            std::erase_if(notices, [&](const auto& notice) {
                return std::none_of(listed.begin(), listed.end(), [&](const auto& entry) {
                    return entry.second.added_at <=
                           notice.second.received_at;  // its own entry may have been added with it
                });
            });
        }
        std::map<EntryKey, bool> drains;
        for (const auto& [key, entry] : listed) {
            bool entry_drains = entry.draining;
            for (const auto& [by, notice] : notices)
                entry_drains |= by.first != key.first && notice.received_at > entry.added_at;
            drains[key] = entry_drains;
        }
        return drains;
    }

private:
    std::vector<Event> events_;
};

// A drain notice applies to all entries that are listed at the address, under any id of another pool, and is
// revoked by the pool that reported it. It outlives its entry, and it outlives its pool until another list
// reports the server as ready. An entry that is added later, or has a later start time, is a new process.
TEST(AddressesProperties, NoticesInAnyOrderAgreeWithTheReferenceModel) {
    using Kind = ReferenceModel::Kind;
    for (std::uint32_t seed = 0; seed < 400; ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        std::mt19937 random(seed);
        Addresses addresses;
        std::map<std::string, ReferenceModel> models;
        std::map<std::string, std::map<EntryKey, bool>> reported;  // as reported to the pools
        std::map<EntryKey, Time> started;
        for (int step = 0; step < 60; ++step) {
            const std::string address = random() % 4 == 0 ? "b" : "a";
            const auto pool = static_cast<PoolId>(1 + random() % 3);
            const UpstreamId id = 1 + random() % 2;
            const EntryKey key(pool, id);
            if (random() % 4 == 0) {
                addresses.remove(address, pool, id, Time(1000));
                reported[address].erase(key);
                models[address].add({pool, id, Kind::leaves});
            } else if (random() % 12 == 0) {
                for (const char* each_address : {"a", "b"}) {
                    for (const UpstreamId each : {1, 2}) {
                        addresses.remove(each_address, pool, each, Time(1000));
                        reported[each_address].erase({pool, each});
                        models[each_address].add({pool, each, Kind::leaves});
                    }
                    models[each_address].add({pool, 0, Kind::orphaned});
                }
                addresses.orphan_notices(pool);
            } else {
                if (random() % 5 == 0) started[key] = Time(step + 1);
                const bool drains = random() % 2 == 0;
                std::vector<Change> changes;
                reported[address][key] = addresses.update(
                    address, pool, entry(id, drains ? draining : ready, started[key]), changes);
                std::set<EntryKey> changed;
                for (const auto& change : changes) {
                    EXPECT_NE(EntryKey(change.pool, change.upstream), key);
                    EXPECT_TRUE(changed.insert({change.pool, change.upstream}).second);
                    const auto other = reported[address].find({change.pool, change.upstream});
                    ASSERT_NE(other, reported[address].end()) << "change of an entry that was removed";
                    EXPECT_NE(other->second, change.drains) << "change to the known state";
                    other->second = change.drains;
                }
                models[address].add({pool, id, drains ? Kind::drains : Kind::ready, started[key]});
            }
            for (const char* each_address : {"a", "b"})
                ASSERT_EQ(reported[each_address], models[each_address].draining_entries()) << "step " << step;
        }
    }
}

}  // namespace
}  // namespace flaxdoor::core::test
