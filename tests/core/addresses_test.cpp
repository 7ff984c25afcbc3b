// What counts for an address over all pools, against a naive model that scans all that was ever told.
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
using Who = std::pair<PoolId, UpstreamId>;

UpstreamEntry entry(UpstreamId id, UpstreamState state = UpstreamState::ready, Time started_at = Time{}) {
    return member(id, "", state, started_at).entry;
}
constexpr auto ready = UpstreamState::ready;
constexpr auto draining = UpstreamState::draining;

struct AddressesTest : testing::Test {
    void put(PoolId pool, const UpstreamEntry& e, const std::string& address = "a") {
        std::vector<Change> changes;
        addresses.put(address, pool, e, changes);
    }
    Addresses addresses;
};

TEST_F(AddressesTest, AllAtAnAddressShareItsAccountAndItIsKeptForAWhile) {
    put(1, entry(5), "a");
    put(2, entry(7), "a");
    const auto account = addresses.account("a");
    ASSERT_TRUE(account);
    EXPECT_NE(addresses.account("b"), account);
    addresses.remove("a", 1, 5, Time(50));
    addresses.purge(Time(60));
    EXPECT_EQ(addresses.account("a"), account) << "somebody is still listed";
    addresses.remove("a", 2, 7, Time(100));
    addresses.purge(Time(99));
    EXPECT_EQ(addresses.account("a"), account);
    put(3, entry(9), "a");  // back in time
    addresses.purge(Time(100));
    EXPECT_EQ(addresses.account("a"), account);
    addresses.remove("a", 3, 9, Time(200));
    addresses.purge(Time(200));
    put(3, entry(9), "a");
    EXPECT_NE(addresses.account("a"), account) << "its time is over";
}

// Each pool that lists an address asks for its account to be kept: the longest counts, whoever leaves last.
TEST_F(AddressesTest, AnAccountIsKeptAsLongAsAnyOfItsPoolsAsked) {
    put(1, entry(5));
    put(2, entry(7));
    const auto account = addresses.account("a");
    addresses.remove("a", 1, 5, Time(100));
    addresses.remove("a", 2, 7, Time(20));
    addresses.purge(Time(50));
    put(3, entry(9));
    EXPECT_EQ(addresses.account("a"), account);
}

TEST_F(AddressesTest, NothingIsLeftWhenAllHaveGoneAndTimeHasPassed) {
    for (int i = 0; i < 20000; ++i) {
        const std::string address = name_of("a", static_cast<std::uint64_t>(i));
        put(1, entry(5), address);
        (void)addresses.account(address);
        addresses.remove(address, 1, 5, Time(100 + i));
        EXPECT_LE(addresses.size(), 5000u) << "what nobody lists is bounded";
    }
    for (int i = 0; i < 20000; ++i) {  // one that comes and goes
        put(1, entry(5), "b");
        addresses.remove("b", 1, 5, Time(30000 + i));
    }
    addresses.purge(Time(60000));
    EXPECT_EQ(addresses.size(), 0u);
}

// All that was ever told of one address, in order. Who drains is found by going through it from the start.
class Naive {
public:
    enum class What { drains, ready, leaves, orphaned };  // the last: its pool is no more
    struct Told {
        PoolId pool;
        UpstreamId id;
        What what;
        Time started_at{};
    };
    void tell(Told told) { all_.push_back(told); }

    // Who is listed, and whether each drains.
    std::map<Who, bool> now() const {
        struct Listed {
            std::size_t since;
            bool draining;
            Time started_at;
        };
        struct Notice {
            std::size_t at;
            bool orphan;
        };
        std::map<Who, Listed> listed;
        std::map<Who, Notice> notices;  // by whom
        for (std::size_t at = 0; at < all_.size(); ++at) {
            const Told& t = all_[at];
            const Who who(t.pool, t.id);
            if (t.what == What::orphaned) {
                for (auto& [by, notice] : notices) notice.orphan |= by.first == t.pool;
            } else if (t.what == What::leaves) {
                listed.erase(who);
            } else {
                const auto known = listed.find(who);
                const bool later = known != listed.end() && t.started_at > known->second.started_at;
                if (later) notices.erase(who);
                if (known == listed.end() || later) listed[who] = {at, false, t.started_at};
                listed[who].draining = t.what == What::drains;
                if (t.what == What::drains) notices.emplace(who, Notice{at, false});
                if (t.what == What::ready) {
                    std::erase_if(notices, [&](const auto& n) { return n.first == who || n.second.orphan; });
                }
            }
            // One that nobody there has heard is forgotten.
            std::erase_if(notices, [&](const auto& n) {
                return std::none_of(listed.begin(), listed.end(), [&](const auto& l) {
                    return l.second.since <= n.second.at;  // its own entry may have come with it
                });
            });
        }
        std::map<Who, bool> drains;
        for (const auto& [who, l] : listed) {
            bool does = l.draining;
            for (const auto& [by, notice] : notices) does |= by.first != who.first && notice.at > l.since;
            drains[who] = does;
        }
        return drains;
    }

private:
    std::vector<Told> all_;
};

// A drain is passed on to who is there, under any id of another pool, and taken back by who was told; it
// outlives its entry, and its pool until another list says ready; who comes later, or starts anew, is new.
TEST(AddressesProperties, NoticesInAnyOrderAgreeWithTheNaiveModel) {
    using What = Naive::What;
    for (std::uint32_t seed = 0; seed < 400; ++seed) {
        SCOPED_TRACE(name_of("seed ", seed));
        std::mt19937 random(seed);
        Addresses addresses;
        std::map<std::string, Naive> naive;
        std::map<std::string, std::map<Who, bool>> known;  // as the pools were told
        std::map<Who, Time> started;
        for (int step = 0; step < 60; ++step) {
            const std::string address = random() % 4 == 0 ? "b" : "a";
            const auto pool = static_cast<PoolId>(1 + random() % 3);
            const UpstreamId id = 1 + random() % 2;
            const Who who(pool, id);
            if (random() % 4 == 0) {
                addresses.remove(address, pool, id, Time(1000));
                known[address].erase(who);
                naive[address].tell({pool, id, What::leaves});
            } else if (random() % 12 == 0) {
                for (const char* at : {"a", "b"}) {
                    for (const UpstreamId each : {1, 2}) {
                        addresses.remove(at, pool, each, Time(1000));
                        known[at].erase({pool, each});
                        naive[at].tell({pool, each, What::leaves});
                    }
                    naive[at].tell({pool, 0, What::orphaned});
                }
                addresses.orphan(pool);
            } else {
                if (random() % 5 == 0) started[who] = Time(step + 1);
                const bool drains = random() % 2 == 0;
                std::vector<Change> changes;
                known[address][who] =
                    addresses.put(address, pool, entry(id, drains ? draining : ready, started[who]), changes);
                std::set<Who> told;
                for (const auto& c : changes) {
                    EXPECT_NE(Who(c.pool, c.upstream), who);
                    EXPECT_TRUE(told.insert({c.pool, c.upstream}).second);
                    const auto other = known[address].find({c.pool, c.upstream});
                    ASSERT_NE(other, known[address].end()) << "told of one that has gone";
                    EXPECT_NE(other->second, c.drains) << "told what it knew";
                    other->second = c.drains;
                }
                naive[address].tell({pool, id, drains ? What::drains : What::ready, started[who]});
            }
            for (const char* at : {"a", "b"}) ASSERT_EQ(known[at], naive[at].now()) << "step " << step;
        }
    }
}

}  // namespace
}  // namespace flaxdoor::core::test
