// Per-address state that several pools share: whether the server at an address drains, and the slow-start
// token bucket that limits its load while it warms up. Pools may give one server different ids; the address
// identifies it. Does no I/O.
//
// Draining: when a pool's list marks an upstream as draining, every entry that is listed at that address at
// that time drains in all pools, until the pool that reported it reports it ready again. If that pool is
// removed, the drain lasts until any later list reports the upstream ready. An entry that is listed at the
// address afterwards, under a new id or with a later start time, is a new process and does not drain.
// Another pool's entries keep draining when a pool stops listing the server: the server may have left that
// pool alone. A drain notice outlives the entry that reported it, as long as an entry remains listed that
// was already listed when the notice was received.
//
// Token buckets: there is one for each address, and every entry at the address refers to it
// (UpstreamEntry::slow_start). It is retained for a while after the last entry was removed, so that a pool
// which is removed and added again does not start with a full bucket.
//
// Threading: not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/call.h"

namespace flaxdoor::core {

class Addresses {
public:
    // One pool's entry at an address. The state that is passed to the policy may differ from the listed one.
    struct Entry {
        PoolId pool = 0;
        UpstreamId upstream = 0;
        UpstreamState listed_state = UpstreamState::ready;  // in the pool's own list
        Time started_at{};
        std::uint64_t added_at = 0;  // sequence number, in one order with the drain notices
        bool drains = false;         // because of its own list or of another pool's
    };

    // An entry of another pool that begins or ceases to drain.
    struct Change {
        PoolId pool = 0;
        UpstreamId upstream = 0;
        bool drains = false;
    };

    // Applies a listed entry whose state is not `gone`. Returns whether the entry drains, and appends to
    // `changes` the entries of other pools whose draining changes.
    bool update(const std::string& address, PoolId pool, const UpstreamEntry& entry,
                std::vector<Change>& changes);
    // Removes an entry that left its pool or moved to another address. The address's token bucket is retained
    // at least until `keep_until`.
    void remove(const std::string& address, PoolId pool, UpstreamId upstream, Time keep_until);
    // Marks the drain notices of a removed pool: any pool's later list may revoke them.
    void orphan_notices(PoolId pool);
    // Returns the address's slow-start token bucket, and creates it if there is none.
    std::shared_ptr<SlowStartBucket> token_bucket(const std::string& address);
    // Drops the addresses without entries whose retention time has passed.
    void purge(Time now);

    std::size_t size() const { return addresses_.size(); }

private:
    struct DrainNotice {
        PoolId pool = 0;
        UpstreamId upstream = 0;
        std::uint64_t received_at = 0;  // sequence number
        bool orphaned = false;
    };
    struct AddressState {
        std::shared_ptr<SlowStartBucket> token_bucket;
        std::vector<Entry> entries;
        std::vector<DrainNotice> notices;
        Time keep_until{};  // the latest time that was given for a removed entry
    };

    static bool drains(const AddressState& state, const Entry& entry);
    static void update_draining(AddressState& state, const Entry* own, std::vector<Change>& changes);
    static void drop_obsolete_notices(AddressState& state);

    std::unordered_map<std::string, AddressState> addresses_;
    std::deque<std::pair<Time, std::string>> unlisted_;  // addresses without entries, and when to drop them
    std::uint64_t last_sequence_ = 0;
};

}  // namespace flaxdoor::core
